# The tasks of this repository. `make build` leaves all that the others need in .venv.
PYTHON = .venv/bin/python

.PHONY: build test lint run

build:
	cmp -s requirements.txt .venv/requirements.txt || (python3 -m venv .venv \
	    && .venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/)

test: build
	$(PYTHON) -m unittest discover -t . -s tests

lint: build
	$(PYTHON) -m pip -q install -r .ci/requirements.txt
	$(PYTHON) -m ruff check --no-cache .

# GW_CONFIG names the configuration, as README.md has it.
run: build
	$(PYTHON) -O -m cresstray

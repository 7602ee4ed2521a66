# The tasks of this repository. `make build` leaves all that a gateway needs in .venv, `make tools` the rest.
PYTHON = .venv/bin/python

.PHONY: build tools test lint run try

build:
	cmp -s requirements.txt .venv/requirements.txt || (python3 -m venv .venv \
	    && .venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/)

tools: build
	cmp -s requirements-tools.txt .venv/requirements-tools.txt || (.venv/bin/pip -q install \
	    -r requirements-tools.txt && cp requirements-tools.txt .venv/)

# Two halls on built-in stand-ins, half a minute: engines die, the link is cut and heals, all on loopback.
try: tools
	$(PYTHON) -m cresstray try

test: tools
	$(PYTHON) .ci/run_tests.py

lint: tools
	$(PYTHON) -m pip -q install -r .ci/requirements.txt
	$(PYTHON) -m ruff format --no-cache --check .
	$(PYTHON) -m ruff check --no-cache .
	$(PYTHON) -m mypy
	.venv/bin/lint-imports --no-cache

# GW_CONFIG names the configuration, as README.md has it.
run: build
	$(PYTHON) -O -m cresstray

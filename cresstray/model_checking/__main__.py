"""`python -m cresstray.model_checking NAME | all`: a tool of developers.

The last line with `--json` is one object.
"""

from __future__ import annotations

import json
import multiprocessing
import sys
from pathlib import Path

import click

from cresstray.model_checking.configurations import CONFIGURATIONS
from cresstray.model_checking.explore import Result, Trace, explore, replay, to_stderr, walk
from cresstray.model_checking.mutants import MUTANTS, SCHEDULES
from cresstray.model_checking.patching import Mutant
from cresstray.model_checking.properties import PROPERTIES
from cresstray.model_checking.world import Bounds

# Walks go through more than an exhaustive search bears: three engines, five submissions, faults all along.
_LARGE = Bounds(depth=400, engines=3, submissions=5, faults=6, leaves=2, words=5, reduced=False)


@click.command(help="Explores every schedule of a configuration, or of all: " + ", ".join(CONFIGURATIONS))
@click.argument("name", required=False)
@click.option("--depth", default=Bounds().depth, help="Choices in a row.")
@click.option("--states", default=Bounds().states, help="States at the most, with which the search ends.")
@click.option("--memory", default=Bounds().memory, help="MB of the searching process: the search ends.")
@click.option("--faults", type=int)
@click.option("--leaves", type=int)
@click.option("--words", type=int)
@click.option("--workers", default=1, help="Processes that expand states.")
@click.option("--plain", is_flag=True, help="Without the reduction.")
@click.option("--walks", default=0, help="Random schedules through a larger configuration instead.")
@click.option("--seed", default=1, help="Of the walks.")
@click.option("--mutant", help="With this broken variant; `all`: each one.")
@click.option("--replay", "file", type=click.Path(exists=True, dir_okay=False), help="A trace from a file.")
@click.option("--save", type=click.Path(dir_okay=False), help="Where the trace of a breach goes.")
@click.option("--json", "as_json", is_flag=True)
def main(
    name: str | None,
    depth: int,
    states: int,
    memory: int,
    faults: int | None,
    leaves: int | None,
    words: int | None,
    workers: int,
    plain: bool,
    walks: int,
    seed: int,
    mutant: str | None,
    file: str | None,
    save: str | None,
    as_json: bool,
) -> None:
    bounds = Bounds(depth, states, memory, workers, not plain, faults, leaves, words)
    known = {one.name: one for one in MUTANTS}
    if mutant is not None and mutant != "all" and mutant not in known:
        raise click.BadParameter(f"no variant {mutant!r}; there are {', '.join(known)}")
    if file is not None:
        sys.exit(_replay(Path(file), bounds, known))
    if name is not None and name != "all" and name not in CONFIGURATIONS:
        raise click.BadParameter(f"no configuration {name!r}")
    results: dict[str, Result] = {}
    told, traces = {"tried": 0, "caught": 0}, []
    if mutant is None or mutant == "all" and name == "all":
        names = list(CONFIGURATIONS) if name in (None, "all") else [name]
        for one in names:
            results[one] = _explored(one, bounds, walks, seed)
            _show(one, results[one])
    if mutant is not None or name == "all" and not walks:
        chosen = (
            [known[mutant]]
            if mutant in known
            else [one for one in MUTANTS if name in (None, "all", one.seen_in)]
        )
        told, traces = _variants(chosen, bounds)
    broken = [result.violation for result in results.values() if result.violation is not None]
    if save and broken + traces:
        Path(save).write_text("\n".join((broken + traces)[0].lines()) + "\n")
    if as_json:
        print(
            json.dumps(
                {
                    "configurations": {one: result.told() for one, result in results.items()},
                    "violations": len(broken),
                    "mutants": told,
                }
            )
        )
    sys.exit(1 if broken or told["caught"] < told["tried"] else 0)


def _explored(name: str, bounds: Bounds, walks: int, seed: int) -> Result:
    if walks:
        return walk(CONFIGURATIONS[name], _LARGE._replace(seed=seed), name, walks, to_stderr)
    return explore(CONFIGURATIONS[name], bounds, name, to_stderr)


def _show(name: str, result: Result) -> None:
    to_stderr(
        f"{name}: {result.states} states, {result.transitions} transitions ({result.asleep} left out), "
        f"depth {result.depth}, {'complete' if result.complete else 'cut by a bound'}, "
        f"{result.memory} MB, {result.seconds:.1f} s"
    )
    if result.violation is not None:
        _tell(result.violation)


def _tell(trace: Trace) -> None:
    for line in trace.lines():
        to_stderr(f"    {line}")
    for name in sorted({one.split(":")[0] for one in trace.broken}):
        to_stderr(f"    {name}: {PROPERTIES.get(name, 'a property of its world')}")


def _replay(file: Path, bounds: Bounds, known: dict[str, Mutant]) -> int:
    kept = Trace.read(file.read_text().splitlines())
    if kept.mutant:
        with known[kept.mutant].patch():
            found = replay(CONFIGURATIONS[kept.configuration], bounds, kept.configuration, kept.choices)
    else:
        found = replay(CONFIGURATIONS[kept.configuration], bounds, kept.configuration, kept.choices)
    _tell(found._replace(mutant=kept.mutant))
    return 1 if found.broken else 0


def _variants(chosen: list[Mutant], bounds: Bounds) -> tuple[dict[str, int], list[Trace]]:
    """Each in a process of its own, as many at once as there are workers."""
    alone = bounds._replace(workers=1)
    traces = []
    with multiprocessing.get_context("fork").Pool(bounds.workers) as pool:
        for one, result in pool.imap(_variant, [(one.name, alone) for one in chosen]):
            trace = result.violation
            if trace is not None:
                traces.append(trace)
            to_stderr(
                f"{one}: "
                + (
                    f"caught after {result.states} states, {len(trace.choices)} choices: "
                    f"{', '.join(trace.choices)}; {trace.broken[0]}"
                    if trace
                    else f"not caught in {result.states} states"
                )
            )
    return {"tried": len(chosen), "caught": len(traces)}, traces


def _variant(given: tuple[str, Bounds]) -> tuple[str, Result]:
    return given[0], try_variant(next(one for one in MUTANTS if one.name == given[0]), given[1])


def try_variant(mutant: Mutant, bounds: Bounds) -> Result:
    """The first breach of the property that it should break, if any: on its kept schedule, or by a search."""
    with mutant.patch():
        if mutant.name in SCHEDULES:
            trace = replay(CONFIGURATIONS[mutant.seen_in], bounds, mutant.seen_in, SCHEDULES[mutant.name])
            if any(one.startswith(mutant.breaks) for one in trace.broken):
                return Result(
                    len(trace.choices),
                    len(trace.choices),
                    len(trace.choices),
                    False,
                    0.0,
                    trace._replace(mutant=mutant.name),
                )
        found = explore(CONFIGURATIONS[mutant.seen_in], bounds, mutant.seen_in, None, mutant.breaks)
    return found._replace(violation=found.violation and found.violation._replace(mutant=mutant.name))


if __name__ == "__main__":
    main()

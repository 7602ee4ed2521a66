"""A power loss on a virtual clock: python -m benchmarks.cold_virtual [--down S] [--seed N] [--json].

Fifty gateways and five hundred engines start at once, all engines cold, discovery down for S seconds; without
a list and with lists of four ages. Then discovery that is back in a second, and is behind, while half as much
again is asked as all engines can do. No socket; the exit code is 1 where an engine fell, an endpoint known to
be removed was sent to, or a list was worse than none.
"""

from __future__ import annotations

import json
import sys
import time
from typing import Any, NamedTuple

import click

from cresstray.simulation.cold import PIECE_US, ColdStart, ColdStartResult
from cresstray.simulation.cold_workload import FALL_REQUESTS, PLANNED_COLD_REQUESTS, SECOND_US

_DAY_S = 86_400
# By age in seconds, the share of a list that is not as it was, in four ways as cold_start has them: a tenth
# of the engines replaced a day for a week, and guesses up to a day.
AGES = {"10 s": (10, 0.0), "10 min": (600, 0.08), "1 day": (_DAY_S, 0.16), "7 days": (7 * _DAY_S, 0.5)}
# Played once discovery is back.
_AFTER_S = 6.0


class Scenario(NamedTuple):
    """One run: the age of the list in seconds, None without one, and the arguments of ColdStart."""

    name: str
    age_s: int | None
    changed: float
    down_s: float
    load: float
    heavier: float = 1.0


def _report(result: ColdStartResult, down_s: float) -> dict[str, Any]:
    """Returns the figures of a run, by the keys that readers of the report know."""
    first = round(down_s * SECOND_US / PIECE_US)
    return {
        "payoff": round(result.share, 4),
        "bound": round(result.share_bound, 4),
        "payoff_while_down": round(sum(result.value[:first]) / first, 4),
        "sends_to_known_gone": result.known_removed,
        "sends_to_strangers": result.strangers,
        "engines_fallen": result.fallen,
        "peak_share_of_plan": round(result.peak, 3),
        "peak_share_of_cold_capacity": round(result.peak * PLANNED_COLD_REQUESTS / FALL_REQUESTS, 3),
        "seconds_to_90_percent": result.seconds_to_target,
    }


def _scenarios(down_s: float, load: float) -> list[Scenario]:
    week_s, week_changed = AGES["7 days"]
    return [
        Scenario("no list", None, week_changed, down_s, load),
        *(Scenario(name, age_s, changed, down_s, load) for name, (age_s, changed) in AGES.items()),
        Scenario("heavier, and a surge", week_s, 0.0, 2.0, 1.2, 1.5),
        Scenario("behind, and a surge", AGES["10 s"][0], 0.0, 1.0, 1.5),
    ]


def _play(one: Scenario, seed: int, gateways: int, engines: int) -> dict[str, Any]:
    started = time.process_time()
    age_us = None if one.age_s is None else one.age_s * SECOND_US
    cold = ColdStart(seed, gateways, engines, age_us, one.changed, one.down_s, one.load, one.heavier)
    report = _report(cold.run(one.down_s + _AFTER_S), one.down_s)
    print(f"{one.name:24} {json.dumps(report)}  {time.process_time() - started:.0f} s of CPU", flush=True)
    return report


def _has_missed(name: str, report: dict[str, Any], without_list: dict[str, Any]) -> bool:
    if report["engines_fallen"] or report["sends_to_known_gone"]:
        return True
    return name in AGES and bool(report["payoff"] < without_list["payoff"])


@click.command()
@click.option("--down", default=15.0, show_default=True, help="Seconds until discovery is back.")
@click.option("--seed", default=1, show_default=True)
@click.option("--gateways", default=50, show_default=True)
@click.option("--engines", default=500, show_default=True)
@click.option("--load", default=0.35, show_default=True, help="Of all cores.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")
def main(down: float, seed: int, gateways: int, engines: int, load: float, as_json: bool) -> None:
    """Play all scenarios."""
    runs = {one.name: _play(one, seed, gateways, engines) for one in _scenarios(down, load)}
    missed = [name for name, report in runs.items() if _has_missed(name, report, runs["no list"])]
    print(f"missed: {', '.join(missed) or 'nothing'}")
    if as_json:
        print(json.dumps({"runs": runs, "missed": missed}))
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()

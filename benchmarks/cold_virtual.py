"""A power loss on a virtual clock: python -m benchmarks.cold_virtual [--down S] [--seed N] [--json].

Fifty gateways and five hundred engines start at once, all engines cold, the register down for S seconds;
without a list and with lists of four ages. Then the register that is back in a second, and is behind, while
half as much again is asked as all engines can do. No socket; the exit code is 1 where an engine fell, one
known to be gone was sent to, or a list was worse than none.
"""

from __future__ import annotations

import json
import sys
import time

import click

from cresstray.simulation.cold import BEARS, FALLS, PIECE, SECOND, Cold, Told

# By age in seconds, the share of a list that is not as it was, in four ways as cold_start.py has: a tenth
# of the engines replaced a day for a week, and guesses up to a day.
AGES = {"10 s": (10, 0.0), "10 min": (600, 0.08), "1 day": (86_400, 0.16), "7 days": (7 * 86_400, 0.5)}
_AFTER = 6.0  # seconds that are played once the register is back


def _told(told: Told, down: float) -> dict:
    first = round(down * SECOND / PIECE)
    return {
        "payoff": round(told.share, 4),
        "bound": round(told.share_bound, 4),
        "payoff_while_down": round(sum(told.payoff[:first]) / first, 4),
        "sends_to_known_gone": told.known_gone,
        "sends_to_strangers": told.strangers,
        "engines_fallen": told.fallen,
        "peak_share_of_plan": round(told.peak, 3),
        "peak_share_of_cold_capacity": round(told.peak * BEARS / FALLS, 3),
        "seconds_to_90_percent": told.to_ninety,
    }


@click.command()
@click.option("--down", default=15.0, show_default=True, help="Seconds until the register is back.")
@click.option("--seed", default=1, show_default=True)
@click.option("--gateways", default=50, show_default=True)
@click.option("--engines", default=500, show_default=True)
@click.option("--load", default=0.35, show_default=True, help="Of all cores.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")
def main(down: float, seed: int, gateways: int, engines: int, load: float, as_json: bool) -> None:
    runs: dict[str, dict] = {}

    def play(
        name: str, age: int | None, changed: float, wait: float, asked: float, heavier: float = 1.0
    ) -> None:
        begun = time.process_time()
        age = age if age is None else age * SECOND
        cold = Cold(seed, gateways, engines, age, changed, wait, asked, heavier)
        runs[name] = _told(cold.run(wait + _AFTER), wait)
        print(f"{name:24} {json.dumps(runs[name])}  {time.process_time() - begun:.0f} s of CPU", flush=True)

    play("no list", None, AGES["7 days"][1], down, load)
    for name, (age, changed) in AGES.items():
        play(name, age, changed, down, load)
    play("heavier, and a surge", AGES["7 days"][0], 0.0, 2.0, 1.2, 1.5)
    play("behind, and a surge", AGES["10 s"][0], 0.0, 1.0, 1.5)
    bad = [
        name
        for name, one in runs.items()
        if one["engines_fallen"]
        or one["sends_to_known_gone"]
        or name in AGES
        and one["payoff"] < runs["no list"]["payoff"]
    ]
    print(f"missed: {', '.join(bad) or 'nothing'}")
    if as_json:
        print(json.dumps({"runs": runs, "missed": bad}))
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()

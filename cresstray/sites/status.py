"""Asks a running gateway for the state of its links, over its control socket."""

from __future__ import annotations

import json
import socket


def ask(path: str) -> dict:
    """OSError or ValueError where nobody answers, or no state."""
    with socket.socket(socket.AF_UNIX) as made:
        made.settimeout(3)
        made.connect(path)
        told = b""
        while data := made.recv(65536):
            told += data
    return json.loads(told)


def as_json(told: dict) -> str:
    return json.dumps(told, sort_keys=True)


def lines(told: dict) -> list[str]:
    """For people: a line a link."""
    made = [f"{told['gateway']} of {told['hall']}, incarnation {told['incarnation']}"]
    for link in told["to"]:
        trip = "-" if link["round trip ms"] is None else f"{link['round trip ms']} ms"
        more = ["it is leaving"] if link["leaving"] else []
        more += [f"closed for {link['closed ms']} ms"] if link["closed ms"] else []
        made.append(
            f"  to {link['peer']} {link['gateway'] or '(unknown)'}: {link['state']}, "
            f"round trip {trip}, room for {link['room threads']} threads, credit {link['credit']}, "
            f"{_ledger(link['ledger'])}{''.join(', ' + text for text in more)}"
        )
    for link in told["from"]:
        made.append(
            f"  from {link['hall']} {link['gateway']}: "
            f"{'connected' if link['connected'] else 'not connected'}, {_ledger(link['ledger'])}"
        )
    return made


def _ledger(counted: dict[str, int]) -> str:
    return ", ".join(f"{number} {state}" for state, number in sorted(counted.items())) or "nothing under way"

"""Reads the state of a running gateway's links to other sites over its control socket."""

from __future__ import annotations

import json
import socket


def request_status(path: str) -> dict:
    """Returns the status that the gateway sends on its control socket.

    Raises:
        OSError: no gateway answers on this socket.
        ValueError: the answer is not JSON.
    """
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(3)
        connection.connect(path)
        reply = b""
        while data := connection.recv(65536):
            reply += data
    return json.loads(reply)


def as_json(status: dict) -> str:
    """Returns the status as one line of JSON."""
    return json.dumps(status, sort_keys=True)


def format_lines(status: dict) -> list[str]:
    """Returns the status as text: one line for the gateway, and one for each link."""
    lines = [f"{status['gateway']} of {status['hall']}, incarnation {status['incarnation']}"]
    for link in status["to"]:
        round_trip = "-" if link["round trip ms"] is None else f"{link['round trip ms']} ms"
        notes = ["it is leaving"] if link["leaving"] else []
        notes += [f"closed for {link['closed ms']} ms"] if link["closed ms"] else []
        lines.append(
            f"  to {link['peer']} {link['gateway'] or '(unknown)'}: {link['state']}, "
            f"round trip {round_trip}, room for {link['room threads']} threads, credit {link['credit']}, "
            f"{_format_ledger(link['ledger'])}{''.join(', ' + note for note in notes)}"
        )
    for link in status["from"]:
        lines.append(
            f"  from {link['hall']} {link['gateway']}: "
            f"{'connected' if link['connected'] else 'not connected'}, {_format_ledger(link['ledger'])}"
        )
    return lines


def _format_ledger(counts: dict[str, int]) -> str:
    return ", ".join(f"{count} {state}" for state, count in sorted(counts.items())) or "nothing under way"

"""Section `store` of the operator's file: the shared store of idempotency records.

Keywords of the file keep their names; the fields behind them are:

    keyword        field               keyword         field
    addresses      addresses           answers         max_result_bytes
    tariffs        request_classes     unguarded       unguarded_rates
    namespace      namespace           unguarded-for   max_unguarded_us
    user           user                ask-most        max_lookup_us
    password       password_path       slow            slow_us
    tls            tls                 kept            retention_us
    journal        journal_path
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from cresstray.config import lines
from cresstray.config.lines import Section, Sheet, one_of

if TYPE_CHECKING:
    from collections.abc import Callable

# A stored result and the rest of its record stay, twice over, within what the store's client reads as one
# string.
_MAX_RESULT_BYTES = 64 * 1024
# Each first attempt of these classes asks the store in up to two round trips; with all classes listed it
# would delay every request. Eight are more than any deployment has of those that do harm when they run
# twice.
_MAX_REQUEST_CLASSES = 8
_MAX_ADDRESSES = 2
# Microseconds. A store that is away for an hour does not come back by itself. A millisecond is a good round
# trip; a request lives for three seconds at most, and needs them for its attempt. A record kept for less
# than a minute adds little to the engines' own deduplication; after a week no client repeats a request.
_BOUNDS_US = {
    "unguarded-for": (1_000_000, 3_600_000_000),
    "ask-most": (1_000, 1_000_000),
    "slow": (1_000, 1_000_000),
    "kept": (60_000_000, 604_800_000_000),
}
_MINUTE_US = 60_000_000
_FIELDS = {
    "addresses": "addresses",
    "tariffs": "request_classes",
    "namespace": "namespace",
    "user": "user",
    "password": "password_path",
    "tls": "tls",
    "journal": "journal_path",
    "answers": "max_result_bytes",
    "unguarded": "unguarded_rates",
    "unguarded-for": "max_unguarded_us",
    "ask-most": "max_lookup_us",
    "slow": "slow_us",
    "kept": "retention_us",
}


class StoreTlsFiles(msgspec.Struct, frozen=True):
    """Paths of PEM files: the store's authority, and a client certificate where the store wants one."""

    authority_path: str
    certificate_path: str = ""
    key_path: str = ""


class IdempotencySettings(msgspec.Struct, frozen=True):
    """What decides about requests and records.

    Attributes:
        namespace: First part of each key in the store.
        request_classes: Names of the classes whose requests are recorded.
        max_result_bytes: Longest result that a record stores; 0: none is stored.
        unguarded_rates: By class name, requests per second that may run while the store is unavailable.
        max_unguarded_us: For how long of an outage they may.
        max_lookup_us: Longest time that a request spends on the store.
        slow_us: A longer round trip counts as a fault.
        retention_ms: For how long the store keeps records.
    """

    namespace: str = "cresstray"
    request_classes: tuple[str, ...] = ()
    max_result_bytes: int = 0
    unguarded_rates: dict[str, int] = {}
    max_unguarded_us: int = 0
    max_lookup_us: int = 250_000
    slow_us: int = 50_000
    retention_ms: int = 3_600_000


class StoreSettings(msgspec.Struct, frozen=True):
    """The section as a whole; docs/operators/idempotency.md describes each line. Times in microseconds."""

    addresses: tuple[tuple[str, int], ...]
    request_classes: tuple[str, ...]
    namespace: str = "cresstray"
    user: str = "default"
    password_path: str = ""
    tls: StoreTlsFiles | None = None
    journal_path: str = ""
    max_result_bytes: int = 0
    unguarded_rates: tuple[tuple[str, int], ...] = ()  # class names, each with requests per second
    max_unguarded_us: int = 60_000_000
    max_lookup_us: int = 250_000
    slow_us: int = 50_000
    retention_us: int = 3_600_000_000

    def to_coordinator_settings(self) -> IdempotencySettings:
        """Returns the part that concerns requests and records, without the connection to the store.

        Times are rounded through floats of milliseconds or seconds, as earlier builds did: an expiry that a
        rolling upgrade writes differs from theirs in no digit.
        """
        return IdempotencySettings(
            namespace=self.namespace,
            request_classes=self.request_classes,
            max_result_bytes=self.max_result_bytes,
            unguarded_rates=dict(self.unguarded_rates),
            max_unguarded_us=int(self.max_unguarded_us / 1e6 * 1_000_000),
            max_lookup_us=int(self.max_lookup_us / 1000 * 1000),
            slow_us=int(self.slow_us / 1000 * 1000),
            retention_ms=int(self.retention_us / 1e6 * 1000),
        )


def _addresses(words: list[str]) -> tuple[tuple[str, int], ...]:
    if not 1 <= len(words) <= _MAX_ADDRESSES:
        raise ValueError("one address or two, each HOST:PORT")
    found = tuple(lines.address(word) for word in words)
    if len(set(found)) < len(found):
        raise ValueError("two different addresses")
    if any(":" in host or not port for host, port in found):
        raise ValueError("IPv4 addresses or names, and ports over 0")
    return found


def _request_classes(words: list[str]) -> tuple[str, ...]:
    if not 1 <= len(words) <= _MAX_REQUEST_CLASSES or len(set(words)) < len(words):
        raise ValueError(f"one to {_MAX_REQUEST_CLASSES} different names")
    return tuple(map(lines.name, words))


def _path(word: str) -> str:
    # A relative path would depend on the working directory.
    if not word.startswith("/"):
        raise ValueError("a path from / on")
    return word


def _tls(words: list[str]) -> StoreTlsFiles:
    if len(words) not in (1, 3):
        raise ValueError("AUTHORITY, or AUTHORITY CERTIFICATE KEY")
    return StoreTlsFiles(*map(_path, words))


def _result_size(word: str) -> int:
    if word == "none":
        return 0
    size = lines.size(word)
    if size > _MAX_RESULT_BYTES:
        raise ValueError("64k at the most")
    return size


def _unguarded_rates(words: list[str]) -> tuple[tuple[str, int], ...]:
    if words == ["none"]:
        return ()
    names = words[::2]
    rates = words[1::2]
    if not words or len(names) != len(rates) or len(set(names)) < len(names):
        raise ValueError("none, or each tariff once, with its submissions a second")
    return tuple((lines.name(name), lines.count(rate)) for name, rate in zip(names, rates))


def _format_span(span_us: int) -> str:
    return f"{span_us // _MINUTE_US}m" if span_us >= _MINUTE_US else f"{span_us // 1000}ms"


_LINE_READERS: dict[str, Callable[[list[str]], Any]] = {
    "addresses": _addresses,
    "tariffs": _request_classes,
    "namespace": one_of(lines.name),
    "user": one_of(lines.name),
    "password": one_of(_path),
    "tls": _tls,
    "journal": one_of(_path),
    "answers": one_of(_result_size),
    "unguarded": _unguarded_rates,
    "unguarded-for": one_of(lines.span),
    "ask-most": one_of(lines.span),
    "slow": one_of(lines.span),
    "kept": one_of(lines.span),
}
SECTION_READERS: dict[str, dict[str, Any]] = {"store": _LINE_READERS}


def read_store_section(sheet: Sheet, section: Section, values: dict[str, Any]) -> StoreSettings | None:
    """Returns None and notes faults on the sheet where the section is not valid.

    `values` are those of the lines that could be read, by keyword.
    """
    _check_required(sheet, section)
    _check_transport(sheet, section, values)
    _check_unguarded(sheet, section, values)
    _check_bounds(sheet, section, values)
    if sheet.faults:
        return None
    return StoreSettings(**{_FIELDS[keyword]: value for keyword, value in values.items()})


def _check_required(sheet: Sheet, section: Section) -> None:
    for keyword, what in (("addresses", "HOST:PORT [HOST:PORT]"), ("tariffs", "NAME...")):
        if keyword not in section.lines:
            sheet.fault(section.number, f"a line '{keyword} {what}' below it")


def _check_transport(sheet: Sheet, section: Section, values: dict[str, Any]) -> None:
    # Without TLS records and results would cross a network in the clear, and anybody could change one.
    for host, _ in values.get("addresses", ()):
        if "tls" not in section.lines and not lines.is_loopback(host):
            sheet.fault(section.lines["addresses"].number, f"a line 'tls', as {host} is not this machine")
    if "user" in values and "password" not in section.lines:
        sheet.fault(section.lines["user"].number, "a line 'password' as well")


def _check_unguarded(sheet: Sheet, section: Section, values: dict[str, Any]) -> None:
    for name, _ in values.get("unguarded", ()):
        if name not in values.get("tariffs", (name,)):
            number = section.lines["unguarded"].number
            sheet.fault(number, f"tariffs of the line 'tariffs'; {name!r} is not there")


def _check_bounds(sheet: Sheet, section: Section, values: dict[str, Any]) -> None:
    for keyword, (least_us, most_us) in _BOUNDS_US.items():
        if not least_us <= values.get(keyword, least_us) <= most_us:
            span = f"{_format_span(least_us)} to {_format_span(most_us)}"
            sheet.fault(section.lines[keyword].number, f"{keyword} from {span}")

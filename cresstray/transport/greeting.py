"""The greeting of a link between processes of one fleet: the peer's identity, and whether it may use it."""

from __future__ import annotations

import re
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

from cresstray.fleet_config.codec import MAGIC, ROLES, VERSION, Greeting
from cresstray.transport.framing import Frame, FramingError

if TYPE_CHECKING:
    from cresstray.config.fleet import Fleet

# The form of gateways' names in configuration documents. Names of control-plane nodes in the log hold their
# incarnation as well.
_NAME = re.compile(r"[0-9A-Za-z_.:@-]{1,64}")
_INCARNATION = re.compile(r"[0-9a-f]{1,32}")
_OPERATOR = "operator"
_CONTROL_PLANE_NODE = "keeper"  # the role's name on the wire
_DIGEST_BYTES = 16

SETTINGS_DIFFER = "another lease, floor-lease, drift, most or barred than in this file"


def settings_digest(fleet: Fleet) -> bytes:
    """Returns a digest of the settings that must be the same in all processes of one fleet.

    A gateway with a longer lease would still act when its leader takes it for stopped. Control-plane nodes
    that check documents by different limits would reach different states from one log.
    """
    settings = [fleet.lease, fleet.floor_lease, fleet.drift, fleet.most, fleet.barred]
    return blake2b(msgspec.msgpack.encode(settings), digest_size=_DIGEST_BYTES).digest()


def make_greeting(role: str, fleet: str, name: str, incarnation: str, digest: bytes = b"") -> Greeting:
    """Returns a greeting; control-plane nodes, and gateways that ask for leases, must give the `digest`."""
    return Greeting(MAGIC, VERSION, role, fleet, name, incarnation, digest)


def check_greeting(greeting: Frame, fleet: Fleet, certificate_names: set[str] | None) -> Greeting:
    """Returns the greeting if it is of this fleet and its sender may use the name and role in it.

    Args:
        greeting: the first frame of a link.
        fleet: the fleet by the configuration of this process.
        certificate_names: the names in the peer's certificate; None without TLS.

    Raises:
        FramingError: the greeting is not accepted; the message says why.
    """
    if not isinstance(greeting, Greeting) or greeting.magic != MAGIC:
        raise FramingError("no greeting")
    _check_fields(greeting, fleet)
    if certificate_names is not None and greeting.name not in certificate_names:
        allowed = ", ".join(sorted(certificate_names)) or "nobody"
        raise FramingError(f"{greeting.name!r} with a certificate for {allowed}")
    _check_role(greeting, fleet, certificate_names)
    return greeting


def _check_fields(greeting: Greeting, fleet: Fleet) -> None:
    if greeting.version != VERSION:
        raise FramingError(f"version {greeting.version}, this is {VERSION}")
    if greeting.fleet != fleet.name:
        raise FramingError(f"of fleet {greeting.fleet!r}")
    if greeting.role not in ROLES:
        raise FramingError(f"role {greeting.role!r}")
    if not _NAME.fullmatch(greeting.name) or not _INCARNATION.fullmatch(greeting.incarnation):
        raise FramingError(f"name {greeting.name!r}, incarnation {greeting.incarnation!r}")


def _check_role(greeting: Greeting, fleet: Fleet, certificate_names: set[str] | None) -> None:
    """Checks the role by the name: with a gateway's key nobody may change the configuration of the fleet."""
    is_node = fleet.keeper(greeting.name) is not None
    if greeting.role == _OPERATOR:
        is_operator = greeting.name == _OPERATOR or is_node
        if certificate_names is not None and not is_operator:
            raise FramingError(f"{greeting.name!r} as an operator")
        return
    if (greeting.role == _CONTROL_PLANE_NODE) != is_node or greeting.name == _OPERATOR:
        raise FramingError(f"{greeting.name!r} as a {greeting.role}")
    if is_node and greeting.nonce != settings_digest(fleet):
        raise FramingError(SETTINGS_DIFFER)

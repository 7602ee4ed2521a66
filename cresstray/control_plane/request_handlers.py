"""What the leader answers operators: reads of what is applied after the question came, and changes."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from cresstray.consensus.entries import Members
from cresstray.control_plane.codec import Ask
from cresstray.fleet_config import commands as commands
from cresstray.fleet_config import documents
from cresstray.fleet_config import validation as checks

if TYPE_CHECKING:
    from cresstray.control_plane.node_controller import Core

_LOST = {
    "error": "the leader has changed; whether it was taken is not known: ask again by the same request",
    "again": True,
}
Reply = Callable[[dict[str, Any]], None]


class Answers:
    def __init__(self, core: Core) -> None:
        self._core = core
        self._kinds: dict[str, Callable[[Ask, Reply], None]] = {
            "show": self._show,
            "past": self._past,
            "propose": self._propose,
            "check": self._check,
            "members": self._members,
            "replace": self._replace,
            "where": self._where,
            "forget": self._forget,
            "section": self._section,
        }
        self.zones: dict[str, str] = {}  # of each engine that the file names

    def also(self, what: str, told: Callable[[], dict[str, Any]]) -> None:
        """A question about another package, answered as of now."""
        self._kinds[what] = lambda ask, reply: reply(self._turns() | told())

    def take(self, ask: Ask, reply: Reply, now: int) -> None:
        """Every answer rests on a read: what was committed before the question is applied here."""
        known = self._kinds.get(ask.what)

        def kind(ask: Ask, reply: Reply) -> None:
            # Danger: a question that finds a fault of ours must not end the keeper that others need.
            try:
                known(ask, reply)
            except Exception:
                self._core.counters.add("faults")
                self._core.say("fault", traceback.format_exc(), question=ask.what)
                reply({"error": "a fault of the keeper; its log tells more"})

        if known is None:
            reply({"error": f"no question {ask.what!r}"})
        elif ask.what in ("propose", "section", "forget"):
            kind(ask, reply)
        else:
            self._core.read(lambda well: kind(ask, reply) if well else reply(dict(_LOST)), now)

    def _turns(self) -> dict[str, Any]:
        state = self._core.state
        return {
            "turn": state.turn,
            "in_force": state.turn // 2,
            "joint": bool(state.turn % 2),
            "latest": state.version,
            "stated_us": self._core.given.stated,
            "keeper": self._core.node.name,
        }

    def _show(self, ask: Ask, reply: Reply) -> None:
        """The latest content (0) or that of a version; `acting` is what gateways act on now."""
        state = self._core.state
        content = state.content(ask.version) if ask.version else state.latest
        if content is None:
            reply({"error": f"version {ask.version} is not known, or no longer"})
            return
        reply(
            self._turns()
            | {
                "documents": documents.to_plain(content),
                "acting": documents.to_plain(state.effective),
                "ghosts": sorted(state.departed_gateways),
                "waits_for": self._core.leases.blocking_gateways(state, self._core.now)
                if state.pending_turn() is not None
                else [],
            }
        )

    def _past(self, ask: Ask, reply: Reply) -> None:
        reply(
            self._turns()
            | {
                "past": [
                    {
                        "version": past.version,
                        "request": past.request,
                        "who": past.author,
                        "why": past.reason,
                        "documents": list(past.documents),
                    }
                    for past in self._core.state.history()
                ]
            }
        )

    def _propose(self, ask: Ask, reply: Reply) -> None:
        if ask.version:
            try:
                ask.bases, ask.change = self._core.state.revert_to(ask.version)
            except LookupError as trouble:
                reply({"error": str(trouble)})
                return
        refused = self._too_much(ask.change)
        # What this keeper's file alone refuses goes into the log as of no version: asked again by the same
        # request, it stays refused, and what was accepted under it before is told as it was.
        bases = dict.fromkeys(documents.NAMES, -1) if refused else ask.bases
        # Danger: a log that is read again with a newer file would come to another state.
        self._log(
            commands.encode_proposal(
                ask.request, bases, ask.change, ask.why, ask.name, self._core.state.fleet_inventory
            ),
            reply,
            refused,
        )

    def _too_much(self, change: bytes) -> list[str]:
        """What would be barred beyond a part of a zone; only a file that names engines knows zones."""
        state = self._core.state
        try:
            if not self.zones or "engines" not in documents.touched_documents(change):
                return []
            new = documents.apply_delta(state.latest, change)
        except ValueError:
            return []  # told by the log
        known = checks.validation_errors(state.latest, new, state.fleet_inventory)
        world = msgspec.structs.replace(state.fleet_inventory, engines=self.zones)
        return [one for one in checks.validation_errors(state.latest, new, world) if one not in known]

    def _log(self, data: bytes, reply: Reply, instead: list[str] | None = None) -> None:
        def applied(outcome: bytes | None) -> None:
            if outcome is None:
                reply(dict(_LOST))
                return
            told = commands.decode_result(outcome)
            reply(
                self._turns()
                | {
                    "accepted": told.is_accepted,
                    "version": told.version,
                    "refused": list(instead or told.reasons) if not told.is_accepted else [],
                }
            )

        try:
            if not self._core.propose(data, applied, self._core.now):
                reply({"error": "there is no leader", "again": True})
        except ValueError as trouble:
            reply({"error": str(trouble)})

    def _check(self, ask: Ask, reply: Reply) -> None:
        """What a proposal would hear, without one."""
        state = self._core.state
        bases, change = ask.bases, ask.change
        try:
            if ask.version:
                bases, change = state.revert_to(ask.version)
            new = documents.apply_delta(state.latest, change)
            names = documents.touched_documents(change)
        except (ValueError, LookupError) as trouble:
            reply({"error": str(trouble)})
            return
        refused = [
            f"{name}: the change is of version {bases.get(name, 0)}, and the latest is "
            f"{state.latest.version(name)}"
            for name in names
            if bases.get(name, 0) != state.latest.version(name)
        ]
        dropped = state.latest.gateways.items.keys() - new.gateways.items.keys()
        ghosts = (state.departed_gateways | dropped) - new.gateways.items.keys()
        refused += checks.validation_errors(
            state.latest, new, state.fleet_inventory, len(ghosts)
        ) + self._too_much(change)
        reply(
            self._turns()
            | {
                "accepted": not refused,
                "version": state.version + 1,
                "refused": refused,
                "old": documents.to_plain(state.latest),
                "new": documents.to_plain(new),
            }
        )

    def _forget(self, ask: Ask, reply: Reply) -> None:
        """An operator says that a gateway which no list names any more is out for good."""
        self._log(commands.encode_departed(ask.name, ask.why or "an operator says that it is out"), reply)

    def _section(self, ask: Ask, reply: Reply) -> None:
        """A command of another package, which knows its own bytes and its own outcome."""

        def applied(outcome: bytes | None) -> None:
            reply(dict(_LOST) if outcome is None else self._turns() | {"outcome": outcome})

        if ask.name not in self._core.state.sections:
            reply({"error": f"no section {ask.name!r}"})
        elif not self._core.propose(
            commands.encode_section_command(ask.name, ask.request, ask.change), applied, self._core.now
        ):
            reply({"error": "there is no leader", "again": True})

    def _where(self, ask: Ask, reply: Reply) -> None:
        core = self._core
        reply(
            self._turns()
            | {
                "gateways": [
                    {
                        "gateway": one.gateway,
                        "turn": one.turn if one.turn >= 0 else None,
                        "lease_us": one.lease_left_us,
                        "age_us": one.heard_ago_us if one.heard_ago_us >= 0 else None,
                        "ghost": one.gateway in core.state.departed_gateways,
                    }
                    for one in core.leases.gateway_statuses(core.state, core.now)
                ],
                "waits_for": core.leases.blocking_gateways(core.state, core.now)
                if core.state.pending_turn() is not None
                else [],
            }
        )

    def _members(self, ask: Ask, reply: Reply) -> None:
        node = self._core.node
        known = node.members.names()
        strangers = sorted(
            f"{name}/{life}" for name, life in self._core.heard.items() if f"{name}/{life}" not in known
        )
        reply(
            self._turns()
            | {
                "leader": node.leader,
                "term": node.term,
                "commit": node.commit,
                "voters": list(node.members.voters),
                "learners": list(node.members.learners),
                "strangers": strangers,
                "connected": sorted(
                    {
                        node.name,
                        *(
                            f"{guest.name}/{guest.life}"
                            for guest in self._core.guests.values()
                            if guest.role == "keeper"
                        ),
                    }
                ),
            }
        )

    def _replace(self, ask: Ask, reply: Reply) -> None:
        """One step of taking in a keeper's new generation; asked again until it is done.

        learner, once it has come > voter, once it has caught up > the old one is dropped.
        """
        core, node = self._core, self._core.node
        life = core.heard.get(ask.name, "")
        fresh = node.name if node.name.partition("/")[0] == ask.name else f"{ask.name}/{life}"
        voters, learners = node.members.voters, node.members.learners
        old = [name for name in node.members.names() if name.partition("/")[0] == ask.name and name != fresh]
        if core.given.keeper(ask.name) is None:
            reply({"error": f"{ask.name!r} is no keeper of the file"})
            return
        if fresh != node.name and f"keeper:{fresh}" not in core.guests:
            reply(
                self._turns()
                | {
                    "step": "waits",
                    "name": fresh,
                    "done": False,
                    "why": f"no {ask.name} is connected to the leader",
                }
            )
            return
        if fresh not in node.members.names():
            step, members = "admitted to listen", Members(voters, tuple(sorted((*learners, fresh))))
        elif fresh in learners:
            step = "votes"
            members = Members(
                tuple(sorted((*voters, fresh))), tuple(name for name in learners if name != fresh)
            )
        elif old:
            step = f"{old[0]} dropped"
            members = Members(
                tuple(name for name in voters if name != old[0]),
                tuple(name for name in learners if name != old[0]),
            )
        elif fresh != node.name and not node.hears(fresh, core.now):
            # Danger: the link of a keeper that lost its disk may stand for a while; nothing was replaced.
            reply(
                self._turns()
                | {"step": "waits", "name": fresh, "done": False, "why": f"{fresh} is not heard of"}
            )
            return
        else:
            reply(self._turns() | {"step": "done", "name": fresh, "done": True})
            return
        try:
            if node.change(members, core.now) is None:
                reply({"error": "there is no leader", "again": True})
                return
        except ValueError as trouble:  # it is behind, or an earlier step is still on its way
            reply(self._turns() | {"step": "waits", "name": fresh, "done": False, "why": str(trouble)})
            return
        core.say("keeper", "a change of members", name=fresh, step=step)
        reply(self._turns() | {"step": step, "name": fresh, "done": False})

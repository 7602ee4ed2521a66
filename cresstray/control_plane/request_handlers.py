"""What the leader answers operators: reads of what is applied after the question came, and changes."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from cresstray.consensus.entries import Members
from cresstray.control_plane.codec import OperatorCommand
from cresstray.fleet_config import commands, documents, validation

if TYPE_CHECKING:
    from cresstray.control_plane.node_controller import NodeController

_OUTCOME_UNKNOWN = {
    "error": "the leader has changed; whether it was taken is not known: ask again by the same request",
    "again": True,
}
Reply = Callable[[dict[str, Any]], None]


class RequestHandlers:
    def __init__(self, controller: NodeController) -> None:
        self._controller = controller
        self._handlers: dict[str, Callable[[OperatorCommand, Reply], None]] = {
            "show": self._show,
            "past": self._history,
            "propose": self._propose,
            "check": self._check,
            "members": self._members,
            "replace": self._replace,
            "where": self._gateways,
            "forget": self._forget,
            "section": self._section,
        }
        self.zones: dict[str, str] = {}  # of each engine that the file names

    def register_status(self, what: str, status: Callable[[], dict[str, Any]]) -> None:
        """A question about another package, answered as of now."""
        self._handlers[what] = lambda command, reply: reply(self._version_status() | status())

    def handle(self, command: OperatorCommand, reply: Reply, now_us: int) -> None:
        """Every answer rests on a read: what was committed before the question is applied here."""
        handler = self._handlers.get(command.kind)

        def run_handler(command: OperatorCommand, reply: Reply) -> None:
            # Danger: a question that finds a fault of ours must not end the keeper that others need.
            try:
                handler(command, reply)
            except Exception:
                self._controller.counters.add("faults")
                self._controller.log_event("fault", traceback.format_exc(), question=command.kind)
                reply({"error": "a fault of the keeper; its log tells more"})

        if handler is None:
            reply({"error": f"no question {command.kind!r}"})
        elif command.kind in ("propose", "section", "forget"):
            run_handler(command, reply)
        else:
            self._controller.read(
                lambda is_leader: run_handler(command, reply) if is_leader else reply(dict(_OUTCOME_UNKNOWN)),
                now_us,
            )

    def _version_status(self) -> dict[str, Any]:
        state = self._controller.state
        return {
            "turn": state.turn,
            "in_force": state.turn // 2,
            "joint": bool(state.turn % 2),
            "latest": state.version,
            "stated_us": self._controller.settings.stated,
            "keeper": self._controller.node.name,
        }

    def _show(self, command: OperatorCommand, reply: Reply) -> None:
        """The latest content (0) or that of a version; `acting` is what gateways act on now."""
        state = self._controller.state
        content = state.content(command.version) if command.version else state.latest
        if content is None:
            reply({"error": f"version {command.version} is not known, or no longer"})
            return
        reply(
            self._version_status()
            | {
                "documents": documents.to_plain(content),
                "acting": documents.to_plain(state.effective),
                "ghosts": sorted(state.departed_gateways),
                "waits_for": self._controller.leases.blocking_gateways(state, self._controller.now_us)
                if state.pending_turn() is not None
                else [],
            }
        )

    def _history(self, command: OperatorCommand, reply: Reply) -> None:
        reply(
            self._version_status()
            | {
                "past": [
                    {
                        "version": past.version,
                        "request": past.request,
                        "who": past.author,
                        "why": past.reason,
                        "documents": list(past.documents),
                    }
                    for past in self._controller.state.history()
                ]
            }
        )

    def _propose(self, command: OperatorCommand, reply: Reply) -> None:
        if command.version:
            try:
                command.base_versions, command.delta = self._controller.state.revert_to(command.version)
            except LookupError as error:
                reply({"error": str(error)})
                return
        refused = self._refusals_by_zone(command.delta)
        # What this keeper's file alone refuses goes into the log as of no version: asked again by the same
        # request, it stays refused, and what was accepted under it before is told as it was.
        bases = dict.fromkeys(documents.NAMES, -1) if refused else command.base_versions
        # Danger: a log that is read again with a newer file would come to another state.
        self._propose_command(
            commands.encode_proposal(
                command.request_id,
                bases,
                command.delta,
                command.reason,
                command.name,
                self._controller.state.fleet_state,
            ),
            reply,
            refused,
        )

    def _refusals_by_zone(self, change: bytes) -> list[str]:
        """What would be barred beyond a part of a zone; only a file that names engines knows zones."""
        state = self._controller.state
        try:
            if not self.zones or "engines" not in documents.touched_documents(change):
                return []
            new = documents.apply_delta(state.latest, change)
        except ValueError:
            return []  # told by the log
        known_refusals = validation.refusals(state.latest, new, state.fleet_state)
        fleet_state = msgspec.structs.replace(state.fleet_state, engines=self.zones)
        return [
            refusal
            for refusal in validation.refusals(state.latest, new, fleet_state)
            if refusal not in known_refusals
        ]

    def _propose_command(self, data: bytes, reply: Reply, instead: list[str] | None = None) -> None:
        def applied(outcome: bytes | None) -> None:
            if outcome is None:
                reply(dict(_OUTCOME_UNKNOWN))
                return
            status = commands.decode_result(outcome)
            reply(
                self._version_status()
                | {
                    "accepted": status.is_accepted,
                    "version": status.version,
                    "refused": list(instead or status.reasons) if not status.is_accepted else [],
                }
            )

        try:
            if not self._controller.propose(data, applied, self._controller.now_us):
                reply({"error": "there is no leader", "again": True})
        except ValueError as error:
            reply({"error": str(error)})

    def _check(self, command: OperatorCommand, reply: Reply) -> None:
        """What a proposal would hear, without one."""
        state = self._controller.state
        bases, change = command.base_versions, command.delta
        try:
            if command.version:
                bases, change = state.revert_to(command.version)
            new = documents.apply_delta(state.latest, change)
            names = documents.touched_documents(change)
        except (ValueError, LookupError) as error:
            reply({"error": str(error)})
            return
        refused = [
            f"{name}: the change is of version {bases.get(name, 0)}, and the latest is "
            f"{state.latest.version(name)}"
            for name in names
            if bases.get(name, 0) != state.latest.version(name)
        ]
        dropped = state.latest.gateways.items.keys() - new.gateways.items.keys()
        ghosts = (state.departed_gateways | dropped) - new.gateways.items.keys()
        refused += validation.refusals(
            state.latest, new, state.fleet_state, len(ghosts)
        ) + self._refusals_by_zone(change)
        reply(
            self._version_status()
            | {
                "accepted": not refused,
                "version": state.version + 1,
                "refused": refused,
                "old": documents.to_plain(state.latest),
                "new": documents.to_plain(new),
            }
        )

    def _forget(self, command: OperatorCommand, reply: Reply) -> None:
        """An operator says that a gateway which no list names any more is out for good."""
        self._propose_command(
            commands.encode_departed(command.name, command.reason or "an operator says that it is out"), reply
        )

    def _section(self, command: OperatorCommand, reply: Reply) -> None:
        """A command of another package, which knows its own bytes and its own outcome."""

        def applied(outcome: bytes | None) -> None:
            reply(
                dict(_OUTCOME_UNKNOWN) if outcome is None else self._version_status() | {"outcome": outcome}
            )

        if command.name not in self._controller.state.sections:
            reply({"error": f"no section {command.name!r}"})
        elif not self._controller.propose(
            commands.encode_section_command(command.name, command.request_id, command.delta),
            applied,
            self._controller.now_us,
        ):
            reply({"error": "there is no leader", "again": True})

    def _gateways(self, command: OperatorCommand, reply: Reply) -> None:
        controller = self._controller
        reply(
            self._version_status()
            | {
                "gateways": [
                    {
                        "gateway": one.gateway,
                        "turn": one.turn if one.turn >= 0 else None,
                        "lease_us": one.lease_left_us,
                        "age_us": one.heard_ago_us if one.heard_ago_us >= 0 else None,
                        "ghost": one.gateway in controller.state.departed_gateways,
                    }
                    for one in controller.leases.gateway_statuses(controller.state, controller.now_us)
                ],
                "waits_for": controller.leases.blocking_gateways(controller.state, controller.now_us)
                if controller.state.pending_turn() is not None
                else [],
            }
        )

    def _members(self, command: OperatorCommand, reply: Reply) -> None:
        node = self._controller.node
        member_names = node.members.names()
        strangers = sorted(
            f"{name}/{incarnation}"
            for name, incarnation in self._controller.seen_incarnations.items()
            if f"{name}/{incarnation}" not in member_names
        )
        reply(
            self._version_status()
            | {
                "leader": node.leader,
                "term": node.term,
                "commit": node.commit_index,
                "voters": list(node.members.voters),
                "learners": list(node.members.learners),
                "strangers": strangers,
                "connected": sorted(
                    {
                        node.name,
                        *(
                            f"{guest.name}/{guest.incarnation}"
                            for guest in self._controller.incoming_links.values()
                            if guest.role == "keeper"
                        ),
                    }
                ),
            }
        )

    def _replace(self, command: OperatorCommand, reply: Reply) -> None:
        """One step of taking in a keeper's new generation; asked again until it is done.

        learner, once it has come > voter, once it has caught up > the old one is dropped.
        """
        controller, node = self._controller, self._controller.node
        incarnation = controller.seen_incarnations.get(command.name, "")
        new_name = (
            node.name if node.name.partition("/")[0] == command.name else f"{command.name}/{incarnation}"
        )
        voters, learners = node.members.voters, node.members.learners
        old = [
            name
            for name in node.members.names()
            if name.partition("/")[0] == command.name and name != new_name
        ]
        if controller.settings.keeper(command.name) is None:
            reply({"error": f"{command.name!r} is no keeper of the file"})
            return
        if new_name != node.name and f"keeper:{new_name}" not in controller.incoming_links:
            reply(
                self._version_status()
                | {
                    "step": "waits",
                    "name": new_name,
                    "done": False,
                    "why": f"no {command.name} is connected to the leader",
                }
            )
            return
        if new_name not in node.members.names():
            step, members = "admitted to listen", Members(voters, tuple(sorted((*learners, new_name))))
        elif new_name in learners:
            step = "votes"
            members = Members(
                tuple(sorted((*voters, new_name))), tuple(name for name in learners if name != new_name)
            )
        elif old:
            step = f"{old[0]} dropped"
            members = Members(
                tuple(name for name in voters if name != old[0]),
                tuple(name for name in learners if name != old[0]),
            )
        elif new_name != node.name and not node.is_recently_active(new_name, controller.now_us):
            # Danger: the link of a keeper that lost its disk may stand for a while; nothing was replaced.
            reply(
                self._version_status()
                | {"step": "waits", "name": new_name, "done": False, "why": f"{new_name} is not heard of"}
            )
            return
        else:
            reply(self._version_status() | {"step": "done", "name": new_name, "done": True})
            return
        try:
            if node.propose_members(members, controller.now_us) is None:
                reply({"error": "there is no leader", "again": True})
                return
        except ValueError as error:  # it is behind, or an earlier step is still on its way
            reply(
                self._version_status() | {"step": "waits", "name": new_name, "done": False, "why": str(error)}
            )
            return
        controller.log_event("keeper", "a change of members", name=new_name, step=step)
        reply(self._version_status() | {"step": step, "name": new_name, "done": False})

"""Handlers of operators' queries and commands, run by the leader."""

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
    """Handles operators' commands by their kind.

    Attributes:
        zones: The zone of each engine in the settings.
    """

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
        self.zones: dict[str, str] = {}

    def register_status(self, kind: str, status: Callable[[], dict[str, Any]]) -> None:
        """Adds a query of the given kind, answered with another package's current status."""
        self._handlers[kind] = lambda command, reply: reply(self._version_status() | status())

    def handle(self, command: OperatorCommand, reply: Reply, now_us: int) -> None:
        """Handles a command.

        Queries are linearizable: all that was committed before the command is applied first.
        """
        handler = self._handlers.get(command.kind)

        def run_handler(command: OperatorCommand, reply: Reply) -> None:
            # A command that hits a bug must not end the node.
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
        """Returns the fields that all replies have.

        In turn 2n version n is in force; turn 2n + 1 is joint: versions n and n + 1 hold together.
        """
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
        """Replies with the latest content, or that of a version, and with what gateways act on now."""
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
        # A delta that only this node's settings refuse is logged with base versions that can't match: a retry
        # of the request stays refused, and a request that was accepted before gets its earlier outcome.
        base_versions = dict.fromkeys(documents.NAMES, -1) if refused else command.base_versions
        # The entry holds the inventory, as a log replayed under newer settings would give another state.
        self._propose_command(
            commands.encode_proposal(
                command.request_id,
                base_versions,
                command.delta,
                command.reason,
                command.name,
                self._controller.state.fleet_inventory,
            ),
            reply,
            refused,
        )

    def _refusals_by_zone(self, delta: bytes) -> list[str]:
        """Returns the refusals for barring too much of a zone; none unless the settings name engines."""
        state = self._controller.state
        try:
            if not self.zones or "engines" not in documents.touched_documents(delta):
                return []
            new = documents.apply_delta(state.latest, delta)
        except ValueError:
            return []  # the log entry's outcome says so
        known_refusals = validation.validation_errors(state.latest, new, state.fleet_inventory)
        fleet_inventory = msgspec.structs.replace(state.fleet_inventory, engines=self.zones)
        return [
            refusal
            for refusal in validation.validation_errors(state.latest, new, fleet_inventory)
            if refusal not in known_refusals
        ]

    def _propose_command(self, data: bytes, reply: Reply, refused: list[str] | None = None) -> None:
        def on_applied(outcome: bytes | None) -> None:
            if outcome is None:
                reply(dict(_OUTCOME_UNKNOWN))
                return
            status = commands.decode_result(outcome)
            reply(
                self._version_status()
                | {
                    "accepted": status.is_accepted,
                    "version": status.version,
                    "refused": list(refused or status.reasons) if not status.is_accepted else [],
                }
            )

        try:
            if not self._controller.propose(data, on_applied, self._controller.now_us):
                reply({"error": "there is no leader", "again": True})
        except ValueError as error:
            reply({"error": str(error)})

    def _check(self, command: OperatorCommand, reply: Reply) -> None:
        """Replies with the outcome that a proposal would have, without proposing."""
        state = self._controller.state
        base_versions, delta = command.base_versions, command.delta
        try:
            if command.version:
                base_versions, delta = state.revert_to(command.version)
            new = documents.apply_delta(state.latest, delta)
            names = documents.touched_documents(delta)
        except (ValueError, LookupError) as error:
            reply({"error": str(error)})
            return
        refused = [
            f"{name}: the change is of version {base_versions.get(name, 0)}, and the latest is "
            f"{state.latest.version(name)}"
            for name in names
            if base_versions.get(name, 0) != state.latest.version(name)
        ]
        dropped = state.latest.gateways.items.keys() - new.gateways.items.keys()
        departed = (state.departed_gateways | dropped) - new.gateways.items.keys()
        refused += validation.validation_errors(
            state.latest, new, state.fleet_inventory, len(departed)
        ) + self._refusals_by_zone(delta)
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
        """Records that a gateway, which the configuration no longer lists, has stopped for good."""
        self._propose_command(
            commands.encode_departed(command.name, command.reason or "an operator says that it is out"), reply
        )

    def _section(self, command: OperatorCommand, reply: Reply) -> None:
        """Proposes a command of another package, whose data and outcome only that package interprets."""

        def on_applied(outcome: bytes | None) -> None:
            reply(
                dict(_OUTCOME_UNKNOWN) if outcome is None else self._version_status() | {"outcome": outcome}
            )

        if command.name not in self._controller.state.sections:
            reply({"error": f"no section {command.name!r}"})
        elif not self._controller.propose(
            commands.encode_section_command(command.name, command.request_id, command.delta),
            on_applied,
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
                        "gateway": status.gateway,
                        "turn": status.turn if status.turn >= 0 else None,
                        "lease_us": status.lease_left_us,
                        "age_us": status.heard_ago_us if status.heard_ago_us >= 0 else None,
                        "ghost": status.gateway in controller.state.departed_gateways,
                    }
                    for status in controller.leases.gateway_statuses(controller.state, controller.now_us)
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
                            f"{peer.name}/{peer.incarnation}"
                            for peer in self._controller.incoming_links.values()
                            if peer.role == "keeper"
                        ),
                    }
                ),
            }
        )

    def _replace(self, command: OperatorCommand, reply: Reply) -> None:
        """Does the next step of replacing a node by its new incarnation; repeated by the operator until done.

        The steps: the new incarnation becomes a learner once it is connected, then a voter once it has caught
        up, then the old one is removed.
        """
        controller, node = self._controller, self._controller.node
        incarnation = controller.seen_incarnations.get(command.name, "")
        new_name = (
            node.name if node.name.partition("/")[0] == command.name else f"{command.name}/{incarnation}"
        )
        voters, learners = node.members.voters, node.members.learners
        old_names = [
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
        elif old_names:
            step = f"{old_names[0]} dropped"
            members = Members(
                tuple(name for name in voters if name != old_names[0]),
                tuple(name for name in learners if name != old_names[0]),
            )
        elif new_name != node.name and not node.is_recently_active(new_name, controller.now_us):
            # The link of a node that lost its disk may live on for a while; nothing was replaced yet.
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
        except ValueError as error:  # it lags, or an earlier step is not yet committed
            reply(
                self._version_status() | {"step": "waits", "name": new_name, "done": False, "why": str(error)}
            )
            return
        controller.log_event("keeper", "a change of members", name=new_name, step=step)
        reply(self._version_status() | {"step": step, "name": new_name, "done": False})

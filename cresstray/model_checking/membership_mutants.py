"""Broken variants of the membership, each with the property and the configuration that must show it."""

from __future__ import annotations

from cresstray.membership import remembered_list
from cresstray.membership.estimate import MembershipEstimate
from cresstray.membership.guard import AdmissionGuard
from cresstray.membership.reconciliation import IndexTracker
from cresstray.membership.recovery import Membership
from cresstray.model_checking.patching import Mutant, lines

MUTANTS = (
    Mutant(
        "tombstones_forgotten_at_restart",
        "belief",
        "belief",
        lines(
            (
                Membership.snapshot_builder,
                "newest_entries(self.estimate.tombstones.unexpired(now_us), list(request_names))",
                "newest_entries([], list(request_names))",
            )
        ),
    ),
    Mutant(
        "older_list_taken_as_newer",
        "belief",
        "belief",
        lines((IndexTracker.observe, "if index >= self.highest:", "if True:")),
    ),
    Mutant(
        "warm_though_not_handed_over",
        "belief",
        "belief",
        lines(
            (
                MembershipEstimate._list_endpoint,
                "self.is_handed_over\n"
                "        and now_us - self.started_us < HANDOVER_VALIDITY_US\n"
                "        and ",
                "",
            )
        ),
    ),
    Mutant(
        "once_only_sent_on_trial",
        "belief",
        "belief",
        lines((AdmissionGuard.allows, "or not self._membership.is_unproven(engine)", "or True")),
    ),
    Mutant(
        "just_listed_is_no_trial",
        "belief",
        "belief",
        lines((Membership.is_unproven, "return engine.forwarding is None", "return False")),
    ),
    Mutant(
        "refused_is_no_trial",
        "belief",
        "trials",
        lines(
            (
                Membership.is_unproven,
                "not in (EstimateState.REGISTERED, EstimateState.CONFIRMED)",
                "is EstimateState.PROBING",
            )
        ),
    ),
    Mutant(
        "newer_start_unheard",
        "belief",
        "belief",
        lines(
            (
                remembered_list._take_later_start,
                "and endpoint.started_us > known.endpoint.started_us",
                "and False",
            )
        ),
    ),
    Mutant(
        "left_out_is_kept",
        "belief",
        "belief",
        lines((MembershipEstimate.apply_event, "if known_id not in named]", "if False]")),
    ),
    Mutant(
        "older_start_believed",
        "belief",
        "belief",
        lines(
            (MembershipEstimate._is_outdated, "index < self.index_tracker.highest\n        and", "False and")
        ),
    ),
    Mutant(
        "address_of_another_kept",
        "belief",
        "belief",
        lines(
            (MembershipEstimate._release_address, "if owner == endpoint.id or owner in named:", "if True:")
        ),
    ),
    Mutant(
        "listed_though_told_gone",
        "belief",
        "belief",
        lines(
            (
                Membership.on_endpoint_event,
                "self._pending.pop(endpoint.id, None)\n"
                "    if applied_event.is_complete:\n        self._pending.clear()",
                "pass",
            )
        ),
    ),
    Mutant(
        "warm_as_the_register_had_it",
        "belief",
        "belief",
        lines(
            (
                MembershipEstimate._start_for_listing_us,
                "return max(endpoint.started_us, known.listed_start_us)",
                "return endpoint.started_us",
            )
        ),
    ),
    Mutant(
        "last_write_unheard",
        "belief",
        "belief",
        lines(
            (
                remembered_list._is_superseded,
                "estimate.state is not EstimateState.REGISTERED",
                "estimate.state in (EstimateState.REMEMBERED, EstimateState.UNREACHABLE)",
            )
        ),
    ),
    Mutant(
        "refusal_forgotten_once_asked_again",
        "belief",
        "trials",
        lines(
            (
                MembershipEstimate._start_for_listing_us,
                "known is not None and known.failure_count > 0",
                "known is not None and known.state is EstimateState.UNREACHABLE",
            )
        ),
    ),
    Mutant(
        "refusal_forgotten_with_the_last_write",
        "belief",
        "trials",
        lines((remembered_list._merge_endpoint, "0 if known is None else known.failure_count", "0")),
    ),
)

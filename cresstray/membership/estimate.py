"""The membership estimate: the state of each endpoint, by evidence from lists, probes and traffic.

| state | probe starts | listening | served | refused | timed out | draining | wrong identity |
| --- | --- | --- | --- | --- | --- | --- | --- |
| REMEMBERED | PROBING | - | - | - | - | - | - |
| PROBING, not listed | - | listed | listed | UNREACHABLE | UNREACHABLE | UNREACHABLE | REMOVED |
| PROBING, listed | - | - | CONFIRMED | UNREACHABLE | UNREACHABLE | UNREACHABLE | REMOVED |
| CONFIRMED | - | - | - | UNREACHABLE | - | UNREACHABLE | REMOVED |
| UNREACHABLE | PROBING | - | - | - | - | - | - |
| REGISTERED | - | - | - | - | - | - | - |
| REMOVED | - | - | - | - | - | - | - |

"-" stands for no change. Discovery changes any state to REGISTERED by naming the endpoint, and to REMOVED by
removing it or by leaving it out of a complete list; a removed endpoint returns by news that is later than its
removal. An endpoint that changes from PROBING (listed) or CONFIRMED to UNREACHABLE or REMOVED is not listed
any more. A snapshot only changes the states of endpoints that neither discovery nor a contact of this process
has given evidence of.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.membership.confidence import (
    HANDOVER_VALIDITY_US,
    SECOND_US,
)
from cresstray.membership.estimate_states import (
    ContactResult,
    EndpointEstimate,
    EstimateState,
    EvidenceSource,
)
from cresstray.membership.estimate_table import EstimateTable
from cresstray.membership.probe_budget import retry_delay_us
from cresstray.membership.reconciliation import Tombstone
from cresstray.membership.remembered_list import apply_tombstones, merge_endpoints
from cresstray.policy.types import EndpointState

# A probe without a result after so long is lost, as an attempt to connect times out far sooner.
_PROBE_TIMEOUT_US = 5 * SECOND_US
# Discovery sends an empty frame each second; after so long without one its watch counts as silent.
_WATCH_SILENCE_TIMEOUT_US = 2 * SECOND_US
# While no endpoint is listed, requests wait for the first probes for so long; after that they are rejected.
_FIRST_PROBES_TIMEOUT_US = SECOND_US // 2
# The retry_after of a rejected request is random between this share of the maximum and the maximum.
_MIN_RETRY_AFTER_SHARE = 0.25


class MembershipEstimate(EstimateTable):
    """The estimates of all endpoints. Times are microseconds of one clock, ages microseconds.

    Methods return the endpoints whose listing for requests changes by the call, as endpoints of an event.
    `chance` returns a number in [0, 1).

    Attributes:
        started_us: When the process started.
        is_handed_over: The snapshot is of a gateway that has handed over to this one a moment ago.
    """

    def __init__(
        self, drain_grace_us: int, max_retry_after_us: int, chance: Callable[[], float], now_us: int
    ) -> None:
        super().__init__(now_us)
        self._drain_grace_us = drain_grace_us
        self._max_retry_after_us = max_retry_after_us
        self._chance = chance
        self.started_us = now_us
        self.is_handed_over = False
        # Random, so that gateways probe in different orders.
        self._probe_order: list[int] = []

    # Lists from other sources than discovery.

    def merge_remembered(
        self,
        remembered: Iterable[tuple[Endpoint, int]],
        index: int,
        tombstones: list[Tombstone],
        source: EvidenceSource,
        now_us: int,
        is_handed_over: bool = False,
    ) -> list[Endpoint]:
        """Merges a snapshot or the list of another gateway; better evidence of this process takes precedence.

        Args:
            remembered: Endpoints, each with the age of the last evidence of it.
            index: The index of discovery when the list was written.
            tombstones: Removed endpoints, which take precedence over whatever listens at their addresses.
            source: Where the list comes from.
            now_us: The present time.
            is_handed_over: The list was written a moment ago by a gateway that ended as planned.

        Returns:
            Listed endpoints that the list names as removed, or as restarted since.
        """
        listed_before = {
            endpoint_id: (estimate.endpoint, estimate.listed_start_us)
            for endpoint_id, estimate in self.endpoints.items()
            if estimate.is_listed and estimate.state is not EstimateState.REGISTERED
        }
        apply_tombstones(self, tombstones, now_us)
        if source is EvidenceSource.DISK:
            self.index_tracker.highest = max(self.index_tracker.highest, index)
            self.is_handed_over = is_handed_over
        merge_endpoints(self, remembered, index, source, self._drain_grace_us, now_us)
        self._shuffle_probe_order()
        return self._changed_since(listed_before)

    def _shuffle_probe_order(self) -> None:
        order = sorted(self.endpoints)
        for last in range(len(order) - 1, 0, -1):
            other = int(self._chance() * (last + 1))
            order[last], order[other] = order[other], order[last]
        self._probe_order = order

    def _changed_since(self, listed_before: dict[int, tuple[Endpoint, int]]) -> list[Endpoint]:
        changed = []
        for endpoint_id, (endpoint, listed_start_us) in listed_before.items():
            estimate = self.endpoints.get(endpoint_id)
            if estimate is None:
                changed.append(_as_removed(endpoint))
            elif estimate.listed_start_us > listed_start_us:
                changed.append(_as_ready(estimate.endpoint, estimate.listed_start_us))
        return changed

    # Events of discovery, which take precedence over all other evidence.

    def apply_event(self, event: EndpointEvent, now_us: int) -> EndpointEvent:
        """Applies an event; returns it without the endpoints that an older list would bring back.

        A complete list with a smaller index than an earlier one becomes a partial list, as it can't tell
        which endpoints are removed.
        """
        is_complete = self.index_tracker.observe(event.index, event.is_complete, now_us)
        named = {endpoint.id for endpoint in event.endpoints}
        endpoints: list[Endpoint] = []
        for endpoint in event.endpoints:
            if endpoint.state is EndpointState.REMOVED:
                self.remove(endpoint.id, endpoint.started_us, event.index, now_us)
                endpoints.append(endpoint)
            elif not self._is_outdated(endpoint, event.index):
                endpoints += self._register(endpoint, named, event.index, now_us)
        if is_complete:
            for endpoint_id in [known_id for known_id in self.endpoints if known_id not in named]:
                self.remove(endpoint_id, 0, event.index, now_us)
            # A complete list removes endpoints, and their connections, by leaving them out.
            endpoints = [endpoint for endpoint in endpoints if endpoint.state is not EndpointState.REMOVED]
        return EndpointEvent(event.index, is_complete, endpoints)

    def _is_outdated(self, endpoint: Endpoint, index: int) -> bool:
        """Whether a later removal of the endpoint is known or, if the list is an older one, a later start."""
        if self.tombstones.forbids(endpoint.id, endpoint.started_us, index):
            return True
        known = self.endpoints.get(endpoint.id)
        return (
            index < self.index_tracker.highest
            and known is not None
            and known.endpoint.started_us > endpoint.started_us
        )

    def _register(self, endpoint: Endpoint, named: set[int], index: int, now_us: int) -> list[Endpoint]:
        changed = self._release_address(endpoint, named, index, now_us)
        started_us = self._start_for_listing_us(endpoint, index, now_us)
        estimate = EndpointEstimate(
            endpoint,
            EstimateState.REGISTERED,
            EvidenceSource.DISCOVERY,
            now_us,
            is_listed=True,
            drain_began_us=self._drain_began_us(endpoint, now_us),
            listed_start_us=started_us if started_us != endpoint.started_us else 0,
        )
        self.put(estimate)
        self.tombstones.discard(endpoint.id)
        return [*changed, msgspec.structs.replace(endpoint, started_us=started_us)]

    def _release_address(
        self, endpoint: Endpoint, named: set[int], index: int, now_us: int
    ) -> list[Endpoint]:
        """Removes the endpoint that has had this address, unless the event names that endpoint as well."""
        owner = self.id_by_address.get((endpoint.host, endpoint.port), endpoint.id)
        if owner == endpoint.id or owner in named:
            return []
        known = self.endpoints[owner]
        self.remove(owner, known.endpoint.started_us, index, now_us)
        return [_as_removed(known.endpoint)] if known.is_listed else []

    def _start_for_listing_us(self, endpoint: Endpoint, index: int, now_us: int) -> int:
        """Returns since when the endpoint may be assumed to be up.

        Discovery that was down, or is behind, names starts from before a power failure. All gateways receive
        that event together, and would send full load to engines that are still cold.
        """
        known = self.endpoints.get(endpoint.id)
        if known is not None and known.is_listed:
            return max(endpoint.started_us, known.listed_start_us)
        # An endpoint that has failed may be probed again by now, and is still as cold as after its failure.
        has_failed = known is not None and known.failure_count > 0
        if index < self.index_tracker.highest or has_failed:
            return max(endpoint.started_us, now_us)
        return endpoint.started_us

    def _drain_began_us(self, endpoint: Endpoint, now_us: int) -> int:
        if endpoint.state is not EndpointState.DRAINING:
            return 0
        known = self.endpoints.get(endpoint.id)
        # A drain that is named again is the same drain, and its grace period counts from the first event.
        if (
            known is not None
            and known.state is EstimateState.REGISTERED
            and known.endpoint.started_us == endpoint.started_us
            and known.drain_began_us
        ):
            return known.drain_began_us
        return now_us

    def drain_grace_left_us(self, endpoint_id: int, now_us: int) -> int:
        """Returns the rest of the grace period of a drain that discovery has named; 0 if there is none."""
        estimate = self.endpoints.get(endpoint_id)
        if estimate is None or not estimate.drain_began_us:
            return 0
        return max(0, estimate.drain_began_us + self._drain_grace_us - now_us)

    def on_watch_frame(self, now_us: int) -> None:
        """Records a frame of the watch, which renews the evidence of all endpoints named by discovery."""
        self._last_frame_us = now_us

    def settle_index(self, now_us: int) -> EndpointEvent | None:
        """Accepts a smaller index that discovery has kept to for the settle time.

        Returns:
            The event that removes the endpoints that discovery has not named; None while the index is not
            settled.
        """
        if now_us - self._last_frame_us > _WATCH_SILENCE_TIMEOUT_US:
            self.index_tracker.on_watch_silent(now_us)
        if not self.index_tracker.is_settled(now_us):
            return None
        self.index_tracker.accept_last()
        last_index = self.index_tracker.last
        unnamed = [known for known in self.endpoints.values() if known.state is not EstimateState.REGISTERED]
        for estimate in unnamed:
            self.remove(estimate.endpoint.id, 0, last_index, now_us)
        self.tombstones.rebase(last_index)
        return EndpointEvent(0, False, [_as_removed(known.endpoint) for known in unnamed if known.is_listed])

    # Probes: first a connection, then requests at the rate for a cold engine, until one is served.

    def start_due_probes(self, now_us: int) -> list[Endpoint]:
        """Starts the probes that are due and returns their endpoints; `on_contact` takes the results."""
        for endpoint_id, started_us in list(self.probe_budget.in_flight.items()):
            if now_us - started_us >= _PROBE_TIMEOUT_US:
                self.on_contact(endpoint_id, ContactResult.TIMED_OUT, now_us)
        started: list[Endpoint] = []
        if not self.counts().unlisted or not self.probe_budget.available():
            return started
        for endpoint_id in self._probe_order:
            estimate = self.endpoints.get(endpoint_id)
            if estimate is None or estimate.next_probe_us > now_us:
                continue
            if estimate.state not in (EstimateState.REMEMBERED, EstimateState.UNREACHABLE):
                continue
            self.transition(estimate, EstimateState.PROBING)
            self.probe_budget.on_started(endpoint_id, now_us)
            started.append(estimate.endpoint)
            if not self.probe_budget.available():
                break
        return started

    def on_contact(self, endpoint_id: int, result: ContactResult, now_us: int) -> list[Endpoint]:
        """Applies the result of a probe or of an attempt; returns the endpoints whose listing changes."""
        estimate = self.endpoints.get(endpoint_id)
        is_success = result in (ContactResult.LISTENING, ContactResult.SERVED)
        self.probe_budget.on_finished(endpoint_id, is_success)
        if estimate is None or estimate.state not in (EstimateState.PROBING, EstimateState.CONFIRMED):
            return []
        if is_success:
            return self._on_success(estimate, result, now_us)
        if result is ContactResult.TIMED_OUT and estimate.state is EstimateState.CONFIRMED:
            return []  # heavy requests time out too; the policy has rules of its own to suspect an engine
        return self._on_failure(estimate, result, now_us)

    def _on_success(self, estimate: EndpointEstimate, result: ContactResult, now_us: int) -> list[Endpoint]:
        if result is ContactResult.SERVED and estimate.is_listed:
            self.transition(estimate, EstimateState.CONFIRMED)
            estimate.source = EvidenceSource.TRAFFIC
            estimate.evidence_us = now_us
            estimate.failure_count = 0
            return []
        if estimate.state is EstimateState.PROBING and not estimate.is_listed:
            return self._list_endpoint(estimate, now_us)
        return []

    def _on_failure(self, estimate: EndpointEstimate, result: ContactResult, now_us: int) -> list[Endpoint]:
        endpoint = estimate.endpoint
        was_listed = estimate.is_listed
        estimate.is_listed = False
        if result is ContactResult.WRONG_IDENTITY:
            # The address belongs to another endpoint now, which is not listed until a list names it.
            self.remove(endpoint.id, endpoint.started_us, self.index_tracker.highest, now_us)
        else:
            self.transition(estimate, EstimateState.UNREACHABLE)
            estimate.failure_count += 1
            if result is ContactResult.DRAINING:
                estimate.next_probe_us = now_us + self._drain_grace_us
            else:
                estimate.next_probe_us = now_us + retry_delay_us(estimate.failure_count, self._chance)
        return [_as_removed(endpoint)] if was_listed else []

    def forget(self, endpoint_id: int, now_us: int) -> list[Endpoint]:
        """Removes a known endpoint at an operator's request; a later event of discovery may bring it back."""
        estimate = self.endpoints[endpoint_id]
        self.remove(endpoint_id, estimate.endpoint.started_us, self.index_tracker.highest, now_us)
        return [_as_removed(estimate.endpoint)] if estimate.is_listed else []

    def _list_endpoint(self, estimate: EndpointEstimate, now_us: int) -> list[Endpoint]:
        estimate.is_listed = True
        self._counts = None
        # The engine may have started at any time until now, alone or with all others. So it counts as cold
        # from now on, unless the gateway that has handed over found it warm a few seconds ago.
        is_warm = (
            self.is_handed_over
            and now_us - self.started_us < HANDOVER_VALIDITY_US
            and estimate.failure_count == 0
            and estimate.endpoint.state is EndpointState.READY
        )
        estimate.listed_start_us = estimate.endpoint.started_us if is_warm else now_us
        return [_as_ready(estimate.endpoint, estimate.listed_start_us)]

    # Admission of requests.

    def retry_after_us(self, can_repeat: bool, now_us: int) -> int | None:
        """Returns None if a request is admitted, else after how long the client should retry.

        Args:
            can_repeat: The request may safely run more than once.
            now_us: The present time.
        """
        counts = self.counts()
        if counts.registered or counts.confirmed:
            return None
        if counts.listed_probing:
            # The first request to a remembered address must not be one that may run only once.
            if can_repeat or self.is_handed_over:
                return None
        elif now_us - self.started_us < _FIRST_PROBES_TIMEOUT_US:
            return None
        # All gateways of a site reject together, and engines warm up slowly, so the delays are spread widely.
        share = _MIN_RETRY_AFTER_SHARE + (1 - _MIN_RETRY_AFTER_SHARE) * self._chance()
        return int(self._max_retry_after_us * share)


def _as_removed(endpoint: Endpoint) -> Endpoint:
    return msgspec.structs.replace(endpoint, state=EndpointState.REMOVED)


def _as_ready(endpoint: Endpoint, started_us: int) -> Endpoint:
    return msgspec.structs.replace(endpoint, state=EndpointState.READY, started_us=started_us)

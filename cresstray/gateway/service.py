"""Puts the parts of one gateway together, runs them, and ends them in order."""

from __future__ import annotations

import contextlib
import random
import signal
import socket
from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from typing import TYPE_CHECKING, Any

import anyio
from anyio.abc import TaskGroup, TaskStatus

from cresstray.clients.listener import Listener
from cresstray.clock import Clock, Timers
from cresstray.discovery import endpoint_list as known
from cresstray.discovery.watch import EndpointWatch
from cresstray.engines.connection import DescriptorQuota, SocketConnectionPool
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.pipeline.accounting import RequestAccounting
from cresstray.pipeline.admission import Admission
from cresstray.pipeline.dispatch import Dispatcher
from cresstray.pipeline.ingress import Ingress
from cresstray.pipeline.policy_port import SocketPort
from cresstray.pipeline.response import ResponseHandler
from cresstray.pipeline.routing import Router
from cresstray.policy.controller import PolicyController
from cresstray.policy.settings import parse_settings
from cresstray.transport.streams import tell_fault

if TYPE_CHECKING:
    from cresstray.background.schedule import JobResult
    from cresstray.background.worker import Worker
    from cresstray.config.fleet import Fleet
    from cresstray.config.idempotency import Store
    from cresstray.config.operator import Halls, Operator
    from cresstray.gateway.fleet_member import FleetMember
    from cresstray.membership.recovery import Keep
    from cresstray.pipeline.idempotency_checks import IdempotencyChecks
    from cresstray.sites.links import Hub

# What is heard of from outside the sockets.
CAUGHT = (signal.SIGTERM, signal.SIGUSR1, signal.SIGHUP)
# After SIGTERM new requests go on coming for 0.6 s at the most, and SIGKILL comes no sooner than after the
# longest time limit, three seconds at most, and 0.7 s: what is open has until half a second before that, to
# be answered (late by no more than a sweep of the module), to be written, and read by slow clients.
_STILL_COMING = 0.8
_LONGEST_LIMIT, _AFTER_LIMIT = 3_000_000, 200_000
_LATE, _ALL_CLOSED = 100_000, 400_000
# Once nothing is owed: so long requests that cross the end are still denied, then so long for clients to read
# their answers and hang up.
_LAST_WORD, _HANG_UP = 0.05, 0.5
# Connections in the listener's queue, and descriptors beside those of clients and links: signals, the list of
# engines, the log, the loop.
_QUEUE, _FEWEST_OTHERS = 1024, 20
# What is written at the end takes some milliseconds; a disk that needs longer costs a successor freshness.
_HAND_OVER = 300_000
# Ten rounds of trials a second: the most that wait for one are asked within seconds, see docs/kept.md.
_TEND = 100_000
# What was wrong with a round of trials may be over by the next; a gateway without a list waits for them.
_TRIALS_AGAIN = 1_000_000


# A gateway that starts has what its configuration holds, and waits so long to hear what is new since: as long
# as one connection may take. A coordinator that is away then must not keep it from serving.
_FIRST_WORD = 0.5


class AddressError(ValueError):
    """The address can't be listened on."""


@contextlib.contextmanager
def _told_as_address_error(address: tuple[str, int]) -> Iterator[None]:
    """What goes wrong within comes as AddressError."""
    try:
        yield
    except (OSError, OverflowError) as trouble:
        host, port = address
        raise AddressError(f"{host}:{port} can't be listened on: {trouble}") from None


def _bound(address: tuple[str, int]) -> socket.socket:
    """Holds the address; until it listens, connections to it are refused."""
    listener = socket.socket()
    try:
        with _told_as_address_error(address):
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
    except AddressError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


@contextlib.contextmanager
def _caught() -> Iterator[AsyncIterator[signal.Signals]]:
    """The signals of CAUGHT; whoever holds them back before that does so again after it."""
    # Danger: one that comes while nobody listens would end the process.
    held = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    try:
        with anyio.open_signal_receiver(*CAUGHT) as signals:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, CAUGHT)
            try:
                yield signals
            finally:
                signal.pthread_sigmask(signal.SIG_BLOCK, CAUGHT)
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, held)


class Service:
    def __init__(
        self,
        name: str,
        listen: tuple[str, int],
        seed: int,
        settings: Mapping[str, Any],
        events: list[known.EndpointEvent],
        coordinator: str | None,
        coordinator_now: Callable[[], str | None] | None = None,
        descriptors: int = 1024,
        operator: Operator | None = None,
        operator_now: Callable[[], Operator] | None = None,
    ) -> None:
        self._listen, self._settings, self._coordinator_now = listen, settings, coordinator_now
        member = operator.fleet if operator and operator.fleet and operator.fleet.member else None
        store = operator.store if operator else None
        # What is leased, a name in the fleet or a mark, goes on ageing while the machine sleeps.
        self._clock, self.counters = Clock(sleeps=member is not None or store is not None), Counters()
        self._log = Log(name, self._clock)
        self._timers = Timers(self._clock, self._fault)
        self._book = RequestAccounting(self.counters)
        self._back = ResponseHandler(self._clock, self.counters, self._book)
        self._send = send = Dispatcher(self._clock, self._timers, self.counters, self._back)
        self._route = Router(self._make_pool, send)
        if operator and operator.halls:
            from cresstray.sites.routing import AHEAD

            settings = {**settings, "CrossingAhead": AHEAD / 1000}
        port = SocketPort(self._route, send, self._book, self._timers, self.counters, self._log)
        self._gateway = PolicyController(port, parse_settings(settings), seed, self._clock.now())
        admit = self._admit = Admission(self._book)
        self._back.controller = admit.controller = self._gateway
        self._take_in = take_in = Ingress(settings, self._gateway.request_classes, self._clock, admit)
        request_classes = frozenset(service["Name"] for service in settings.get("Services", []))
        # In overload more than 64 links cost half as much CPU again (calm day, seed 3: 13.5 s > 20.4 s); on
        # other days no more are needed. An eighth, or 64, is for all else.
        share, rest = min(descriptors // 4, 64), min(descriptors // 8, 64)
        rest = max(rest, min(descriptors // 4, _FEWEST_OTHERS))
        # Usual clients hold a third of the descriptors at most: a half is theirs, and what links leave.
        # A link to each of hundreds of engines finds room in the other half.
        self._quota = quota = DescriptorQuota(share, max(share, descriptors // 2 - rest))
        self._door = Listener(
            request_classes,
            take_in,
            lambda: descriptors - rest - max(share, quota.used),
            descriptors // 4,
            self._clock.now,
            self.counters,
            self._log,
        )
        self._events = events
        last = events[-1].index if events else 0
        self._operator, self._operator_now = operator, operator_now
        self._worker: Worker | None = None
        if operator and (operator.halls or member or operator.kept or store):
            self._worker = self._make_worker(seed)
        self._hub = self._make_hub(operator.halls, seed) if operator and operator.halls else None
        self._member = self._make_member(member, settings, seed) if member else None
        self._feed = EndpointWatch(
            coordinator, last, self._told, self.counters, self._log, self._gateway.random
        )
        self._keep: Keep | None = None
        if operator and operator.kept:
            self._keep = self._make_keep(name, operator.kept.folder, settings, seed)
        self._marked = self._make_marked(name, store, settings, seed) if store else None
        self._tasks: TaskGroup

    def _fault(self, trouble: Exception) -> None:
        tell_fault("a call that was due", trouble, self.counters, self._log)

    def _make_worker(self, seed: int) -> Worker:
        from cresstray.background import schedule, worker

        # Seeds are new with each start; the clock parts two starts that an operator gave the same one.
        chance = random.Random(f"{seed}{self._clock.now()}").random
        return worker.Worker(
            schedule.Schedule(chance, worker.TICK, worker.BUDGET),
            self._timers,
            self._clock,
            self.counters,
            self._log,
        )

    def _make_hub(self, halls: Halls, seed: int) -> Hub:
        # Danger: the platform may give 32 MB; what links to other halls need is loaded only where there are
        # any.
        from cresstray.pipeline.forwarding import Forwarder
        from cresstray.sites.links import Hub

        across = self._route.forwarder = Forwarder(
            self._clock, self._timers, self.counters, self._back, self._send
        )
        # Seeds are new with each start; the clock parts two starts that an operator gave the same one.
        incarnation = f"{seed & 0xFFFFFFFF:08x}{self._clock.now():014x}"
        hub = Hub(
            halls,
            incarnation,
            seed,
            self._take_in,
            across,
            lambda: self._gateway.spare_capacity(self._clock.now()),
            self._clock,
            self._timers,
            self.counters,
            self._log,
            self._worker,
        )
        self._admit.forwarding_quota = hub.share
        return hub

    def _make_member(self, given: Fleet, settings: Mapping[str, Any], seed: int) -> FleetMember:
        from cresstray.gateway.fleet_member import FleetMember

        return FleetMember(
            given,
            settings,
            seed,
            self._clock,
            self._gateway,
            self._route,
            self._back,
            self._take_in,
            self._timers,
            self._worker,
            self.counters,
            self._log,
        )

    def _make_keep(self, name: str, folder: str, settings: Mapping[str, Any], seed: int) -> Keep:
        """After the fleet's rules, which it asks as well."""
        from cresstray.membership.guard import Guard
        from cresstray.membership.recovery import Keep
        from cresstray.membership.snapshot_files import Folder, Writer, moment

        now, kept = self._clock.now(), Folder(folder, name)
        # Danger: until the first write an operator's `forget` would find it free, and change it beneath us. A
        # process that still ends may hold it, and is asked again; what is wrong with the disk a write tells.
        with contextlib.suppress(OSError):
            kept.lock()
        # Seeds are new with each start; the clock parts two starts that an operator gave the same one.
        chance = random.Random(f"{seed}{now}").random
        keep = Keep(
            Writer(kept),
            settings,
            self._gateway,
            chance,
            self.counters,
            lambda text: self._log.log("kept", text),
            moment,
            now,
        )
        self._gateway.admission_rules = Guard(keep, self._gateway)
        self._admit.membership = self._back.membership = keep
        self._feed.accepts_older_list = True
        return keep

    def _make_marked(
        self, name: str, given: Store, settings: Mapping[str, Any], seed: int
    ) -> IdempotencyChecks:
        """After the other rules, which it asks as well."""
        from cresstray.pipeline.idempotency_checks import IdempotencyChecks

        marked = IdempotencyChecks(
            given,
            settings,
            name,
            seed,
            self._clock,
            self._timers,
            self.counters,
            self._log,
            self._gateway,
            self._book,
            self._worker,
        )
        self._admit.idempotency = self._book.idempotency = self._back.idempotency = self._send.idempotency = (
            marked
        )
        if self._route.forwarder is not None:
            self._route.forwarder.idempotency = marked
        return marked

    def _make_pool(self, label: str, address: tuple[str, int]) -> SocketConnectionPool:
        return SocketConnectionPool(
            label,
            address,
            self._settings,
            self._quota,
            self._tasks,
            self._timers,
            self._clock.now,
            self.counters,
            self._log,
        )

    def _told(self, event: known.EndpointEvent) -> None:
        now = self._clock.now()
        if self._keep is None:
            self._list(event, now)
        else:
            self._give(self._keep.told(event, now), now)

    def _give(self, event: known.EndpointEvent, now: int) -> None:
        """What is kept has seen it: to route and module."""
        self._list(event, now)
        self._keep.listed(event, self._route.engines, now)

    def _list(self, event: known.EndpointEvent, now: int) -> None:
        self._gateway.on_endpoints_updated(self._route.apply_event(event), event.is_complete, now)
        self._route.cancel_unsent(event)

    def _tend(self, keep: Keep, worker: Worker) -> None:
        """What is kept, behind submissions: what came of trials, trials, and writes with a last one."""
        from cresstray.background.schedule import JobResult, Priority
        from cresstray.membership.recovery import KNOCK, LISTED_AT_ONCE

        def lists(now: int) -> JobResult:
            event = keep.look(now, LISTED_AT_ONCE)
            if event is not None:
                self._give(event, now)
            return JobResult.MORE if keep.more else JobResult.DONE

        def asks(now: int) -> None:
            if keep.asks(now):
                worker.wake(knocking)

        def knocks(now: int) -> JobResult:
            begun = keep.knocks(self._tasks, self._clock.now)
            worker.begun(KNOCK * begun)
            return JobResult.MORE if begun else JobResult.DONE

        def writes(now: int) -> None:
            keep.write(now)
            self._know(keep)

        def hands_over(now: int) -> JobResult:
            if keep.handing:
                keep.write(now)
            else:
                keep.hand_over(self._take_in.recent_names(), now)
            return JobResult.DONE if keep.done else JobResult.MORE

        self._know(keep)
        worker.does("listing", Priority.SAFETY, _TEND, lists, _TRIALS_AGAIN)
        worker.does("trials", Priority.SAFETY, _TEND, asks, _TRIALS_AGAIN)
        knocking = worker.does("knocks", Priority.SAFETY, 0, knocks, _TRIALS_AGAIN)
        worker.does("kept list", Priority.STATE, _TEND, writes, last=hands_over)

    def _know(self, keep: Keep) -> None:
        """Names that were in use: the one before may hand them over after this one has begun."""
        if keep.marks:
            self._take_in.remember_names(keep.marks)
            keep.marks = []

    async def run(self, *, task_status: TaskStatus = anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until SIGTERM; `task_status` hears the address once it does. AddressError where it can't."""
        with _caught() as signals, _bound(self._listen) as listener:
            trouble: AddressError | None = None
            async with anyio.create_task_group() as self._tasks:
                try:
                    await self._start(listener)
                    host, port = listener.getsockname()
                    self._log.log("service", f"serves on {host}:{port}")
                    task_status.started((host, port))
                    await self._heed(signals)
                except AddressError as found:
                    trouble = found
                self._tasks.cancel_scope.cancel()
            if trouble is not None:
                raise trouble
            self.report()

    async def _start(self, listener: socket.socket) -> None:
        """Up to the moment from which on clients are taken in; AddressError where they can't be."""
        if self._keep is not None:
            self._keep.begin(self._clock.now())
        for event in self._events:
            self._told(event)
        if self._keep is not None:
            self._tend(self._keep, self._worker)
        self._tasks.start_soon(self._feed.run, self._tasks)
        self._tasks.start_soon(self._timers.run)
        if self._marked is not None:
            self._marked.start(self._tasks)
        if self._worker is not None:
            self._worker.start()
        # Danger: an engine may drain since the configuration was written, and the grace be over before this
        # process is up: clients, and other halls, are taken in once that has been told. Until then they are
        # refused, as by a process that is not up yet: in a listener's queue their time would run.
        await self._feed.wait_until_current(_FIRST_WORD)
        if self._hub is not None:
            await self._start_hub(self._hub)
        if self._member is not None:
            self._member.start(self._tasks)
        with _told_as_address_error(self._listen):
            listener.listen(_QUEUE)
        self._tasks.start_soon(self._door.run, listener)

    async def _start_hub(self, hub: Hub) -> None:
        from cresstray.sites.links import serve_status

        await hub.run(self._tasks)
        path = self._operator.halls.control
        if path:
            self._tasks.start_soon(serve_status, path, hub.status)

    async def _heed(self, signals: AsyncIterator[signal.Signals]) -> None:
        """Until SIGTERM has come and all is answered. What comes meanwhile is left alone."""
        async for received in signals:
            if received == signal.SIGUSR1:
                self.report()
            elif received == signal.SIGHUP:
                self._reload()
            else:
                await self._end()
                return

    async def _end(self) -> None:
        """All that is owed is answered, then all connections end in order, before SIGKILL may come."""
        self._log.log("service", f"ends; {self._book.unanswered_count()} submissions are owed an answer")
        last_stop = self._last_stop()
        await anyio.sleep(min(_STILL_COMING, self._until(last_stop + _LATE)))
        with anyio.move_on_after(self._until(last_stop + _LATE)):
            while self._book.unanswered_count():
                await anyio.sleep(0.01)
        # Danger: what came with a connection from here on would be sent on, and lost with the process. All
        # that is read is denied now.
        self._door.stop_listening()
        with anyio.move_on_after(min(_LAST_WORD + _HANG_UP, self._until(last_stop + _ALL_CLOSED))):
            await anyio.sleep(_LAST_WORD)
            self._door.close()
            if self._worker is not None:
                await self._end_worker(self._worker)
            while self._door.connections or self._door.leaving:
                await anyio.sleep(0.01)

    def _until(self, moment: int) -> float:
        """Seconds that are left."""
        return max(0.0, (moment - self._clock.now()) / 1e6)

    async def _end_worker(self, worker: Worker) -> None:
        """While the last answers are written: last turns of what is done behind, as the successor's list."""
        worker.stop(self._clock.now(), _HAND_OVER)
        with anyio.move_on_after(_HAND_OVER / 1e6):
            while not worker.over:
                await anyio.sleep(0.005)
        if self._keep is not None:
            self._keep.close()

    def _reload(self) -> None:
        """The configuration has been replaced: its coordinator is followed from now on, all else goes on."""
        try:
            coordinator = self._coordinator_now()
            halls = self._operator_now().halls if self._hub is not None else None
            if self._hub is not None and halls is None:
                raise ValueError("the operator's file names no hall any more")
            self._feed.move(coordinator)
            if halls is not None:
                self._hub.reload(halls)
        except (ValueError, OSError) as trouble:
            self._log.log_always(
                "service", f"the new configuration can't be used, the old one stays: {trouble}"
            )

    def _last_stop(self) -> int:
        """All that is open, and what still comes, is to be answered by then."""
        limits = [int(service.get("GiveUp", 0) * 1000) for service in self._settings.get("Services", [])]
        left = min(_LONGEST_LIMIT, max(limits, default=0)) + _AFTER_LIMIT
        last_stop = self._take_in.shutdown_deadline_us = self._clock.now() + left
        if self._hub is not None:
            self._hub.goodbye()
        self._book.limit_deadlines(last_stop)
        self._timers.call_after(left, self._send.abandon_all)
        return last_stop

    def report(self) -> None:
        self.counters.counts["loop latest us"] = self._timers.max_lateness_us
        for line in self.counters.lines():
            self._log.log_always("counter", line)

"""The owner role: accepts, dispatches, answers and cancels the requests of its ids.

Only the incarnation (one run of an instance's process) that is named in a request's id
may dispatch the request. No other instance may do so, even after that incarnation has
failed; so dispatch at most once needs no agreement between instances.
docs/design/ownership.md gives the reason for each rule.
"""

import asyncio
import collections.abc

import aiohttp

from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions, logs, pause
from ..configured import snapshots
from . import dependencies, dispatching, entries, gates, requests, table, tokens

SWEEP_SECONDS = 0.5
# Refused requests stay in the table for this long, so that a caller whose connection
# failed can still read when and where to retry.
KEEP_REFUSED_SECONDS = 5.0
# How long a leaving instance waits for callers to read their answers.
UNREAD_WAIT_SECONDS = 5.0
UNREAD_POLL_SECONDS = 0.05
CANCEL_WAIT_SECONDS = 5.0
Entry = entries.Entry
State = entries.State
UNSEEN = entries.RequestStatus("", "", "unseen")


class Owner:
    """Accepts, dispatches and answers the requests whose ids name this incarnation.

    Parameters
    ----------
    settings : Settings
        Limits and times.
    incarnation : str
        Random name of this run of the process.
    http : ClientSession
        Connections to backend servers.
    capacity : Capacity
        Obtains permissions from keepers.
    is_leaving : callable
        Returns whether the instance list shows a backend server as leaving.
    better_address : callable
        Returns the address of another instance, or an empty string.
    gate : Gate, optional
        Checks dependencies and limits; without it, requests are not checked.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        incarnation: str,
        http: aiohttp.ClientSession,
        capacity: dispatching.Capacity,
        is_leaving: collections.abc.Callable[[str], bool],
        better_address: collections.abc.Callable[[], str],
        gate: gates.Gate = gates.OPEN_GATE,
    ):
        self.leaving = False
        self.request_table = table.Table(settings.owner)
        self._settings = settings
        self._incarnation = incarnation
        self._started_at = clock.now()
        self._better_address = better_address
        self._gate = gate
        self._on_ended: list[collections.abc.Callable[[entries.Entry], None]] = []
        self._dispatcher = dispatching.Dispatcher(
            capacity, http, self.request_table, is_leaving
        )

    @property
    def table(self) -> dict[str, entries.Entry]:
        """Entries by request id."""
        return self.request_table.entries

    @property
    def open_count(self) -> int:
        """Number of requests that have not ended."""
        return self.request_table.open_count

    def use_pauses(self, pauses: pause.Pauses) -> None:
        """Dispatch nothing after a pause until the process's leases are renewed."""
        self._dispatcher.pauses = pauses

    def use_server_reports(self, servers: dispatching.Servers) -> None:
        """Check before each dispatch what the server has reported about itself."""
        self._dispatcher.servers = servers

    def use_crash_reports(self, crashes: dispatching.Crashes) -> None:
        """Refuse quarantined requests, and report requests that crash servers."""
        self._dispatcher.crashes = crashes

    def on_ended(self, call: collections.abc.Callable[[entries.Entry], None]) -> None:
        """Call ``call`` with each entry when its outcome becomes final."""
        self._on_ended.append(call)

    def on_wasted(self, call: collections.abc.Callable[[int], None]) -> None:
        """Call ``call`` with the prompt tokens prefilled for a stopped request."""
        self._dispatcher.on_wasted(call)

    def mint(self) -> str:
        """Return a new token for request ids that this incarnation owns."""
        settings = self._settings
        expiry = self._uptime() + settings.owner.token_seconds
        return tokens.mint(
            settings.keys[0], settings.instance, self._incarnation, expiry
        )

    def owns(self, request_id: tokens.RequestId) -> bool:
        """Return whether an id names this incarnation."""
        return (
            request_id.instance == self._settings.instance
            and request_id.incarnation == self._incarnation
        )

    def find(self, request_id: tokens.RequestId, team: str) -> entries.Entry:
        """Return the entry of an id; raise Refusal if there is none."""
        entry = self._find_entry(request_id, team)
        if entry is None:
            raise exceptions.UnknownId()
        return entry

    def submit(
        self,
        request_id: tokens.RequestId,
        team: str,
        data: bytes,
        snapshot: snapshots.Snapshot,
    ) -> entries.Entry:
        """Return the entry of an id; create it from the body ``data`` if it is new."""
        existing = self._find_entry(request_id, team)
        if existing is not None:
            _check_same_body(existing, data)
            return existing
        try:
            accepted = requests.accept(request_id, team, data, snapshot)
            accepted = dependencies.limit_to_parent(accepted, self.table)
            if self.leaving:
                raise exceptions.InstanceLeaving(address=self._better_address())
            self.request_table.evict_for(accepted.rank, self._refuse_waiting)
        except exceptions.Refusal as refusal:
            # Close the id, so that a late copy of the request cannot run after the
            # outcome "not run": the reason for the refusal (a full table, an unknown
            # service) may no longer apply when the copy arrives.
            self.request_table.close_id(request_id, team, refusal.outcome, refusal.code)
            self._log_end(request_id.text, refusal)
            raise
        entry = entries.Entry(accepted, self.request_table.ledger)
        self.request_table.add(entry)
        entry.task = asyncio.create_task(self._run(entry))
        return entry

    def attach(self, entry: entries.Entry) -> None:
        """Count a reader of an entry's answer."""
        entry.attach()

    def detach(self, entry: entries.Entry, delivered: bool) -> None:
        """Remove a reader of an entry's answer."""
        entry.detach(delivered)
        if entry.acknowledged and not entry.readers:
            self._close(entry)

    def acknowledge(self, request_id: tokens.RequestId, team: str) -> None:
        """Drop an answer that the caller has received in full; keep its outcome."""
        if self._closed_status(request_id, team):
            return
        entry = self.find(request_id, team)
        if not entry.ended:
            raise exceptions.NotFinished()
        entry.acknowledged = True
        if not entry.readers:
            self._close(entry)

    def outcome(self, request_id: tokens.RequestId, team: str) -> entries.RequestStatus:
        """Return the status of an id."""
        closed = self._closed_status(request_id, team)
        if closed is not None:
            return closed
        entry = self._find_entry(request_id, team)
        # A request that has not arrived may still arrive and run: it has no outcome.
        return UNSEEN if entry is None else entry.status

    async def cancel(
        self, request_id: tokens.RequestId, team: str
    ) -> entries.RequestStatus:
        """Cancel a request for its caller, and return its status."""
        closed = self._closed_status(request_id, team)
        if closed is not None:
            return closed
        entry = self._find_entry(request_id, team)
        if entry is None:
            # The cancellation may arrive before its request: close the id, so that the
            # request does not run after the caller got "not run".
            refusal = exceptions.Cancelled()
            self.request_table.close_id(request_id, team, refusal.outcome, refusal.code)
            self._log_end(request_id.text, refusal)
            return entries.RequestStatus(refusal.outcome, refusal.code, "refused")
        if entry.ended:
            return entry.status
        if entry.state is entries.State.WAITING:
            self._refuse_waiting(entry, exceptions.Cancelled())
            return entry.status
        if not self._dispatcher.can_stop(entry):
            return entry.status
        await self._stop(entry, exceptions.CancelledWhileRunning())
        return entry.status

    async def sweep(self) -> None:
        """Drop abandoned requests and expired entries until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.sweep_once()

    def sweep_once(self) -> None:
        """Drop abandoned requests and expired entries once."""
        now = clock.now()
        for entry in list(self.request_table.entries.values()):
            if entry.readers:
                continue
            if entry.ended:
                self._close_expired(entry, now)
                continue
            if now - entry.no_reader_since >= self._settings.owner.disconnect_grace:
                self._stop_abandoned(entry)
        self.request_table.evict_ended()
        self.request_table.closed.expire(
            self._uptime() - self._settings.owner.answer_seconds
        )

    async def leave(self) -> None:
        """Refuse waiting requests, and return when the other answers have been read."""
        self.leaving = True
        for entry in self.request_table.waiting():
            self._refuse_waiting(
                entry, exceptions.InstanceLeaving(address=self._better_address())
            )
        while self._running_tasks():
            await asyncio.wait(self._running_tasks())
        waits_until = clock.now() + UNREAD_WAIT_SECONDS
        while (
            any(_is_unread(entry) for entry in self.request_table.ended())
            and clock.now() < waits_until
        ):
            await asyncio.sleep(UNREAD_POLL_SECONDS)

    def _uptime(self) -> float:
        return clock.now() - self._started_at

    def _running_tasks(self) -> list["asyncio.Task[None]"]:
        entry_tasks = [
            entry.task for entry in self.request_table.entries.values() if entry.task
        ]
        running = [*entry_tasks, *self._dispatcher.background]
        return [task for task in running if not task.done()]

    def _find_entry(
        self, request_id: tokens.RequestId, team: str
    ) -> entries.Entry | None:
        """Return an id's entry, or None if it may still run; raise Refusal if not."""
        entry = self.request_table.entries.get(request_id.text)
        if entry is not None:
            if entry.accepted.team != team:
                raise exceptions.Forbidden("this id belongs to another team")
            return entry
        closed = self.request_table.closed.find(request_id)
        if closed is not None:
            if closed.team != team:
                raise exceptions.Forbidden("this id belongs to another team")
            raise closed.refusal()
        is_dropped = self.request_table.closed.may_be_dropped(request_id)
        if is_dropped or self._uptime() > request_id.expiry:
            # Its entry may have been dropped after it ran: "not run" could be wrong.
            raise exceptions.TokenExpired()
        return None

    def _closed_status(
        self, request_id: tokens.RequestId, team: str
    ) -> entries.RequestStatus | None:
        if request_id.text in self.request_table.entries:
            return None
        closed = self.request_table.closed.find(request_id)
        if closed is None or closed.team != team:
            return None
        return entries.RequestStatus(closed.outcome, closed.code, closed.state)

    def _close_expired(self, entry: entries.Entry, now: float) -> None:
        keep_seconds = self._settings.owner.answer_seconds
        if entry.state is entries.State.REFUSED:
            keep_seconds = min(keep_seconds, KEEP_REFUSED_SECONDS)
        if entry.acknowledged or now - entry.ended_at > keep_seconds:
            self._close(entry)

    def _close(self, entry: entries.Entry) -> None:
        self.request_table.close(entry)

    def _stop_abandoned(self, entry: entries.Entry) -> None:
        if entry.state is entries.State.WAITING:
            self._refuse_waiting(entry, exceptions.CallerDisconnected())
            return
        if entry.accepted.service_settings.on_disconnect == "finish":
            return
        if not self._dispatcher.can_stop(entry):
            return
        if entry.stop_reason is None and entry.task is not None:
            entry.stop_reason = exceptions.CallerDisconnectedWhileRunning()
            entry.task.cancel()

    def _refuse_waiting(
        self, entry: entries.Entry, refusal: exceptions.Refusal
    ) -> None:
        """End a waiting request as not run."""
        self._refuse(entry, refusal)
        if entry.task is not None:
            entry.task.cancel()

    async def _stop(self, entry: entries.Entry, reason: exceptions.Refusal) -> None:
        if entry.stop_reason is None:
            entry.stop_reason = reason
        if entry.task is not None:
            entry.task.cancel()
            await asyncio.wait({entry.task}, timeout=CANCEL_WAIT_SECONDS)

    def _refuse(self, entry: entries.Entry, refusal: exceptions.Refusal) -> None:
        if entry.ended:
            return
        entry.refusal = refusal
        entry.state = entries.State.FINISHED
        if refusal.outcome == "not_run":
            entry.state = entries.State.REFUSED
        entry.ended_at = clock.now()
        entry.answer.finish(
            refusal.outcome,
            refusal.code,
            refusal.message,
            refusal.retry_after_ms,
            refusal.address,
        )
        self.request_table.end(entry)
        self._log_end(entry.accepted.id.text, refusal, entry)
        self._notify_ended(entry)

    def _notify_ended(self, entry: entries.Entry) -> None:
        for call in self._on_ended:
            call(entry)

    def _complete(self, entry: entries.Entry, watch: clock.Stopwatch) -> None:
        if entry.ended:
            return
        entry.state = entries.State.FINISHED
        entry.ended_at = clock.now()
        entry.answer.finish("completed", "completed")
        self.request_table.end(entry)
        accepted = entry.accepted
        logs.event(
            "ended",
            id=accepted.id.text,
            outcome="completed",
            code="completed",
            tier=accepted.tier,
            team=accepted.team,
            service=accepted.service,
            ms=round(watch.elapsed_ms, 1),
            count=entry.answer.count,
        )
        self._notify_ended(entry)

    def _log_end(
        self, text: str, refusal: exceptions.Refusal, entry: entries.Entry | None = None
    ) -> None:
        accepted = entry.accepted if entry is not None else None
        logs.event(
            "ended",
            id=text,
            outcome=refusal.outcome,
            code=refusal.code,
            tier=accepted.tier if accepted else None,
            team=accepted.team if accepted else None,
            service=accepted.service if accepted else None,
        )

    async def _run(self, entry: entries.Entry) -> None:
        watch = clock.Stopwatch()
        try:
            async with asyncio.timeout(entry.deadline - clock.now()):
                async with self._gate.hold(entry.accepted):
                    await self._dispatcher.serve(entry)
            self._complete(entry, watch)
        except exceptions.Refusal as refusal:
            self._refuse(entry, refusal)
        except TimeoutError:
            if entry.state is entries.State.DISPATCHED:
                self._refuse(entry, exceptions.DeadlineExceeded())
            else:
                self._refuse(entry, exceptions.DeadlineInfeasible())
        except asyncio.CancelledError:
            if entry.state is entries.State.DISPATCHED:
                self._refuse(entry, entry.stop_reason or exceptions.OutcomeUnknown())
            else:
                self._refuse(entry, exceptions.Cancelled())
        except Exception as error:
            # An internal error must still give the caller a correct outcome.
            logs.trouble(
                "request_crashed", id=entry.accepted.id.text, cause=repr(error)
            )
            if entry.state is entries.State.DISPATCHED:
                self._refuse(entry, exceptions.OutcomeUnknown())
            else:
                self._refuse(entry, exceptions.InternalError())


def _check_same_body(entry: entries.Entry, data: bytes) -> None:
    # Without this check, a second request under the same id would get the answer of the
    # first one.
    try:
        body = requests.read(data)
    except exceptions.BadRequest as error:
        raise exceptions.IdConflict() from error
    if requests.fingerprint(body) != entry.fingerprint:
        raise exceptions.IdConflict()


def _is_unread(entry: entries.Entry) -> bool:
    if entry.answer.forgotten or entry.acknowledged:
        return False
    return not entry.delivered and entry.state is entries.State.FINISHED

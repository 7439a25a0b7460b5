"""The requests that this instance owns: who may run, who is told what.

The right to dispatch a request belongs to the incarnation named in its id. Nobody
else may ever dispatch it, even when this one is dead; so at most once needs no
agreement with anybody. docs/design/ownership.md gives the reasons of each rule.
"""

import asyncio
import collections.abc

import aiohttp

from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions, logs, pause
from ..configured import snapshots
from . import dependencies, dispatching, entries, gates, requests, table, tokens

SWEEP_SECONDS = 0.5
# Refusals are kept as entries for this long, so that a caller whose connection broke
# still reads the hint when and where to ask again.
REFUSED_SECONDS = 5.0
# How long a leaving instance waits for callers that have not read their answers.
UNREAD_SECONDS = 5.0
UNREAD_POLL = 0.05
CANCEL_SECONDS = 5.0
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
        This life of the process.
    http : ClientSession
        Connections to backend servers.
    capacity : Capacity
        The way to keepers.
    is_leaving : callable
        Tells whether the instance list shows a backend server as leaving.
    better_address : callable
        Returns the address of another instance, or an empty string.
    gate : Gate, optional
        Dependencies and limits; none are looked at without it.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        incarnation: str,
        http: aiohttp.ClientSession,
        capacity: dispatching.Capacity,
        is_leaving: collections.abc.Callable[[str], bool],
        better_address: collections.abc.Callable[[], str],
        gate: gates.Gate = gates.OPEN,
    ):
        self.leaving = False
        self.held = table.Table(settings.owner)
        self._settings = settings
        self._incarnation = incarnation
        self._started = clock.now()
        self._better_address = better_address
        self._gate = gate
        self._on_ended: list[collections.abc.Callable[[entries.Entry], None]] = []
        self._dispatcher = dispatching.Dispatcher(capacity, http, self.held, is_leaving)

    @property
    def table(self) -> dict[str, entries.Entry]:
        """The entries by id."""
        return self.held.entries

    @property
    def open_count(self) -> int:
        """Requests that have not ended."""
        return self.held.open_count

    def use_pauses(self, pauses: pause.Pauses) -> None:
        """Send nothing while this process does not know what is true now."""
        self._dispatcher.pauses = pauses

    def use_crash_reports(self, crashes: dispatching.Crashes) -> None:
        """Refuse requests that crash servers, and report crashes."""
        self._dispatcher.crashes = crashes

    def on_ended(self, call: collections.abc.Callable[[entries.Entry], None]) -> None:
        """Call ``call`` with each entry whose outcome has become final."""
        self._on_ended.append(call)

    def on_wasted(self, call: collections.abc.Callable[[int], None]) -> None:
        """Call ``call`` with the prompt tokens that a stopped request had read."""
        self._dispatcher.on_wasted(call)

    def mint(self) -> str:
        """Return a fresh token for ids that this incarnation will own."""
        settings = self._settings
        expiry = self._uptime() + settings.owner.token_seconds
        return tokens.mint(
            settings.keys[0], settings.instance, self._incarnation, expiry
        )

    def owns(self, request_id: tokens.RequestId) -> bool:
        """Tell whether an id names this incarnation."""
        return (
            request_id.instance == self._settings.instance
            and request_id.incarnation == self._incarnation
        )

    def find(self, request_id: tokens.RequestId, team: str) -> entries.Entry:
        """Return the entry of a known id; raise Refusal for any other."""
        entry = self._known(request_id, team)
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
        """Return the entry of an id, made from the body ``data`` when it is new."""
        known = self._known(request_id, team)
        if known is not None:
            _check_same(known, data)
            return known
        try:
            accepted = requests.accept(request_id, team, data, snapshot)
            accepted = dependencies.inherit(accepted, self.table)
            if self.leaving:
                raise exceptions.Leaving(address=self._better_address())
            self.held.make_room(accepted.rank, self._give_up)
        except exceptions.Refusal as refusal:
            # "Not run" holds for ever only when a late copy finds the id closed: what
            # was wrong today (a full table, an unknown service) may be right then.
            self.held.refuse(request_id, team, refusal.outcome, refusal.code)
            self._log_end(request_id.text, refusal)
            raise
        entry = entries.Entry(accepted, self.held.ledger)
        self.held.add(entry)
        entry.task = asyncio.create_task(self._run(entry))
        return entry

    def attach(self, entry: entries.Entry) -> None:
        """Count a reader of an entry's answer."""
        entry.attach()

    def detach(self, entry: entries.Entry, delivered: bool) -> None:
        """Count a reader as gone."""
        entry.detach(delivered)
        if entry.acknowledged and not entry.readers:
            self._close(entry)

    def acknowledge(self, request_id: tokens.RequestId, team: str) -> None:
        """Let go of an answer that the caller has whole; its id stays known."""
        if self._closed(request_id, team):
            return
        entry = self.find(request_id, team)
        if not entry.ended:
            raise exceptions.NotFinished()
        entry.acknowledged = True
        if not entry.readers:
            self._close(entry)

    def outcome(self, request_id: tokens.RequestId, team: str) -> entries.RequestStatus:
        """Return what became of an id, as far as this owner knows."""
        closed = self._closed(request_id, team)
        if closed is not None:
            return closed
        entry = self._known(request_id, team)
        # An id not seen yet may still arrive and run: nothing is said of it.
        return UNSEEN if entry is None else entry.told

    async def cancel(
        self, request_id: tokens.RequestId, team: str
    ) -> entries.RequestStatus:
        """End a request that its caller has given up, and return what became of it."""
        closed = self._closed(request_id, team)
        if closed is not None:
            return closed
        entry = self._known(request_id, team)
        if entry is None:
            # The cancellation may have overtaken its request: the id is closed, so
            # that the request, when it arrives, does not run after "not run".
            refusal = exceptions.Cancelled()
            self.held.refuse(request_id, team, refusal.outcome, refusal.code)
            self._log_end(request_id.text, refusal)
            return entries.RequestStatus(refusal.outcome, refusal.code, "refused")
        if entry.ended:
            return entry.told
        if entry.state is entries.State.WAITING:
            self._give_up(entry, exceptions.Cancelled())
            return entry.told
        if not self._dispatcher.can_stop(entry):
            return entry.told
        await self._stop(entry, exceptions.CancelledRunning())
        return entry.told

    async def sweep(self) -> None:
        """Drop abandoned requests and old entries for ever."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.sweep_once()

    def sweep_once(self) -> None:
        """Drop abandoned requests and old entries."""
        now = clock.now()
        for entry in list(self.held.entries.values()):
            if entry.readers:
                continue
            if entry.ended:
                self._forget_old(entry, now)
                continue
            if now - entry.unread_since >= self._settings.owner.disconnect_grace:
                self._abandon(entry)
        self.held.relieve()
        self.held.closed.expire(self._uptime() - self._settings.owner.answer_seconds)

    async def leave(self) -> None:
        """Hand waiting requests back, and return when the others have been read."""
        self.leaving = True
        for entry in self.held.waiting():
            self._give_up(entry, exceptions.Leaving(address=self._better_address()))
        while self._running():
            await asyncio.wait(self._running())
        end = clock.now() + UNREAD_SECONDS
        while any(_is_unread(one) for one in self.held.ended()) and clock.now() < end:
            await asyncio.sleep(UNREAD_POLL)

    def _uptime(self) -> float:
        return clock.now() - self._started

    def _running(self) -> list["asyncio.Task[None]"]:
        held = [entry.task for entry in self.held.entries.values() if entry.task]
        running = [*held, *self._dispatcher.background]
        return [task for task in running if not task.done()]

    def _known(self, request_id: tokens.RequestId, team: str) -> entries.Entry | None:
        """Return the entry, None for an id that may still begin, or raise Refusal."""
        entry = self.held.entries.get(request_id.text)
        if entry is not None:
            if entry.accepted.team != team:
                raise exceptions.Forbidden("this id belongs to another team")
            return entry
        closed = self.held.closed.find(request_id)
        if closed is not None:
            if closed.team != team:
                raise exceptions.Forbidden("this id belongs to another team")
            raise closed.refusal()
        gone = self.held.closed.may_be_gone(request_id)
        if gone or self._uptime() > request_id.expiry:
            # Its entry may have been here and dropped: "not run" might be a lie.
            raise exceptions.TokenExpired()
        return None

    def _closed(
        self, request_id: tokens.RequestId, team: str
    ) -> entries.RequestStatus | None:
        if request_id.text in self.held.entries:
            return None
        closed = self.held.closed.find(request_id)
        if closed is None or closed.team != team:
            return None
        return entries.RequestStatus(closed.outcome, closed.code, closed.state)

    def _forget_old(self, entry: entries.Entry, now: float) -> None:
        kept = self._settings.owner.answer_seconds
        if entry.state is entries.State.REFUSED:
            kept = min(kept, REFUSED_SECONDS)
        if entry.acknowledged or now - entry.ended_at > kept:
            self._close(entry)

    def _close(self, entry: entries.Entry) -> None:
        self.held.close(entry)

    def _abandon(self, entry: entries.Entry) -> None:
        if entry.state is entries.State.WAITING:
            self._give_up(entry, exceptions.CallerGone())
            return
        if entry.accepted.service_settings.on_disconnect == "finish":
            return
        if not self._dispatcher.can_stop(entry):
            return
        if entry.stop_reason is None and entry.task is not None:
            entry.stop_reason = exceptions.CallerGoneRunning()
            entry.task.cancel()

    def _give_up(self, entry: entries.Entry, refusal: exceptions.Refusal) -> None:
        """End a waiting request as not run."""
        self._refuse(entry, refusal)
        if entry.task is not None:
            entry.task.cancel()

    async def _stop(self, entry: entries.Entry, reason: exceptions.Refusal) -> None:
        if entry.stop_reason is None:
            entry.stop_reason = reason
        if entry.task is not None:
            entry.task.cancel()
            await asyncio.wait({entry.task}, timeout=CANCEL_SECONDS)

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
        self.held.end(entry)
        self._log_end(entry.accepted.id.text, refusal, entry)
        self._tell_ended(entry)

    def _tell_ended(self, entry: entries.Entry) -> None:
        for call in self._on_ended:
            call(entry)

    def _complete(self, entry: entries.Entry, watch: clock.Stopwatch) -> None:
        if entry.ended:
            return
        entry.state = entries.State.FINISHED
        entry.ended_at = clock.now()
        entry.answer.finish("completed", "completed")
        self.held.end(entry)
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
        self._tell_ended(entry)

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
                self._refuse(entry, exceptions.Infeasible())
        except asyncio.CancelledError:
            if entry.state is entries.State.DISPATCHED:
                self._refuse(entry, entry.stop_reason or exceptions.OutcomeUnknown())
            else:
                self._refuse(entry, exceptions.Cancelled())
        except Exception as error:
            # Whatever went wrong here, the caller gets an answer that is true.
            logs.trouble(
                "request_crashed", id=entry.accepted.id.text, cause=repr(error)
            )
            if entry.state is entries.State.DISPATCHED:
                self._refuse(entry, exceptions.OutcomeUnknown())
            else:
                self._refuse(entry, exceptions.InternalError())


def _check_same(entry: entries.Entry, data: bytes) -> None:
    # Two requests under one id: the second caller would get the first one's answer.
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

"""The table of requests that this instance owns, and each one's way to its end.

The right to dispatch a request belongs to the incarnation named in its id. Nobody
else may ever dispatch it, even when this one is dead; so at most once needs no
agreement with anybody.
"""

import asyncio
import collections.abc
import enum

import aiohttp

from cassiaquay_schema import fleet, messages
from cassiaquay_schema import settings as settings_schema

from . import (
    answers,
    backends,
    clock,
    demands,
    exceptions,
    logs,
    pause,
    prefixes,
    rendezvous,
    requests,
    tokens,
)

# Entries outlive their token by this much, so that no copy of a request that is
# still allowed to arrive finds its entry gone.
TOMBSTONE_SECONDS = 5.0
SWEEP_SECONDS = 1.0
NOT_SENT_PAUSE = 0.05


class State(enum.Enum):
    """Where a request is."""

    WAITING = "waiting"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    REFUSED = "refused"


class Entry:
    """One request in the owner's table.

    Parameters
    ----------
    accepted : Accepted
        The checked request.
    """

    def __init__(self, accepted: requests.Accepted):
        self.accepted = accepted
        self.answer = answers.Answer()
        self.refusal: exceptions.Refusal | None = None
        self.state = State.WAITING
        self.accepted_at = clock.now()
        self.deadline = self.accepted_at + accepted.deadline_seconds
        self.ended_at = 0.0
        self.server = ""
        self.shard = ""
        self.figures = backends.Figures(accepted.prompt_tokens, 0, 0)
        self.readers = 0
        self.unread_since = clock.now()
        self.acknowledged = False
        self.task: asyncio.Task[None] | None = None

    @property
    def ended(self) -> bool:
        """Whether the outcome is final."""
        return self.answer.final is not None


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
    asked : Demands
        The way to keepers.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        incarnation: str,
        http: aiohttp.ClientSession,
        asked: demands.Demands,
    ):
        self.leaving = False
        self.table: dict[str, Entry] = {}
        self._settings = settings
        self._incarnation = incarnation
        self._started = clock.now()
        self._demands = asked
        self.pauses = pause.Pauses(pause.shortest_lease(settings))
        self._background: set[asyncio.Task[None]] = set()
        self._on_ended: list[collections.abc.Callable[[Entry], None]] = []
        self._on_wasted: list[collections.abc.Callable[[int], None]] = []
        self._backends: dict[str, backends.Backend] = {}
        for name in backends.backends.names():
            self._backends[name] = backends.backends.get(name)(http)

    @property
    def open_count(self) -> int:
        """Requests that have not ended."""
        return sum(1 for entry in self.table.values() if not entry.ended)

    def on_ended(self, call: collections.abc.Callable[[Entry], None]) -> None:
        """Call ``call`` with each entry whose outcome has become final."""
        self._on_ended.append(call)

    def on_wasted(self, call: collections.abc.Callable[[int], None]) -> None:
        """Call ``call`` with the prompt tokens that a stopped request had read."""
        self._on_wasted.append(call)

    def mint(self) -> str:
        """Return a fresh token for ids that this incarnation will own."""
        settings = self._settings
        expiry = clock.now() - self._started + settings.owner.token_seconds
        return tokens.mint(
            settings.keys[0], settings.instance, self._incarnation, expiry
        )

    def owns(self, request_id: tokens.RequestId) -> bool:
        """Tell whether an id names this incarnation."""
        return (
            request_id.instance == self._settings.instance
            and request_id.incarnation == self._incarnation
        )

    def find(self, request_id: tokens.RequestId, team: str) -> Entry:
        """Return the entry of a known id; raise Refusal for any other."""
        entry = self.table.get(request_id.text)
        if entry is not None:
            if entry.accepted.team != team:
                raise exceptions.Forbidden("this id belongs to another team")
            return entry
        if self._expired(request_id):
            raise exceptions.TokenExpired()
        raise exceptions.UnknownId()

    def submit(
        self,
        request_id: tokens.RequestId,
        team: str,
        accept: collections.abc.Callable[[], requests.Accepted],
    ) -> Entry:
        """Return the entry of an id, made by ``accept`` when it is new."""
        known = self.table.get(request_id.text)
        if known is not None:
            return self.find(request_id, team)
        if self._expired(request_id):
            # Its entry may have been here and dropped: saying "not run" might lie.
            raise exceptions.TokenExpired()
        accepted = accept()
        entry = Entry(accepted)
        self.table[request_id.text] = entry
        if self.leaving:
            self._refuse(entry, exceptions.Leaving())
            return entry
        entry.task = asyncio.create_task(self._run(entry))
        return entry

    def attach(self, entry: Entry) -> None:
        """Count a reader of an entry's answer."""
        entry.readers += 1

    def detach(self, entry: Entry) -> None:
        """Count a reader as gone."""
        entry.readers -= 1
        if not entry.readers:
            entry.unread_since = clock.now()

    def acknowledge(self, entry: Entry) -> None:
        """Let go of an answer that the caller has whole; its id stays known."""
        if entry.ended:
            entry.acknowledged = True
            entry.answer.forget()

    def cancel(self, entry: Entry) -> None:
        """End a request that its caller has given up."""
        if entry.ended:
            return
        if entry.state is State.WAITING:
            self._refuse(entry, exceptions.Cancelled())
        if entry.task is not None:
            entry.task.cancel()

    async def sweep(self) -> None:
        """Drop abandoned requests and old entries for ever."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = clock.now()
            for text in list(self.table):
                self._sweep(text, self.table[text], now)

    async def leave(self) -> None:
        """Hand waiting requests back, and return when the others have ended."""
        self.leaving = True
        for entry in list(self.table.values()):
            if entry.state is State.WAITING and not entry.ended:
                self._refuse(entry, exceptions.Leaving())
                if entry.task is not None:
                    entry.task.cancel()
        running = [e.task for e in self.table.values() if e.task and not e.task.done()]
        await asyncio.gather(*running, return_exceptions=True)

    def _expired(self, request_id: tokens.RequestId) -> bool:
        return clock.now() - self._started > request_id.expiry

    def _sweep(self, text: str, entry: Entry, now: float) -> None:
        grace = self._settings.owner.disconnect_grace
        if not entry.ended:
            if entry.readers or now - entry.unread_since < grace:
                return
            if entry.state is State.WAITING:
                self._refuse(entry, exceptions.CallerGone())
            elif entry.accepted.service_settings.on_disconnect == "finish":
                return
            if entry.task is not None:
                entry.task.cancel()
            return
        kept = self._settings.owner.answer_seconds
        if now - entry.ended_at > kept and not entry.readers:
            entry.answer.forget()
        age = now - self._started - entry.accepted.id.expiry
        if age > max(TOMBSTONE_SECONDS, kept) and not entry.readers:
            del self.table[text]

    def _refuse(self, entry: Entry, refusal: exceptions.Refusal) -> None:
        if entry.ended:
            return
        if refusal.outcome == "not_run":
            entry.state = State.REFUSED
        else:
            entry.state = State.FINISHED
        entry.refusal = refusal
        entry.ended_at = clock.now()
        entry.answer.finish(
            refusal.outcome,
            refusal.code,
            refusal.message,
            refusal.retry_after_ms,
            refusal.address,
        )
        logs.event(
            "ended",
            id=entry.accepted.id.text,
            outcome=refusal.outcome,
            code=refusal.code,
            tier=entry.accepted.tier,
            team=entry.accepted.team,
            service=entry.accepted.service,
        )
        self._tell_ended(entry)

    def _tell_ended(self, entry: Entry) -> None:
        for call in self._on_ended:
            call(entry)

    async def _run(self, entry: Entry) -> None:
        remaining = entry.deadline - clock.now()
        try:
            async with asyncio.timeout(remaining):
                await self._serve(entry)
        except exceptions.Refusal as refusal:
            self._refuse(entry, refusal)
        except TimeoutError:
            if entry.state is State.DISPATCHED:
                self._refuse(entry, exceptions.DeadlineExceeded())
            else:
                self._refuse(entry, exceptions.Infeasible())
        except asyncio.CancelledError:
            if entry.state is State.DISPATCHED:
                self._refuse(
                    entry, exceptions.OutcomeUnknown("cancelled while running")
                )
            else:
                self._refuse(entry, exceptions.Cancelled())
        except Exception as error:
            # Whatever went wrong here, the caller gets an answer that is true.
            logs.trouble(
                "request_crashed", id=entry.accepted.id.text, cause=repr(error)
            )
            if entry.state is State.DISPATCHED:
                self._refuse(entry, exceptions.OutcomeUnknown())
            else:
                self._refuse(entry, exceptions.Shed("internal error"))

    async def _serve(self, entry: Entry) -> None:
        avoid: list[str] = []
        while not entry.ended:
            demand = self._demand(entry, avoid)
            entry.shard = demand.shard
            permission = await self._demands.obtain(demand, entry.deadline)
            server = entry.accepted.snapshot.server(
                entry.accepted.pool, permission.server
            )
            if server is None:
                # The keeper already uses a configuration that this request does not.
                self._demands.give_back(demand)
                avoid.append(permission.server)
                await asyncio.sleep(NOT_SENT_PAUSE)
                continue
            try:
                await self._dispatch(entry, demand, permission, server)
                return
            except exceptions.NotSent as error:
                logs.detail("not_sent", server=server.name, cause=str(error))
                self._demands.give_back(demand)
                avoid.append(server.name)
                await asyncio.sleep(NOT_SENT_PAUSE)

    async def _dispatch(
        self,
        entry: Entry,
        demand: messages.Demand,
        permission: demands.Permission,
        server: fleet.Server,
    ) -> None:
        accepted = entry.accepted
        backend = self._backends[accepted.adapter_name]
        watch = clock.Stopwatch()
        started_at = clock.now()

        def before_sending() -> None:
            # A process that was paused wakes up here with a permit that is long
            # over, or with a caller that has been told "not run": it must not send.
            end = min(permission.expires_at, entry.deadline)
            over = clock.now() >= end or not self.pauses.current
            if over or entry.ended or entry.state is not State.WAITING:
                raise exceptions.NotSent("ended, expired or paused meanwhile")
            entry.state = State.DISPATCHED
            entry.server = server.name
            logs.event(
                "dispatch",
                id=accepted.id.text,
                server=server.name,
                tier=accepted.tier,
                team=accepted.team,
            )
            self._demands.dispatched(
                demand.shard,
                messages.Outstanding(
                    demand.id,
                    demand.service,
                    demand.team,
                    demand.rank,
                    server.name,
                    demand.prompt_tokens,
                    demand.output_tokens,
                ),
                entry.answer,
            )

        figures = backends.Figures(accepted.prompt_tokens, 0, 0)
        outcome = "unknown"
        try:
            figures = await backend.run(
                server, accepted.call, entry.answer, before_sending
            )
            outcome = "completed"
            entry.figures = figures
            entry.state = State.FINISHED
            entry.ended_at = clock.now()
            entry.answer.finish("completed", "completed")
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
        except exceptions.Declined as error:
            raise exceptions.ServerDeclined(str(error)) from error
        except exceptions.Rejected as error:
            raise exceptions.BackendFailed(str(error)) from error
        except (exceptions.StreamCut, exceptions.StreamMissing) as error:
            raise exceptions.AnswerLost(str(error)) from error
        finally:
            if entry.state is not State.WAITING:
                first_ms = max(entry.answer.first_at - started_at, 0.0) * 1000.0
                self._demands.release(
                    messages.Release(
                        demand.id,
                        demand.shard,
                        server.name,
                        outcome,
                        figures.prompt_tokens,
                        figures.cached_tokens,
                        entry.answer.count,
                        first_ms,
                        watch.elapsed_ms,
                    )
                )
            if outcome != "completed" and entry.state is State.DISPATCHED:
                self._in_background(self._stop(backend, server, entry))

    def _in_background(self, work: collections.abc.Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _stop(
        self, backend: backends.Backend, server: fleet.Server, entry: Entry
    ) -> None:
        waste = await backend.cancel(server, entry.accepted.call.key)
        if waste is not None:
            logs.event(
                "wasted",
                id=entry.accepted.id.text,
                prefilled_tokens=waste.prefilled_tokens,
            )
            for call in self._on_wasted:
                call(waste.prefilled_tokens)

    def _demand(self, entry: Entry, avoid: list[str]) -> messages.Demand:
        accepted = entry.accepted
        count = accepted.snapshot.shard_count(accepted.pool)
        key = accepted.body.session or accepted.body.prompt[:256]
        number = int(rendezvous.first(key, [str(index) for index in range(count)]))
        return messages.Demand(
            accepted.id.text,
            f"{accepted.pool}#{number}",
            accepted.service,
            accepted.team,
            accepted.rank,
            accepted.prompt_tokens,
            accepted.output_tokens,
            max(int((entry.deadline - clock.now()) * 1000.0), 0),
            accepted.body.session,
            prefixes.blocks(accepted.body.prompt) if accepted.call.model else [],
            list(avoid),
        )

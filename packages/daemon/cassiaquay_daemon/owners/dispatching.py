"""Dispatch of waiting requests to backend servers, at most once for each request."""

import asyncio
import collections.abc
import typing

import aiohttp

from cassiaquay_schema import fleet, messages

from .. import clock, exceptions, logs, pause
from ..adapters import answers, backends, signals
from ..decisions import prefixes, quarantine
from ..fleet import server_reports
from ..keepers import permissions
from . import entries, table

NOT_SENT_PAUSE_SECONDS = 0.05
# How long the owner reads on the answer of a request that cannot be stopped after its
# caller got "unknown", so that the caller can query the outcome later.
OUTCOME_WAIT_SECONDS = 60.0
# The connection cannot be resumed, or the engine has restarted and lost the stream.
SERVER_CRASHED = (exceptions.ConnectionBroken, exceptions.StreamNotFound)


class Capacity(typing.Protocol):
    """Source of permissions to dispatch."""

    async def obtain(
        self, demand: messages.Demand, deadline: float
    ) -> permissions.Permission:
        """Return a permission to dispatch; raise Refusal when the request is shed."""

    def give_back(self, demand: messages.Demand) -> None:
        """Return a permission that was not used."""

    def dispatched(
        self,
        shard: str,
        item: messages.Outstanding,
        answer: answers.Answer | None = None,
    ) -> None:
        """Record that a permission is in use."""

    def release(self, message: messages.Release) -> None:
        """Report the end of a dispatched request."""


class Crashes(typing.Protocol):
    """Quarantine of requests that crash servers."""

    def holds(self, content: str) -> bool:
        """Return whether requests with this content must be refused."""

    def crashed(self, content: str, server: str) -> object:
        """Report that a server, named with its start time, crashed on a request."""

    def completed(self, content: str) -> object:
        """Report that a server has completed a request."""


class Servers(typing.Protocol):
    """What servers have reported about themselves."""

    def sent(self, attempt: str, server: fleet.Server) -> server_reports.Sent:
        """Return the record of a request whose first byte is about to be written."""

    def answered(
        self, sent: server_reports.Sent, found: signals.Signals, is_failure: bool
    ) -> None:
        """Handle the head of an answer."""

    def blocking_cause(self, server: str, is_charged: bool) -> str:
        """Return why a request may not be sent to a server now; empty if it may."""


class Dispatcher:
    """Dispatches the requests of one owner.

    Parameters
    ----------
    capacity : Capacity
        Source of permissions.
    http : ClientSession
        Connections to backend servers.
    requests : Table
        The owner's requests; receives dispatches and late outcomes.
    is_leaving : callable
        Returns whether the instance list shows a backend server as leaving.
    """

    def __init__(
        self,
        capacity: Capacity,
        http: aiohttp.ClientSession,
        requests: table.Table,
        is_leaving: collections.abc.Callable[[str], bool],
    ):
        self.background: set[asyncio.Task[None]] = set()
        self.pauses: pause.Pauses | None = None
        self.crashes: Crashes | None = None
        self.servers: Servers | None = None
        self._on_wasted: list[collections.abc.Callable[[int], None]] = []
        self._capacity = capacity
        self._table = requests
        self._is_leaving = is_leaving
        self._backends: dict[str, backends.Backend] = {}
        for name in backends.backends.names():
            self._backends[name] = backends.backends.get(name)(http)

    def on_wasted(self, call: collections.abc.Callable[[int], None]) -> None:
        """Call ``call`` with the prompt tokens prefilled for a stopped request."""
        self._on_wasted.append(call)

    def can_stop(self, entry: entries.Entry) -> bool:
        """Return whether the backend server of a request can stop it."""
        return self._backends[entry.accepted.adapter_name].can_stop

    async def serve(self, entry: entries.Entry) -> None:
        """Dispatch a request once and read its answer; raise Refusal on failure.

        A request whose caller is not connected waits here: dispatching it could waste
        a long prefill, and after a pause of this process most callers have
        disconnected.
        """
        avoid: list[str] = []
        while not entry.ended:
            await entry.has_reader.wait()
            self._check_quarantine(entry)
            demand = _demand(entry, avoid)
            entry.shard = demand.shard
            permission = await self._capacity.obtain(demand, entry.deadline)
            demand = demand._replace(shard=permission.shard)
            entry.shard = demand.shard
            if self._is_quarantined(entry):
                # Crash reports of other instances arrived while this request waited.
                self._capacity.give_back(demand)
                continue
            server = entry.accepted.snapshot.server(
                entry.accepted.pool, permission.server
            )
            if server is None:
                # The keeper uses a newer configuration than this request.
                self._capacity.give_back(demand)
                avoid.append(permission.server)
                await asyncio.sleep(NOT_SENT_PAUSE_SECONDS)
                continue
            try:
                await self._dispatch(entry, demand, permission, server)
                return
            except (exceptions.StaleAfterPause, exceptions.ServerUnavailable):
                # The server has not failed: it may be chosen again.
                self._capacity.give_back(demand)
                await asyncio.sleep(NOT_SENT_PAUSE_SECONDS)
            except exceptions.NotSent as error:
                logs.detail("not_sent", server=server.name, cause=str(error))
                self._capacity.give_back(demand)
                if entry.readers:
                    avoid.append(server.name)
                await asyncio.sleep(NOT_SENT_PAUSE_SECONDS)

    async def _dispatch(
        self,
        entry: entries.Entry,
        demand: messages.Demand,
        permission: permissions.Permission,
        server: fleet.Server,
    ) -> None:
        backend = self._backends[entry.accepted.adapter_name]
        attempt = _Attempt(entry, demand, server, clock.now())

        sent: server_reports.Sent | None = None

        def before_sending() -> None:
            nonlocal sent
            self._check_before_sending(entry, permission, server)
            self._mark_dispatched(attempt)
            if self.servers is not None:
                sent = self.servers.sent(demand.id, server)

        def on_signals(found: signals.Signals, is_failure: bool) -> None:
            if self.servers is not None and sent is not None:
                self.servers.answered(sent, found, is_failure)

        run_task = asyncio.create_task(
            backend.run(
                server, entry.accepted.call, entry.answer, before_sending, on_signals
            )
        )
        try:
            usage = await asyncio.shield(run_task)
        except asyncio.CancelledError:
            if entry.state is entries.State.DISPATCHED and not backend.can_stop:
                # Closing the connection would save no work and lose the outcome.
                self._start_background(self._wait_for_outcome(attempt, run_task))
                raise
            run_task.cancel()
            await asyncio.gather(run_task, return_exceptions=True)
            self._record_failure(attempt, backend)
            raise
        except exceptions.NotSent:
            raise
        except exceptions.BackendError as error:
            self._record_failure(attempt, backend)
            if isinstance(error, SERVER_CRASHED):
                self._report_crash(attempt)
            raise _refusal(error) from error
        except Exception:
            self._record_failure(attempt, backend)
            raise
        entry.figures = usage
        self._release(attempt, "completed", usage)
        if self.crashes is not None:
            self.crashes.completed(entry.content)

    def _is_quarantined(self, entry: entries.Entry) -> bool:
        return self.crashes is not None and self.crashes.holds(entry.content)

    def _check_quarantine(self, entry: entries.Entry) -> None:
        if self._is_quarantined(entry):
            raise exceptions.Quarantined(retry_after_ms=quarantine.RETRY_MS)

    def _report_crash(self, attempt: "_Attempt") -> None:
        if self.crashes is None:
            return
        entry, demand, server, _ = attempt
        # If the fleet text does not say when a server started, each attempt that fails
        # without a way to resume it counts as a crash.
        start = server.started_ms or demand.id
        self.crashes.crashed(entry.content, f"{server.name}/{start}")

    def _check_before_sending(
        self,
        entry: entries.Entry,
        permission: permissions.Permission,
        server: fleet.Server,
    ) -> None:
        # After a pause of this process, the permit may have expired, and the caller may
        # have disconnected or got the outcome "not run": the request must not be sent.
        if entry.ended or entry.state is not entries.State.WAITING:
            raise exceptions.NotSent("ended meanwhile")
        if self.pauses is not None and not self.pauses.is_current:
            raise exceptions.StaleAfterPause("this process was paused")
        if not entry.readers:
            raise exceptions.NotSent("no caller is connected")
        if clock.now() >= min(permission.expires_at, entry.deadline):
            raise exceptions.NotSent("the permit has expired")
        if self.servers is not None:
            cause = self.servers.blocking_cause(server.name, permission.is_charged)
            if cause:
                raise exceptions.ServerUnavailable(cause)
        # The keeper may have granted just before the list showed the server as leaving.
        if self._is_leaving(server.name):
            raise exceptions.NotSent("the server is leaving")

    def _mark_dispatched(self, attempt: "_Attempt") -> None:
        # From here on the request may run. The mark is never removed, even when the
        # connection fails, so that the request is not sent to a second server.
        entry, demand, server, _ = attempt
        entry.state = entries.State.DISPATCHED
        entry.server = server.name
        self._table.dispatched(entry)
        logs.event(
            "dispatch",
            id=demand.id,
            server=server.name,
            tier=entry.accepted.tier,
            team=entry.accepted.team,
        )
        self._capacity.dispatched(
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

    def _record_failure(self, attempt: "_Attempt", backend: backends.Backend) -> None:
        entry = attempt.entry
        if entry.state is entries.State.WAITING:
            return
        usage = backends.TokenUsage(entry.accepted.prompt_tokens, 0, 0)
        self._release(attempt, "unknown", usage)
        self._start_background(self._stop(backend, attempt))

    def _release(
        self, attempt: "_Attempt", outcome: str, usage: backends.TokenUsage
    ) -> None:
        entry, demand, server, started_at = attempt
        now = clock.now()
        first_ms = max(entry.answer.first_at - started_at, 0.0) * 1000.0
        self._capacity.release(
            messages.Release(
                demand.id,
                demand.shard,
                server.name,
                outcome,
                usage.prompt_tokens,
                usage.cached_tokens,
                entry.answer.count,
                first_ms,
                (now - started_at) * 1000.0,
            )
        )

    async def _wait_for_outcome(
        self, attempt: "_Attempt", run_task: "asyncio.Task[backends.TokenUsage]"
    ) -> None:
        entry = attempt.entry
        outcome, code = "", ""
        try:
            async with asyncio.timeout(OUTCOME_WAIT_SECONDS):
                usage = await run_task
            outcome, code = "completed", "completed"
        except exceptions.BackendError as error:
            refusal = _refusal(error)
            outcome, code = refusal.outcome, refusal.code
        except TimeoutError:
            pass
        if outcome in ("completed", "failed"):
            self._table.resolve_outcome(entry, outcome, code)
            logs.event("settled", id=entry.accepted.id.text, outcome=outcome, code=code)
        if outcome != "completed":
            usage = backends.TokenUsage(0, 0, 0)
        self._release(attempt, outcome or "unknown", usage)

    async def _stop(self, backend: backends.Backend, attempt: "_Attempt") -> None:
        waste = await backend.cancel(attempt.server, attempt.entry.accepted.call.key)
        if waste is None:
            return
        logs.event(
            "wasted",
            id=attempt.demand.id,
            tier=attempt.entry.accepted.tier,
            team=attempt.entry.accepted.team,
            prefilled_tokens=waste.prefilled_tokens,
            generated_tokens=waste.generated_tokens,
        )
        for call in self._on_wasted:
            call(waste.prefilled_tokens)

    def _start_background(
        self, work: collections.abc.Coroutine[None, None, None]
    ) -> None:
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)


class _Attempt(typing.NamedTuple):
    """One permitted attempt to dispatch a request."""

    entry: entries.Entry
    demand: messages.Demand
    server: fleet.Server
    started_at: float


def _refusal(error: exceptions.BackendError) -> exceptions.Refusal:
    if isinstance(error, exceptions.Declined):
        return exceptions.ServerDeclined(str(error))
    if isinstance(error, exceptions.Rejected):
        return exceptions.BackendFailed(str(error))
    return exceptions.AnswerLost(str(error))


def _demand(entry: entries.Entry, avoid: list[str]) -> messages.Demand:
    accepted = entry.accepted
    key = accepted.body.session or accepted.body.prompt[:256]
    return messages.Demand(
        accepted.id.text,
        accepted.snapshot.shard_of(accepted.pool, key),
        accepted.service,
        accepted.team,
        accepted.rank,
        accepted.prompt_tokens,
        accepted.output_tokens,
        max(int((entry.deadline - clock.now()) * 1000.0), 0),
        accepted.body.session,
        prefixes.blocks(accepted.body.prompt) if accepted.call.model else [],
        list(avoid),
        prefixes.block_count(accepted.body.prompt) if accepted.call.model else 0,
    )

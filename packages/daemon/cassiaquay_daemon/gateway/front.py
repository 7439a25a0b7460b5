"""The address of callers' requests: from the first byte to a final answer.

One task for each request, written straight down. The promise is kept here: a request is
"not run" only while no byte of it has gone to a server, or when each server that got it
said that it did not run it.
"""

import asyncio
import collections.abc
import http
import typing

import msgspec

from cassiaquay_schema import settings as settings_schema

from .. import (
    budgets,
    clock,
    configuration,
    exceptions,
    logs,
    pause,
    quotas,
    routing,
    servers,
)
from ..platform import headers
from . import admission, calls, events, forwarding

Message = collections.abc.MutableMapping[str, typing.Any]
Receive = collections.abc.Callable[[], collections.abc.Awaitable[Message]]
Send = collections.abc.Callable[[Message], collections.abc.Awaitable[None]]
Scope = collections.abc.MutableMapping[str, typing.Any]

# Retry-After before the first configuration is here.
NOT_READY_RETRY_MS = 500
# Retry-After when servers keep refusing or cannot be reached.
UNREACHABLE_RETRY_MS = 300
# Pause before a request whose connection failed asks for another server.
AGAIN_SECONDS = 0.01
# Connections that may fail before a request is refused: servers that crashed are still
# listed for a while, and two of them together must not cost a request.
MOST_UNSENT = 4


class Progress:
    """What has become of one request so far.

    Attributes
    ----------
    sent : bool
        Whether a server may have run it.
    runs : int
        Servers that may have run it.
    last_event : int
        Number of the last event that the caller was sent.
    started : bool
        Whether the caller has the beginning of an answer.
    refused : list of str
        Servers that could not be reached.
    tried : list of str
        Servers that got it and did not answer it well.
    """

    def __init__(self, call: calls.Call):
        self.call = call
        self.sent = False
        self.runs = 0
        self.tries = 0
        self.last_event = call.facts.last_event
        self.started = False
        self.refused: list[str] = []
        self.tried: list[str] = []
        self.server = ""


class Front:
    """The ASGI application of callers' requests.

    Parameters
    ----------
    settings : Settings
        Bounds.
    configured : Configuration
        Routes and teams in force.
    admitted : Admission
        Capacity.
    forwarder : Forwarder
        The way to servers.
    budget : RetryBudget
        Repeats.
    limited : Quotas
        Teams' limits.
    pauses : Pauses
        Whether this process knows what is true now.
    known : Servers
        How old the configuration may be.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        configured: configuration.Configuration,
        admitted: admission.Admission,
        forwarder: forwarding.Forwarder,
        budget: budgets.RetryBudget,
        limited: quotas.Quotas,
        pauses: pause.Pauses,
        known: servers.Servers,
    ):
        self.leaving = False
        self.open_count = 0
        self._settings = settings
        self._configured = configured
        self._admission = admitted
        self._forwarder = forwarder
        self._budget = budget
        self._quotas = limited
        self._pauses = pauses
        self._servers = known

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        self.open_count += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.open_count -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        began_at = clock.now()
        facts = headers.read(scope["headers"])
        try:
            call = await self._accept(scope, receive, facts, began_at)
        except exceptions.Refusal as refusal:
            _log_refused(facts, refusal, began_at)
            await self._refuse(send, refusal)
            return
        except _Gone:
            return
        progress = Progress(call)
        work = asyncio.create_task(self._work(progress, send))
        gone = asyncio.create_task(_wait_gone(receive))
        done, _ = await asyncio.wait([work, gone], return_when=asyncio.FIRST_COMPLETED)
        if work not in done:
            # The caller has closed its connection: what waits for it is forgotten and
            # what runs for it is stopped, so that no server works for nobody. What may
            # not run twice is left to end: cut off, its work would be half done.
            if call.is_stream or call.route.is_repeatable or not progress.sent:
                work.cancel()
            logs.event(
                "caller_gone",
                id=facts.attempt,
                sent=progress.sent,
                server=progress.server,
                ms=_ms(began_at),
            )
        else:
            gone.cancel()
        await asyncio.gather(work, gone, return_exceptions=True)

    async def _accept(
        self, scope: Scope, receive: Receive, facts: headers.Facts, began_at: float
    ) -> calls.Call:
        snapshot = self._configured.current
        if snapshot is None or snapshot.routes is None:
            raise exceptions.NotReady(retry_after_ms=NOT_READY_RETRY_MS)
        if not facts.attempt:
            raise exceptions.BadRequest("an id of the attempt is needed")
        target = scope["raw_path"].decode("latin-1")
        route = snapshot.routes.find(facts.host, target)
        if route is None or not route.shares:
            raise self._unless_behind(exceptions.NoRoute())
        team = self._team(snapshot.routes, route, facts)
        body = await _read_body(receive, snapshot.routes.bounds)
        if scope["query_string"]:
            target += "?" + scope["query_string"].decode("latin-1")
        return calls.Call(
            scope["method"],
            target,
            scope["headers"],
            facts,
            body,
            route,
            route.choose_service(),
            team,
            snapshot,
            began_at,
            calls.deadline(began_at, facts, route),
        )

    def _team(
        self,
        found: routing.Routing,
        route: routing.Route,
        facts: headers.Facts,
    ) -> routing.Team | None:
        team = found.teams_by_key.get(facts.key) if facts.key else None
        if team is None and found.needs_keys and not route.is_public:
            raise self._unless_behind(exceptions.Unauthorized())
        return team

    def _unless_behind(self, refusal: exceptions.Refusal) -> exceptions.Refusal:
        """Return a refusal that holds also when this configuration may be old.

        A route or key that was added a moment ago is unknown to an instance that hears
        neither the platform nor the others: "not now" is true there, "never" is not.
        """
        if self._servers.is_behind:
            return exceptions.NotReady(retry_after_ms=NOT_READY_RETRY_MS)
        return refusal

    async def _work(self, progress: Progress, send: Send) -> None:
        call = progress.call
        self._budget.count(call.service)
        try:
            async with asyncio.timeout(max(call.left, 0.0)):
                await self._quotas.take(call.team, call.facts)
                await self._answer(progress, send)
        except exceptions.Refusal as refusal:
            await self._end(progress, send, refusal)
        except TimeoutError:
            await self._end(progress, send, _too_late(progress))
        except _Broken:
            await self._end(progress, send, exceptions.AnswerLost())
        except Exception as error:
            # Whatever went wrong here, the caller gets an answer that is true.
            logs.trouble("request_crashed", id=call.facts.attempt, cause=repr(error))
            if progress.sent:
                await self._end(progress, send, exceptions.OutcomeUnknown())
            else:
                await self._end(progress, send, exceptions.InternalError())

    async def _answer(self, progress: Progress, send: Send) -> None:
        """Dispatch until an answer is whole; raise Refusal for any other end."""
        unsent = 0
        while True:
            progress.tries += 1
            try:
                await self._try(progress, send)
                return
            except exceptions.NotSent as error:
                logs.event(
                    "not_sent",
                    id=progress.call.facts.attempt,
                    server=progress.server,
                    cause=str(error),
                )
                unsent += 1
                if unsent >= MOST_UNSENT:
                    raise self._unreachable(progress) from error
                await asyncio.sleep(AGAIN_SECONDS)
            except exceptions.Declined as error:
                if not self._budget.take(progress.call.service):
                    raise self._unreachable(progress) from error
            except exceptions.StreamCut as error:
                self._check_repeat(progress, error)

    def _check_repeat(self, progress: Progress, error: exceptions.StreamCut) -> None:
        """Return when the request may be sent to another server; raise otherwise."""
        call = progress.call
        logs.event(
            "answer_cut",
            id=call.facts.attempt,
            server=progress.server,
            cause=str(error),
            after=progress.last_event,
        )
        if not call.route.is_repeatable or progress.runs >= call.route.attempts:
            raise exceptions.AnswerLost() from error
        if progress.started and not call.is_stream:
            raise exceptions.AnswerLost() from error
        if not self._budget.take(call.service):
            raise exceptions.AnswerLost("the budget of repeats is spent") from error

    def _unreachable(self, progress: Progress) -> exceptions.Refusal:
        if progress.sent:
            return exceptions.AnswerLost()
        return exceptions.ServerDeclined(
            "no server took it", retry_after_ms=UNREACHABLE_RETRY_MS
        )

    async def _try(self, progress: Progress, send: Send) -> None:
        """Dispatch once and pass the answer on."""
        call = progress.call
        ticket = await self._admission.obtain(
            call, progress.tries, progress.refused, progress.tried
        )
        progress.server = ticket.server.name
        sent_at = 0.0

        def before_sending() -> None:
            nonlocal sent_at
            self._check(progress, ticket)
            sent_at = clock.now()
            self._mark(progress, ticket)

        outcome = "unknown"
        try:
            answer = await self._forwarder.send(
                call, ticket.server, progress.last_event, before_sending
            )
            try:
                await self._pass_on(progress, ticket, answer, send)
                outcome = "failed" if answer.is_failure else "completed"
            finally:
                answer.response.close()
        except exceptions.Declined as error:
            progress.runs -= 1
            progress.sent = progress.runs > 0
            outcome = "declined"
            progress.tried.append(ticket.server.name)
            logs.event(
                "declined",
                id=call.facts.attempt,
                server=ticket.server.name,
                cause=str(error),
            )
            raise
        except exceptions.Overslept:
            raise
        except exceptions.NotSent:
            progress.refused.append(ticket.server.name)
            raise
        except exceptions.StreamCut as error:
            outcome = "failed" if isinstance(error, _Failed) else "cut"
            progress.tried.append(ticket.server.name)
            raise
        finally:
            if sent_at:
                self._admission.ended(ticket, sent_at, outcome)
            else:
                self._admission.unused(ticket)

    def _check(self, progress: Progress, ticket: admission.Ticket) -> None:
        # The last look before the first byte. A process that was paused wakes up here
        # with a ticket that is over, a server that has left or a key that was taken
        # away: nothing may be sent on what was true before.
        call = progress.call
        if not self._pauses.current:
            raise exceptions.Overslept("this process was paused")
        if clock.now() >= min(ticket.expires_at, call.deadline):
            raise exceptions.NotSent("the permit has expired")
        snapshot = self._configured.current
        if snapshot is None or snapshot.routes is None:
            raise exceptions.NotSent("no configuration")
        if snapshot.server(call.service, ticket.server.name) is None:
            raise exceptions.NotSent("the server has left")
        if snapshot is not call.snapshot and not _still_allowed(call, snapshot.routes):
            raise exceptions.NotSent("the route or key is gone")

    def _mark(self, progress: Progress, ticket: admission.Ticket) -> None:
        # From here on it may run: only the server's own word unmarks it.
        progress.sent = True
        progress.runs += 1
        self._admission.dispatched(ticket)
        call = progress.call
        logs.event(
            "dispatch",
            id=call.facts.attempt,
            server=ticket.server.name,
            route=call.route.name,
            team=call.team_name,
            rank=call.rank,
            number=progress.tries,
            alone=ticket.is_alone,
            waited_ms=_ms(call.began_at),
            configuration=call.snapshot.revision,
        )

    async def _pass_on(
        self,
        progress: Progress,
        ticket: admission.Ticket,
        answer: forwarding.Answer,
        send: Send,
    ) -> None:
        call = progress.call
        repeat = answer.is_failure and call.route.is_repeatable
        if repeat and progress.runs < call.route.attempts and not progress.started:
            if self._budget.take(call.service):
                raise _Failed(f"status {answer.status}")
        if call.is_stream and answer.status == 200:
            await self._pass_events(progress, ticket, answer, send)
        else:
            body = await forwarding.read_whole(answer)
            if progress.started:
                # A stream cannot go on with a failure's bytes.
                raise exceptions.StreamCut(f"status {answer.status}")
            await self._send_whole(progress, answer, body, send)
        self._log_end(progress, answer.status, ticket.tally)

    async def _send_whole(
        self,
        progress: Progress,
        answer: forwarding.Answer,
        body: bytes,
        send: Send,
    ) -> None:
        pairs = [
            pair for pair in answer.headers if pair[0].lower() != b"content-length"
        ]
        pairs.append((b"content-length", str(len(body)).encode()))
        progress.started = True
        await send(_start(answer.status, self._closing(pairs)))
        await send(_body(body, False))

    async def _pass_events(
        self,
        progress: Progress,
        ticket: admission.Ticket,
        answer: forwarding.Answer,
        send: Send,
    ) -> None:
        splitter = events.Splitter()
        if not progress.started:
            pairs = [
                pair for pair in answer.headers if pair[0].lower() != b"content-length"
            ]
            progress.started = True
            await send(_start(answer.status, self._closing(pairs)))
        async for data in forwarding.read(answer):
            found = splitter.feed(data)
            if splitter.is_over:
                raise exceptions.StreamCut("an event is too long")
            if not found.number:
                continue
            if found.first not in (progress.last_event + 1, events.NO_EVENT):
                if progress.last_event != events.NO_EVENT:
                    raise exceptions.StreamCut(
                        f"event {found.first} after {progress.last_event}"
                    )
            ticket.tally.add(found.number)
            if found.last != events.NO_EVENT:
                progress.last_event = found.last
            await send(_body(found.data, True))
        if not splitter.is_empty:
            raise exceptions.StreamCut("the stream ends within an event")
        await send(_body(b"", False))

    async def _end(
        self, progress: Progress, send: Send, refusal: exceptions.Refusal
    ) -> None:
        call = progress.call
        _log_refused(call.facts, refusal, call.began_at, progress)
        if progress.started:
            # The caller has a part: leaving without the end breaks its connection,
            # so that the part does not look whole.
            return
        await self._refuse(send, refusal)

    async def _refuse(self, send: Send, refusal: exceptions.Refusal) -> None:
        body = msgspec.json.encode(
            {
                "outcome": refusal.outcome,
                "code": refusal.code,
                "message": refusal.message,
            }
        )
        pairs = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        if refusal.retry_after_ms:
            seconds = refusal.retry_after_ms / 1000.0
            pairs.append((b"retry-after", f"{seconds:.3f}".encode()))
        await send(_start(_status(refusal), self._closing(pairs)))
        await send(_body(body, False))

    def _closing(self, pairs: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        # On a planned stop callers learn with their next answer that this connection
        # ends, so that none of them sends into a closing one.
        if self.leaving:
            pairs.append((b"connection", b"close"))
        return pairs

    def _log_end(self, progress: Progress, status: int, tally: admission.Tally) -> None:
        call = progress.call
        first_ms = None
        if tally.first_at:
            first_ms = round((tally.first_at - call.began_at) * 1000.0, 1)
        logs.event(
            "ended",
            id=call.facts.attempt,
            outcome="completed",
            status=status,
            server=progress.server,
            route=call.route.name,
            events=tally.count,
            prompt_tokens=call.facts.prompt_tokens or None,
            output_tokens=call.facts.output_tokens or None,
            first_ms=first_ms,
            ms=_ms(call.began_at),
        )


class _Gone(Exception):
    """The caller closed its connection."""


class _Broken(Exception):
    """An answer broke off."""


class _Failed(exceptions.StreamCut):
    """A server failed at a request that may be repeated."""


async def _wait_gone(receive: Receive) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return


async def _read_body(receive: Receive, bounds: routing.Bounds) -> bytes:
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise _Gone
        part = message.get("body", b"")
        size += len(part)
        if size > bounds.body_bytes:
            raise exceptions.TooLarge()
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)


def _still_allowed(call: calls.Call, found: routing.Routing) -> bool:
    path = call.target.partition("?")[0]
    route = found.find(call.facts.host, path)
    if route is None or call.service not in {share.service for share in route.shares}:
        return False
    if call.team is None:
        return route.is_public or not found.needs_keys
    team = found.teams_by_key.get(call.facts.key)
    return team is not None and team.name == call.team.name


def _too_late(progress: Progress) -> exceptions.Refusal:
    if progress.sent:
        return exceptions.DeadlineExceeded()
    return exceptions.Infeasible()


def _status(refusal: exceptions.Refusal) -> int:
    if isinstance(refusal, exceptions.DeadlineExceeded):
        # On this address the usual status of a gateway whose server is too slow.
        return int(http.HTTPStatus.GATEWAY_TIMEOUT)
    return int(refusal.status)


def _start(status: int, pairs: list[tuple[bytes, bytes]]) -> Message:
    return {"type": "http.response.start", "status": status, "headers": pairs}


def _body(data: bytes, more: bool) -> Message:
    return {"type": "http.response.body", "body": data, "more_body": more}


def _ms(since: float) -> float:
    return round((clock.now() - since) * 1000.0, 1)


def _log_refused(
    facts: headers.Facts,
    refusal: exceptions.Refusal,
    began_at: float,
    progress: Progress | None = None,
) -> None:
    logs.event(
        "ended",
        id=facts.attempt,
        outcome=refusal.outcome or "not_run",
        code=refusal.code,
        status=_status(refusal),
        retry_after_ms=refusal.retry_after_ms or None,
        route=progress.call.route.name if progress else None,
        server=progress.server if progress else None,
        tries=progress.tries if progress else None,
        ms=_ms(began_at),
    )

"""Sends a request to one backend server, directly or by a relay, and reads the answer.

A relay is another instance that reaches the server while this one does not.
"""

import asyncio
import collections.abc
import typing

import aiohttp
import yarl

from cassiaquay_schema import fleet, messages

from .. import clock, exceptions, logs, response_ends
from ..adapters import breaks, signals
from ..decisions import held_bytes, paths
from ..fleet import server_reports
from ..platform import headers
from . import calls, connections, events, holding, relays

# Time without a byte from a server after which its path is probed. Most first events
# come earlier, and a probe costs the server little.
SILENCE_SECONDS = 0.25
FIRST_REDIRECT_STATUS = 300
FIRST_SERVER_ERROR_STATUS = 500

NO_SIGNALS = signals.Signals()
BeforeSending = collections.abc.Callable[[], None]


class Outgoing(typing.NamedTuple):
    """One request as it is sent to a server.

    Attributes
    ----------
    attempt : str
        The caller's id of the attempt.
    method, target : str
        Method and request target.
    pairs : list of pairs
        Headers.
    body : bytes
        The complete body.
    server : Server
        The server.
    """

    attempt: str
    method: str
    target: str
    pairs: headers.Pairs
    body: bytes
    server: fleet.Server


class Answer(typing.NamedTuple):
    """Status and headers of a server's answer, and the response to read its body from.

    Attributes
    ----------
    response : ClientResponse
        Response whose body has not been read.
    status : int
        HTTP status.
    headers : list of pairs
        Headers to send to the caller.
    reported : Signals
        What it says about the server.
    is_relayed : bool
        Whether another instance passes it on.
    is_framed : bool
        Whether its body has a length or comes in chunks; otherwise it ends with the
        server's connection, and so does the body of a server that has crashed.
    """

    response: aiohttp.ClientResponse
    status: int
    headers: list[tuple[bytes, bytes]]
    reported: signals.Signals = NO_SIGNALS
    is_relayed: bool = False
    is_framed: bool = True

    @property
    def is_failure(self) -> bool:
        """Whether the status is a server error."""
        return self.status >= FIRST_SERVER_ERROR_STATUS

    @property
    def announced_bytes(self) -> int:
        """Length of the body by the head, 0 if it says none."""
        if response_ends.has_no_body(self.response):
            return 0
        return self.response.content_length or 0


class Piece(typing.NamedTuple):
    """A part of an answer.

    Attributes
    ----------
    answer : Answer
        Status and headers.
    data : bytes
        Part of a stream, empty for its head.
    is_last : bool
        Whether the answer is complete.
    received : Events
        The events in a part of a stream.
    parts : sequence of bytes
        The complete body of any other answer.
    """

    answer: Answer
    data: bytes
    is_last: bool
    received: events.Events = events.NOTHING
    parts: collections.abc.Sequence[bytes] = ()

    @property
    def size(self) -> int:
        """Bytes of the complete body."""
        return sum(map(len, self.parts))

    @property
    def is_head(self) -> bool:
        """Whether nothing of the body has arrived."""
        return not self.data and not self.is_last

    @property
    def is_failed_head(self) -> bool:
        """Whether it is the head of a failure."""
        return self.is_head and self.answer.is_failure


class Misdirected(exceptions.Declined):
    """Another server has the address of the intended one; it declined the request."""

    code = "backend_misdirected"


class Forwarder:
    """Sends requests to backend servers.

    Parameters
    ----------
    http : ClientSession
        The session of a :class:`connections.Dialer`.
    reports : ServerReports
        Receives what servers report about themselves.
    observed : Paths
        Tells which servers this instance reaches itself.
    chosen_relays : Relays
        Chooses the instances that reach the others.
    """

    def __init__(
        self,
        http: aiohttp.ClientSession,
        reports: server_reports.ServerReports,
        observed: paths.Paths,
        chosen_relays: relays.Relays,
    ):
        self._http = http
        self._reports = reports
        self._paths = observed
        self._relays = chosen_relays

    async def send(
        self,
        call: calls.Call,
        server: fleet.Server,
        last_event: int,
        before_sending: BeforeSending,
    ) -> Answer:
        """Send a request; return its answer once the headers have arrived.

        ``before_sending`` is called when a connection is established and no byte of
        the request has been written; it may raise NotSent. It is called again for each
        relay, if those before it did not send the request.

        Raises
        ------
        NotSent
            No server has received any byte.
        Declined
            The server reports that it did not run the request.
        StreamInterrupted
            The request was sent and may have run.
        """

        def form() -> Outgoing:
            pairs = headers.towards_server(
                call.headers,
                server.name,
                call.team_name,
                int(call.seconds_left * 1000),
                last_event,
            )
            return Outgoing(
                call.parsed.attempt,
                call.method,
                call.target,
                pairs,
                call.body,
                server,
            )

        candidates = self._relays.choose(call.service)
        if self._paths.is_open(server.address) or not candidates:
            try:
                response = await self.send_directly(form(), before_sending)
                return self._read_answer(call, response, False)
            except exceptions.Unreachable:
                if not candidates:
                    raise
        for relay in candidates:
            relayed = await self._send_by(relay, call, form(), before_sending)
            if relayed is not None:
                return self._read_answer(call, relayed, True)
        raise exceptions.Unreachable("neither directly nor by a relay")

    async def send_directly(
        self, outgoing: Outgoing, before_sending: BeforeSending
    ) -> aiohttp.ClientResponse:
        """Send a request over a connection to its server; return the response's head.

        See :meth:`send`.
        """
        server = outgoing.server
        sent = self._reports.sent(outgoing.attempt, server)
        watch: asyncio.TimerHandle | None = None

        def connected() -> None:
            nonlocal sent, watch
            before_sending()
            sent = self._reports.sent(outgoing.attempt, server)
            watch = asyncio.get_running_loop().call_later(
                SILENCE_SECONDS, self._check_silence, server.address, clock.now()
            )

        url = f"http://{server.address}{outgoing.target}"
        try:
            response = await self._request(url, outgoing, connected)
        except exceptions.Unreachable:
            self._paths.failed(server.address)
            raise
        finally:
            if watch is not None:
                watch.cancel()
        self._note_answer(outgoing.attempt, sent, response)
        return response

    async def relay(
        self, outgoing: Outgoing, before_sending: BeforeSending
    ) -> aiohttp.ClientResponse:
        """Send a request of another instance; see :meth:`send_directly`."""
        if not self._paths.is_open(outgoing.server.address):
            raise exceptions.Unreachable("no path from the relay either")
        return await self.send_directly(outgoing, before_sending)

    def note_progress(self, address: str) -> None:
        """Record that an answer of a server has gone on."""
        self._paths.progressed(address)

    def has_progressed(self, address: str, since: float) -> bool:
        """Return whether any answer of a server has gone on."""
        return self._paths.has_progressed(address, since)

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def _send_by(
        self,
        relay: messages.Member,
        call: calls.Call,
        outgoing: Outgoing,
        before_sending: BeforeSending,
    ) -> aiohttp.ClientResponse | None:
        """Send a request by a relay; return None if it has not passed it on."""
        server = outgoing.server
        sent = self._reports.sent(outgoing.attempt, server)
        target = relays.Target(
            call.service, server.name, call.content, server.software, call.target
        )
        try:
            response = await self._request(
                self._relays.url(relay, target), outgoing, before_sending
            )
        except exceptions.Unreachable:
            self._relays.failed(relay, call.service)
            return None
        except exceptions.ConnectionBroken as error:
            # The relay has failed; that says nothing about the server.
            raise exceptions.StreamInterrupted(str(error)) from error
        outcome = response.headers.get(relays.OUTCOME, "")
        logs.event(
            "relayed",
            id=outgoing.attempt,
            server=server.name,
            by=relay.instance,
            outcome=outcome,
        )
        if outcome == relays.NOT_SENT:
            response.close()
            self._relays.failed(relay, call.service)
            return None
        if outcome == relays.BROKEN:
            response.close()
            raise exceptions.ConnectionBroken("by the server, behind the relay")
        if outcome != relays.SENT:
            response.close()
            raise exceptions.StreamInterrupted("the relay has lost the answer")
        self._relays.succeeded(relay, call.service)
        self._paths.relayed(server.address)
        self._note_answer(outgoing.attempt, sent, response)
        return response

    def _note_answer(
        self,
        attempt: str,
        sent: server_reports.Sent,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Record what an answer says of its server; raise if it is another request's.

        A late copy of an earlier answer may be another caller's, or say of another
        request that it was not executed.
        """
        if not headers.may_answer(attempt, response.status, response.headers):
            response.close()
            raise exceptions.StreamInterrupted("the answer is not of this request")
        if response.status == headers.MISDIRECTED_STATUS:
            return
        found = headers.read_signals(response.status, response.headers)
        self._reports.answered(sent, found, _is_failure(response))

    async def _request(
        self, url: str, outgoing: Outgoing, connected: BeforeSending
    ) -> aiohttp.ClientResponse:
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=connections.CONNECT_TIMEOUT_SECONDS,
        )
        is_connected = False

        def note_connected() -> None:
            nonlocal is_connected
            is_connected = True
            connected()

        try:
            return await self._http.request(
                outgoing.method,
                yarl.URL(url, encoded=True),
                headers=outgoing.pairs,
                data=outgoing.body or None,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=note_connected,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise exceptions.Unreachable(repr(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            if isinstance(error, ValueError) and not is_connected:
                raise exceptions.Unreachable(repr(error)) from error
            raise breaks.to_stream_interrupted(error) from error

    def _check_silence(self, address: str, since: float) -> None:
        if self._paths.is_silent(address, since):
            self._paths.doubt(address, "silent")

    def _read_answer(
        self, call: calls.Call, response: aiohttp.ClientResponse, is_relayed: bool
    ) -> Answer:
        """Return the answer; raise Declined if the server did not run the request."""
        found = headers.read_signals(response.status, response.headers)
        if headers.is_not_executed(response.status, response.headers):
            response.close()
            cause = f"status {response.status}"
            if not headers.answered_attempts(response.headers):
                cause = f"{cause} without an id"
            if response.status == headers.MISDIRECTED_STATUS:
                raise Misdirected(cause)
            if found.retry_after is not None:
                raise exceptions.Deferred(
                    f"{cause}, retry after {found.retry_after:g} s"
                )
            raise exceptions.Declined(cause)
        pairs = headers.towards_caller(response.headers.items())
        framed = response_ends.is_framed(response)
        if is_relayed:
            pairs = relays.without_outcome(pairs)
            framed = relays.UNFRAMED not in response.headers
        return Answer(response, response.status, pairs, found, is_relayed, framed)


def _is_failure(response: aiohttp.ClientResponse) -> bool:
    if headers.is_not_executed(response.status, response.headers):
        return True
    return response.status >= FIRST_SERVER_ERROR_STATUS


def has_backlog(answer: Answer, read_bytes: int) -> bool:
    """Return whether more of the body has been received than read."""
    return answer.response.content.total_bytes > read_bytes


async def read_part(answer: Answer, max_bytes: int = held_bytes.PART_BYTES) -> bytes:
    """Return the next bytes of the body, none at its end.

    May be cancelled and called again; raises StreamInterrupted when the body is cut
    off.
    """
    try:
        return await answer.response.content.read(max_bytes)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        interrupted = breaks.to_stream_interrupted(error)
        if answer.is_relayed:
            # The relay or the server has failed; the relay reports a server's crash.
            interrupted = exceptions.StreamInterrupted(str(interrupted))
        raise interrupted from error


async def read_in_turn(answer: Answer, max_bytes: int, hold: holding.Hold) -> bytes:
    """Return bytes of the body that have been received; see :func:`read_part`."""
    await hold.take_turn()
    began_at = clock.now()
    data = await read_part(answer, min(max_bytes, hold.part_bytes))
    hold.note_cost(clock.now() - began_at)
    return data

"""Relays requests of instances that do not reach a backend server themselves.

Invariants: a request is sent once at most, only to the server that its owner names, and
never through a further instance. The answer says whether anything was sent.
"""

import asyncio
import collections.abc
import math
import typing

from cassiaquay_schema import fleet

from .. import clock, exceptions, logs, pause, response_ends, sockets
from ..decisions import held_bytes
from ..fleet import configuration, crash_reports, server_reports
from ..owners import streams
from ..platform import headers
from . import (
    accepting,
    body_room,
    departing,
    end_checks,
    forwarding,
    holding,
    relay_connections,
    relays,
    replies,
)


class Parts(typing.NamedTuple):
    """Components that relay a request.

    Attributes
    ----------
    configured : Configuration
        Lists the servers that may get new work.
    forwarder : Forwarder
        Sends requests to servers.
    crashes : CrashReports
        Receives crashes of servers.
    servers : ServerReports
        Returns why a server may get no request, by what it has reported.
    pauses : Pauses
        Tells whether this process's state is current after a start or a pause.
    chosen_relays : Relays
        Checks that the sender is an instance of this fleet.
    room : Room
        Lets answers that keep coming read on in turn.
    bodies : BodyRoom
        Memory for the bodies of requests.
    end_checks : EndChecks
        Checks that a server lives that has closed its connection.
    departure : Departure
        Refuses requests while the instance stops.
    """

    configured: configuration.Configuration
    forwarder: forwarding.Forwarder
    crashes: crash_reports.CrashReports
    servers: server_reports.ServerReports
    pauses: pause.Pauses
    chosen_relays: relays.Relays
    room: holding.Room
    bodies: body_room.BodyRoom
    end_checks: end_checks.EndChecks
    departure: departing.Departure


class RelayServer:
    """The ASGI application that other instances send requests to.

    Parameters
    ----------
    parts : Parts
        Components that relay a request.
    incarnation : str
        Identifies this run of the process; senders name it.
    """

    def __init__(self, parts: Parts, incarnation: str):
        self.open_count = 0
        self.sent_count = 0
        self._parts = parts
        self._incarnation = incarnation

    @property
    def bodies(self) -> body_room.BodyRoom:
        """Memory for the bodies of requests, those of callers, too."""
        return self._parts.bodies

    async def __call__(
        self, scope: replies.Scope, receive: replies.Receive, send: replies.Send
    ) -> None:
        """Relay one request."""
        self.open_count += 1
        try:
            await self._relay(scope, receive, send)
        finally:
            self.open_count -= 1

    async def _relay(
        self, scope: replies.Scope, receive: replies.Receive, send: replies.Send
    ) -> None:
        arrived_at = self._parts.pauses.earliest_arrival()
        target = self._parts.chosen_relays.parse(
            scope["raw_path"].decode("latin-1"),
            scope["query_string"].decode("latin-1"),
            self._incarnation,
        )
        if target is None:
            await _reply(send, relays.NOT_SENT, "not from an instance of this fleet")
            return
        snapshot = self._parts.configured.current
        if snapshot is None or snapshot.routes is None:
            await _reply(send, relays.NOT_SENT, "no configuration")
            return
        hold = body_room.Hold(self._parts.bodies)
        try:
            parsed = headers.read(scope["headers"])
            async with self._parts.departure.waiting(_deadline(parsed, arrived_at)):
                await hold.reserve(parsed.body_bytes)
                # The owner has checked the size, perhaps by a newer configuration.
                body = await accepting.read_body(receive, hold)
            await self._send_on(scope, receive, target, body, arrived_at, send)
        except replies.CallerDisconnected:
            return
        except exceptions.Refusal as refusal:
            await _reply(send, relays.NOT_SENT, str(refusal))
        finally:
            hold.close()

    async def _send_on(
        self,
        scope: replies.Scope,
        receive: replies.Receive,
        target: relays.Target,
        body: bytes,
        arrived_at: float,
        send: replies.Send,
    ) -> None:
        """Send a request to its server until it ends, or its owner disconnects."""
        work = asyncio.create_task(
            self._exchange(scope, target, body, arrived_at, send)
        )
        disconnected = asyncio.create_task(streams.disconnected(receive))
        await asyncio.wait([work, disconnected], return_when=asyncio.FIRST_COMPLETED)
        # An owner that disconnects has given the request up or has crashed: its server
        # must stop, as if the owner's own connection to it had closed.
        for task in (work, disconnected):
            task.cancel()
        ended, _ = await asyncio.gather(work, disconnected, return_exceptions=True)
        if isinstance(ended, Exception):
            # Without a complete answer the owner takes the request as possibly run.
            logs.trouble("relay_crashed", server=target.server, cause=repr(ended))

    async def _exchange(
        self,
        scope: replies.Scope,
        target: relays.Target,
        body: bytes,
        arrived_at: float,
        send: replies.Send,
    ) -> None:
        parsed = headers.read(scope["headers"])
        try:
            server = self._find_server(target)
            elapsed_ms = int((clock.now() - arrived_at) * 1000)
            outgoing = forwarding.Outgoing(
                parsed.attempt,
                scope["method"],
                target.path,
                headers.towards_server_again(scope["headers"], elapsed_ms),
                body,
                server,
            )
            response = await self._parts.forwarder.relay(
                outgoing,
                lambda: self._check_before_sending(target, parsed, arrived_at),
            )
        except exceptions.NotSent as error:
            _log(parsed.attempt, target, relays.NOT_SENT, str(error))
            await _reply(send, relays.NOT_SENT, str(error))
            return
        except exceptions.StreamInterrupted as error:
            is_broken = isinstance(error, exceptions.ConnectionBroken)
            outcome = relays.BROKEN if is_broken else relays.LOST
            _log(parsed.attempt, target, outcome, str(error))
            self._report_crash(target, parsed.shared_parts, server, error)
            await _reply(send, outcome, str(error))
            return
        self.sent_count += 1
        _log(parsed.attempt, target, relays.SENT, "")
        pairs = relays.without_outcome(headers.towards_caller(response.headers.items()))
        pairs.append((relays.OUTCOME_NAME, relays.SENT.encode()))
        if not headers.answered_attempts(response.headers):
            # The owner cannot tell whether the connection to the server was new.
            pairs.append((headers.ATTEMPT, parsed.attempt.encode("latin-1")))
        framed = response_ends.is_framed(response)
        if not framed:
            pairs.append((relays.UNFRAMED_NAME, b"1"))
        answer = forwarding.Answer(response, response.status, pairs, is_framed=framed)
        try:
            connection = scope["extensions"][relay_connections.EXTENSION]
            await _pass(answer, send, self._parts.room, connection)
            if not framed:
                await self._parts.end_checks.check(target.service, server)
            await send(replies.part(b"", False))
        except exceptions.StreamInterrupted as error:
            # Returning without the last message breaks the connection to the owner, so
            # that the part does not look complete.
            _log(parsed.attempt, target, relays.LOST, str(error))
            self._report_crash(target, parsed.shared_parts, server, error)
        finally:
            response.close()

    def _find_server(self, target: relays.Target) -> fleet.Server:
        snapshot = self._parts.configured.current
        if snapshot is None or target.service not in snapshot.fleet.pools:
            raise exceptions.NotSent("the service is not in force here")
        server = snapshot.open_server(target.service, target.server)
        if server is None:
            raise exceptions.NotSent("the server has left or is evacuated")
        if server.software != target.software:
            raise exceptions.NotSent("the server has another software version")
        return server

    def _check_before_sending(
        self,
        target: relays.Target,
        parsed: headers.ParsedHeaders,
        arrived_at: float,
    ) -> None:
        if self._parts.departure.refuses(_deadline(parsed, arrived_at)):
            raise exceptions.NotSent("the relay is shutting down")
        # This process may have been paused since it read the request.
        if not self._parts.pauses.is_current:
            raise exceptions.StaleAfterPause("the relay was paused")
        self._find_server(target)
        # Crashes may have been reported since the owner has checked it.
        if self._parts.crashes.holds(target.content, parsed.shared_parts):
            raise exceptions.NotSent("the request is quarantined")
        # The owner's permit accounts for the server's limit.
        cause = self._parts.servers.blocking_cause(target.server, True)
        if cause:
            raise exceptions.ServerUnavailable(cause)

    def _report_crash(
        self,
        target: relays.Target,
        parts: collections.abc.Sequence[str],
        server: fleet.Server,
        error: exceptions.StreamInterrupted,
    ) -> None:
        if isinstance(error, exceptions.ConnectionBroken):
            start = f"{server.name}/{server.started_ms}"
            self._parts.crashes.crashed(target.content, start, parts)


def _deadline(parsed: headers.ParsedHeaders, arrived_at: float) -> float:
    """Return when a request ends at its owner; never if the owner does not say so."""
    if not parsed.deadline_ms:
        return math.inf
    return arrived_at + parsed.deadline_ms / 1000.0


async def _pass(
    answer: forwarding.Answer,
    send: replies.Send,
    room: holding.Room,
    connection: relay_connections.RelayConnection,
) -> None:
    """Pass an answer on as it arrives, but for the mark of its end.

    Raises StreamInterrupted when it is cut off.
    """
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": answer.headers,
        }
    )
    hold = holding.Hold(room)
    read_bytes = 0
    while True:
        if forwarding.has_backlog(answer, read_bytes):
            data = await forwarding.read_in_turn(answer, held_bytes.PART_BYTES, hold)
        else:
            data = await forwarding.read_part(answer)
        if not data:
            break
        if read_bytes <= sockets.MAX_BUFFERED_BYTES < read_bytes + len(data):
            connection.allow_unread()
        read_bytes += len(data)
        await send(replies.part(data, True))


async def _reply(send: replies.Send, outcome: str, cause: str) -> None:
    """Send an answer of the relay's own."""
    body = cause.encode()
    pairs = [
        (relays.OUTCOME_NAME, outcome.encode()),
        (b"content-length", str(len(body)).encode()),
    ]
    status = relays.STATUS
    await send({"type": "http.response.start", "status": status, "headers": pairs})
    await send(replies.part(body, False))


def _log(attempt: str, target: relays.Target, outcome: str, cause: str) -> None:
    logs.event(
        "relay",
        id=attempt,
        content=target.content,
        server=target.server,
        outcome=outcome,
        cause=cause or None,
    )

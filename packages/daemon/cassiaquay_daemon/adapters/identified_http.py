"""Connections to servers whose answers name their request.

A faulty server may send a late copy of an earlier answer in place of the next one.
"""

import asyncio
import typing

import aiohttp

from .. import bounded_http, logs

# Id of the request; servers repeat it in their answers.
REQUEST_ID = "X-Request-Id"
FIRST_FAILURE_STATUS = 300


class IdentifiedHandler(bounded_http.BoundedHandler):
    """Response handler that fails a request whose answer is another one's.

    A failure without an id is taken only on a connection on which no copy of an earlier
    answer can look like it, and the connection is not used again.

    Parameters
    ----------
    loop : AbstractEventLoop
        The event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        # Id of the request under way; empty for one without an id.
        self._expected = ""
        # Whether an earlier answer had an id, and whether one without was a failure.
        self._has_named = False
        self._has_failed = False

    def expect(self, request_id: str) -> None:
        """Take the next answer for that of a request."""
        self._expected = request_id

    def feed_data(self, data: bounded_http.Received, size: int = 0) -> None:
        """Take the head of the awaited answer."""
        message, _ = data
        if self._exception is not None or not bounded_http.is_final(message.code):
            super().feed_data(data, size)
            return
        named = set(message.headers.getall(REQUEST_ID, [])) - {""}
        is_failure = message.code >= FIRST_FAILURE_STATUS
        if self._expected and self._is_foreign(named, is_failure):
            logs.event(
                "surplus_answer",
                address=self.peer_address,
                id=self._expected,
                status=message.code,
            )
            self._fail(bounded_http.InvalidResponse("an answer of another request"))
            return
        if is_failure and not named:
            self._has_failed = True
            if self._expected:
                self.force_close()
        self._has_named = self._has_named or bool(named)
        super().feed_data(data, size)

    def _is_foreign(self, named: set[str], is_failure: bool) -> bool:
        if named:
            return named != {self._expected}
        return is_failure and (self._has_named or self._has_failed)


class IdentifiedRequest(bounded_http.BoundedRequest):
    """Request that sets the id of the answer that its connection awaits."""

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Write the request to an open connection."""
        if isinstance(conn.protocol, IdentifiedHandler):
            conn.protocol.expect(self.headers.get(REQUEST_ID, ""))
        return await super().send(conn)


def create_session(
    connection_options: dict[str, typing.Any], **options: typing.Any
) -> aiohttp.ClientSession:
    """Return a session whose connections compare the ids of answers."""
    connector = bounded_http.create_connector(IdentifiedHandler, **connection_options)
    return bounded_http.create_session(
        connector, request_class=IdentifiedRequest, **options
    )

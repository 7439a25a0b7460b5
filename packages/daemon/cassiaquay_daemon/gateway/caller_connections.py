"""Connections of callers: ends that the HTTP library decides without the application.

A caller that has sent a whole request and closes its sending side may still read, or
may have left: both look alike until something is written. Its request ends as if the
caller had left, but it gets the status of that end, and the answer of a request that
runs on.
"""

import sys
import typing

from .. import http_connections, logs, sockets
from ..operators import unanswered
from ..platform import headers
from . import accounting, deliveries, replies

# Key of the connection in the extensions of the ASGI scope.
EXTENSION = "cassiaquay.connection"


class CallerConnection(http_connections.Connection):
    """The server's side of one connection of a caller.

    Parameters
    ----------
    accounts : Accounting
        Records whole requests that are dropped unread by the application.
    **options
        What the library gives to its own class.
    """

    def __init__(self, accounts: accounting.Accounting, **options: typing.Any):
        super().__init__(**options)
        self.is_half_closed = False
        self._accounts = accounts
        self._is_unframed = False
        self._was_aborted = False

    @property
    def _is_answered(self) -> bool:
        """Whether the kernel has all bytes of the answer."""
        running = self._running
        if running is None or self._was_aborted:
            return False
        return running.response_complete

    def on_message_begin(self) -> None:
        """Begin the next request."""
        super().on_message_begin()
        # The type of the library's scope has no extensions.
        typing.cast(replies.Scope, self.scope)["extensions"] = {EXTENSION: self}

    def eof_received(self) -> bool | None:  # type: ignore[override]
        """Keep the connection half open until the request in progress has ended."""
        self.is_half_closed = True
        last = self._last_due
        if last is None:
            return False
        last.keep_alive = False
        # Wakes the application, which waits for the end of the connection.
        assert self._running is not None
        self._running.message_event.set()
        return True

    def begin_unframed(self) -> None:
        """Send the next answer without a mark of its end, and close the connection."""
        running = self._running
        if running is None:
            return
        # The library compares what is sent with the length that it expects.
        running.chunked_encoding = False
        running.expected_content_length = sys.maxsize
        running.keep_alive = False
        self._is_unframed = True
        # Its caller would take any other end for the end of the answer, also one that
        # this process does not decide: it may be killed.
        sockets.reset_on_close(self.transport.get_extra_info("socket"))

    def end_unframed(self, size: int) -> None:
        """Let that answer end with its next ``size`` bytes."""
        if self._running is not None:
            self._running.expected_content_length = size

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the requests that wait behind the one in progress."""
        if self._is_unframed and exc is None and self._is_answered:
            sockets.close_in_order(self.transport.get_extra_info("socket"))
        has_left = exc is not None or self.is_half_closed
        cause = deliveries.CALLER_LEFT if has_left else deliveries.PIPELINED
        while self.pipeline:
            cycle, _ = self.pipeline.pop()
            if cycle.more_body:
                continue
            attempt = headers.attempt_of(cycle.scope["headers"])
            logs.event("unanswered", id=attempt, cause=cause, dispatched=False)
            self._accounts.record_unanswered(unanswered.Unanswered(cause, False))
        super().connection_lost(exc)

    def _abort(self, cause: str) -> None:
        self._was_aborted = True
        super()._abort(cause)

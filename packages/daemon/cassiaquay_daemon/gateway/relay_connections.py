"""Connections from other instances, for which this one relays requests."""

import typing

from .. import http_connections, sockets
from . import replies

# Key of the connection in the extensions of the ASGI scope.
EXTENSION = "cassiaquay.relay_connection"
# Time without a byte read by the owner of a long answer. It may wait for room, and the
# kernel takes an instance that reads nothing for one that is unreachable.
UNREAD_SECONDS = 30


class RelayConnection(http_connections.Connection):
    """The relay's side of one connection of another instance."""

    # What the instance adds to the head of its caller.
    EXTRA_HEAD_BYTES = 16 * 1024

    def on_message_begin(self) -> None:
        """Begin the next request."""
        super().on_message_begin()
        self._set_user_timeout(sockets.USER_TIMEOUT_MS)
        # The type of the library's scope has no extensions.
        typing.cast(replies.Scope, self.scope)["extensions"] = {EXTENSION: self}

    def allow_unread(self) -> None:
        """Keep the connection although the other instance does not read for a time."""
        self._set_user_timeout(UNREAD_SECONDS * 1000)

    def _set_user_timeout(self, timeout_ms: int) -> None:
        bound = self.transport.get_extra_info("socket")
        sockets.set_exact_user_timeout(bound, timeout_ms)

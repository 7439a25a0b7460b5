"""Keeps a request alive at its owner while another instance reads its stream.

If an owner is paused or partitioned off, its caller continues at another instance,
which reads the stream from the engine. When the owner recovers, it finds its caller
disconnected and stops the engine's stream after the grace period, which cuts the
answer off. A hold prevents this: a connection to the owner that waits for the end of
the request and counts as a reader there.
"""

import asyncio
import collections.abc

from cassiaquay_schema import messages

from ..owners import tokens
from . import relay

RETRY_SECONDS = 0.3
# Higher than any event number, so that the owner sends only the end of the answer.
AFTER_LAST_EVENT = 999_999_999


class Holds:
    """Connections to owners that wait for the end of a request.

    Parameters
    ----------
    owner_relay : Relay
        Sends requests to owners.
    last_known : callable
        Returns the last membership record of an instance, also of a silent one.
    """

    def __init__(
        self,
        owner_relay: relay.Relay,
        last_known: collections.abc.Callable[[str], messages.Member | None],
    ):
        self._relay = owner_relay
        self._last_known = last_known
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self, request_id: tokens.RequestId, headers: dict[str, str]
    ) -> collections.abc.Callable[[], None]:
        """Hold a request at its owner; return a function that ends the hold."""
        task = asyncio.create_task(self._hold(request_id, headers))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

        def stop() -> None:
            task.cancel()

        return stop

    async def _hold(
        self, request_id: tokens.RequestId, headers: dict[str, str]
    ) -> None:
        target = f"/v1/requests/{request_id.text}?from={AFTER_LAST_EVENT}"
        while True:
            owner = self._last_known(request_id.instance)
            if owner is not None and owner.incarnation != request_id.incarnation:
                # The instance has restarted and lost the request's state.
                return
            if owner is not None:
                try:
                    await self._relay.wait_for_end(owner, target, headers)
                    return
                except relay.OwnerUnreachable:
                    pass
            await asyncio.sleep(RETRY_SECONDS)

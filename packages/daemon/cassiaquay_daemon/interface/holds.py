"""Keep a request alive at its owner while another instance reads its stream.

The failure: an owner is paused or cut off, its caller goes on at another instance and
reads the stream from the engine. The owner comes back, sees that its caller has gone,
and after the grace time stops the engine's stream: the caller loses an answer that was
nearly whole. A connection to the owner that waits for the end counts as a reader there.
"""

import asyncio
import collections.abc

from cassiaquay_schema import messages

from ..owners import tokens
from . import relay

TRY_SECONDS = 0.3
# Past any event that an answer can have: only its end is waited for.
PAST_THE_END = 999_999_999


class Holds:
    """Connections to owners that wait for the end of a request.

    Parameters
    ----------
    passing : Relay
        The way to owners.
    last_known : callable
        Returns what was heard last of an instance, also when it is silent now.
    """

    def __init__(
        self,
        passing: relay.Relay,
        last_known: collections.abc.Callable[[str], messages.Member | None],
    ):
        self._relay = passing
        self._last_heard = last_known
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self, request_id: tokens.RequestId, headers: dict[str, str]
    ) -> collections.abc.Callable[[], None]:
        """Hold a request at its owner; return what ends that."""
        task = asyncio.create_task(self._hold(request_id, headers))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

        def stop() -> None:
            task.cancel()

        return stop

    async def _hold(
        self, request_id: tokens.RequestId, headers: dict[str, str]
    ) -> None:
        target = f"/v1/requests/{request_id.text}?from={PAST_THE_END}"
        while True:
            owner = self._last_heard(request_id.instance)
            if owner is not None and owner.incarnation != request_id.incarnation:
                # A new life of the instance knows nothing of the request.
                return
            if owner is not None:
                try:
                    await self._relay.wait_for_end(owner, target, headers)
                    return
                except relay.OwnerUnreachable:
                    pass
            await asyncio.sleep(TRY_SECONDS)

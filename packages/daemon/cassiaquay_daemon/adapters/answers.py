"""Buffers the events of an answer while it is received, for any number of readers."""

import asyncio
import math
import typing

import msgspec
import xxhash

from .. import clock, exceptions

# Memory overhead of an event object. If it were not counted, answers of many short
# events would use more than twice their memory limit (docs/experiments/outcomes.md).
EVENT_OVERHEAD_BYTES = 48
# Larger than any answer that callers use; a server in trouble may send without end.
MAX_ANSWER_BYTES = 32 * 1024 * 1024
# Answers up to this size are received whatever the others hold.
SMALL_ANSWER_BYTES = 64 * 1024
# A slow reader holds as much as this beside the answer.
CHUNK_BYTES = 64 * 1024


class Final(typing.TypedDict):
    """The last event of an answer."""

    outcome: str
    code: str
    message: str
    count: int
    digest: str
    retry_after_ms: int
    address: str


class Ledger:
    """Counts the bytes that many answers and requests hold together.

    Large answers are received until a quarter of the bound is used. Beyond it they
    wait, except for one at a time, so that each is completed in its turn.

    Parameters
    ----------
    max_bytes : float
        Bound on the bytes of all answers and requests.
    """

    def __init__(self, max_bytes: float = math.inf) -> None:
        self.used = 0
        self._shared_bytes = max_bytes / 4
        self._turn_bytes = max(max_bytes / 2, MAX_ANSWER_BYTES)
        self._waiting_bytes = 0
        self._in_turn: Answer | None = None
        self._waiters: list[asyncio.Future[None]] = []

    def add(self, size: int) -> None:
        """Add ``size`` bytes to the count; a negative size subtracts."""
        self.used += size
        if size < 0:
            self._waiters = _wake(self._waiters)

    async def wait_for_room(self, answer: "Answer", size: int) -> None:
        """Wait until more of a large answer, of ``size`` by now, may be received."""
        self._waiting_bytes += size
        try:
            while not self._has_room(answer):
                await _wait_in(self._waiters)
        finally:
            self._waiting_bytes -= size

    def stop_receiving(self, answer: "Answer") -> None:
        """End the turn of an answer."""
        if self._in_turn is answer:
            self._in_turn = None
            self._waiters = _wake(self._waiters)

    def _has_room(self, answer: "Answer") -> bool:
        if self.used <= self._shared_bytes:
            return True
        # Those that wait must not keep all of them from a turn.
        others = self.used - self._waiting_bytes
        if self._in_turn is None and others <= self._turn_bytes:
            self._in_turn = answer
        return self._in_turn is answer


class Answer:
    """The events of one answer and, once known, its final event.

    Only bytes that the backend server sent for this id are appended. Readers may start
    at any event, and all of them get identical bytes.

    Parameters
    ----------
    ledger : Ledger, optional
        Counts the buffered bytes.
    """

    def __init__(self, ledger: Ledger | None = None) -> None:
        self._ledger = ledger or Ledger()
        self.final: Final | None = None
        self.size = 0
        self.first_at = 0.0
        self.forgotten = False
        self.opened = False
        self._count = 0
        self._incomplete_bytes = 0
        self._events: list[bytes] = []
        self._digest = xxhash.xxh3_128()
        self._waiters: list[asyncio.Future[None]] = []

    @property
    def count(self) -> int:
        """Number of events so far."""
        return self._count

    @property
    def digest(self) -> str:
        """Digest of the data of the events so far."""
        return self._digest.hexdigest()

    def open(self) -> None:
        """Mark that a backend server has begun to send the answer."""
        self.opened = True
        self._wake_waiters()

    async def receive(self, incomplete_bytes: int) -> None:
        """Count the received bytes of an incomplete event; wait for room for more.

        Raises
        ------
        StreamInterrupted
            When the answer is larger than any may be.
        """
        self._count_incomplete(incomplete_bytes)
        size = self.size + incomplete_bytes
        if size > MAX_ANSWER_BYTES:
            raise exceptions.StreamInterrupted(f"over {MAX_ANSWER_BYTES} bytes")
        if size > SMALL_ANSWER_BYTES:
            await self._ledger.wait_for_room(self, size)

    def stop_receiving(self) -> None:
        """Count no incomplete event any more."""
        self._count_incomplete(0)
        self._ledger.stop_receiving(self)

    def append(self, data: bytes) -> None:
        """Append one event with ``data`` as its payload."""
        if not self._count:
            self.first_at = clock.now()
        event = b"id: %d\ndata: %b\n\n" % (self._count, data)
        self._events.append(event)
        self._count += 1
        self._digest.update(data)
        self.size += len(event) + EVENT_OVERHEAD_BYTES
        self._ledger.add(len(event) + EVENT_OVERHEAD_BYTES)
        self._wake_waiters()

    def finish(
        self,
        outcome: str,
        code: str,
        message: str = "",
        retry_after_ms: int = 0,
        address: str = "",
    ) -> None:
        """End the answer; do nothing if it has ended."""
        if self.final is not None:
            return
        self.set_final(outcome, code, message, retry_after_ms, address)

    def set_final(
        self,
        outcome: str,
        code: str,
        message: str = "",
        retry_after_ms: int = 0,
        address: str = "",
    ) -> None:
        """Set the final event, also in place of an earlier ``outcome_unknown``."""
        self.final = Final(
            outcome=outcome,
            code=code,
            message=message,
            count=self.count,
            digest=self.digest,
            retry_after_ms=retry_after_ms,
            address=address,
        )
        self._wake_waiters()

    async def wait_open(self) -> None:
        """Wait until a backend server sends the answer, or it has ended."""
        while not self.opened and self.final is None:
            await self._wait_for_change()

    async def wait(self, after: int) -> None:
        """Wait until there is an event with number ``after``, or the final event."""
        while self._count <= after and self.final is None:
            await self._wait_for_change()

    def chunk(self, after: int) -> tuple[bytes, int]:
        """Return some events from number ``after`` on as bytes, and the next number."""
        size = 0
        end = after
        while end < len(self._events) and size < CHUNK_BYTES:
            size += len(self._events[end])
            end += 1
        return b"".join(self._events[after:end]), end

    def forget(self) -> None:
        """Free the events; keep the count, the digest and the final event."""
        self.forgotten = True
        self._ledger.add(-self.size)
        self.size = 0
        self._events.clear()

    def final_event(self) -> bytes:
        """Return the final event as bytes."""
        return b"event: final\ndata: %b\n\n" % msgspec.json.encode(self.final)

    def _count_incomplete(self, size: int) -> None:
        self._ledger.add(size - self._incomplete_bytes)
        self._incomplete_bytes = size

    async def _wait_for_change(self) -> None:
        await _wait_in(self._waiters)

    def _wake_waiters(self) -> None:
        self._waiters = _wake(self._waiters)


async def _wait_in(waiters: list[asyncio.Future[None]]) -> None:
    waiter = asyncio.get_running_loop().create_future()
    waiters.append(waiter)
    await waiter


def _wake(waiters: list[asyncio.Future[None]]) -> list[asyncio.Future[None]]:
    """Wake all waiters; return those that wait, none."""
    for waiter in waiters:
        if not waiter.done():
            waiter.set_result(None)
    return []

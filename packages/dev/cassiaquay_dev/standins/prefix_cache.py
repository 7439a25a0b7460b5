"""Prefix cache of the model engine stand-in, and its delayed, lossy event log."""

import collections
import random
import time
import typing

MAX_STORED_EVENTS = 10_000


class CacheEvent(typing.TypedDict):
    """One change of the cache; ``kind`` is ``stored`` or ``removed``."""

    sequence: int
    kind: str
    blocks: list[int]


class CacheEvents:
    """Log of cache events, published with a delay of ``lag`` seconds.

    Parameters
    ----------
    lag : float
        Seconds between an event and its publication.
    gap_share : float
        Share of the events, 0 to 1, that is lost; each leaves a gap in ``sequence``.
    seed : int
        Seed of the random choice of lost events.
    """

    def __init__(self, lag: float, gap_share: float, seed: int) -> None:
        self._lag_s = lag
        self._gap_share = gap_share
        self._random = random.Random(seed)
        self._sequence = 0
        self._published = 0
        self._pending: collections.deque[tuple[float, int, CacheEvent | None]]
        self._pending = collections.deque()
        self._events: collections.deque[CacheEvent]
        self._events = collections.deque(maxlen=MAX_STORED_EVENTS)

    def add(self, kind: str, blocks: list[int]) -> None:
        """Record an event, which is published after the lag or lost."""
        self._sequence += 1
        event: CacheEvent | None
        event = {"sequence": self._sequence, "kind": kind, "blocks": blocks}
        if self._random.random() < self._gap_share:
            event = None
        self._pending.append((time.monotonic() + self._lag_s, self._sequence, event))
        self._publish()

    def read(self, after: int) -> tuple[int, list[CacheEvent]]:
        """Return the last published sequence number and the events after ``after``."""
        self._publish()
        events = [event for event in self._events if event["sequence"] > after]
        return self._published, events

    def _publish(self) -> None:
        now = time.monotonic()
        while self._pending and self._pending[0][0] <= now:
            _, self._published, event = self._pending.popleft()
            if event is not None:
                self._events.append(event)


class PrefixCache:
    """Cached blocks with eviction of the least recently used.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks.
    events : CacheEvents
        Receives each change.
    """

    def __init__(self, capacity: int, events: CacheEvents) -> None:
        self._capacity = capacity
        self._events = events
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()

    def match(self, hashes: list[int]) -> int:
        """Return the number of leading blocks that are cached; mark them as used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            count += 1
        self.touch(hashes[:count])
        return count

    def touch(self, hashes: list[int]) -> None:
        """Mark blocks of one prompt as used.

        The first block becomes the most recently used, so that it is evicted last:
        the blocks after it can only be matched through it.
        """
        for block in reversed(hashes):
            if block in self._blocks:
                self._blocks.move_to_end(block)

    def store(self, hashes: list[int]) -> None:
        """Add blocks and evict the least recently used above the capacity."""
        added = [block for block in hashes if block not in self._blocks]
        for block in added:
            self._blocks[block] = None
        if added:
            self._events.add("stored", added)
        removed = []
        while len(self._blocks) > self._capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        if removed:
            self._events.add("removed", removed)

    def cached(self, hashes: list[int]) -> list[int]:
        """Return those of ``hashes`` that are cached."""
        return [block for block in hashes if block in self._blocks]

    def clear(self) -> None:
        """Remove every block."""
        removed = list(self._blocks)
        self._blocks.clear()
        if removed:
            self._events.add("removed", removed)

"""Index of the prompt prefixes that each engine probably holds in its cache.

Filled from the keeper's own grants; corrected from the cached-token counts of finished
requests and from the engine's cache events, which arrive late. A wrong entry costs one
prefill; it never changes an answer.
"""

import collections
import collections.abc
import typing

from . import prefixes

# More blocks than the known engines can cache, and 400 KB of memory per engine.
INITIAL_CAPACITY_BLOCKS = 4096
MIN_CAPACITY_BLOCKS = 64
SHRINK_FACTOR = 0.9
GROWTH_BLOCKS = 8


class CachedPrefix(typing.NamedTuple):
    """Length of a prompt's prefix that one engine caches, in tokens.

    Attributes
    ----------
    cached : int
        Cached now.
    pending : int
        Cached once the engine has finished its current prefills.
    """

    cached: int
    pending: int


class PrefixIndex:
    """The sampled blocks that one engine probably caches, least recently used first.

    The capacity is learned: a request that finds less in the cache than the index
    predicted shows that the engine evicts blocks sooner than the index does.
    """

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._pending: collections.Counter[int] = collections.Counter()
        self._capacity = INITIAL_CAPACITY_BLOCKS
        self._version = 0
        self._memoized: dict[str, tuple[int, CachedPrefix]] = {}

    def find(
        self, request_id: str, hashes: collections.abc.Sequence[int], block_count: int
    ) -> CachedPrefix:
        """Return how much of a waiting request's prompt the engine caches.

        The result is memoized until the index changes: each pass over the queue looks
        up the waiting requests again, and most indexes do not change between passes.
        """
        if not hashes:
            return CachedPrefix(0, 0)
        memoized = self._memoized.get(request_id)
        if memoized is not None and memoized[0] == self._version:
            return memoized[1]
        cached_prefix = CachedPrefix(
            self.cached_tokens(hashes, block_count),
            self.pending_tokens(hashes, block_count),
        )
        self._memoized[request_id] = (self._version, cached_prefix)
        return cached_prefix

    def drop_memoized(self, request_id: str) -> None:
        """Drop the memoized result of a request that has left the queue."""
        self._memoized.pop(request_id, None)

    def begin_prefill(self, hashes: collections.abc.Iterable[int]) -> None:
        """Record blocks that the engine will cache after a granted prompt's prefill.

        Engines look up their cache when they admit a request: a second request of the
        session that is admitted before the first one's prefill has ended would repeat
        the whole prefill.
        """
        self._version += 1
        self._pending.update(hashes)

    def finish_prefill(self, hashes: collections.abc.Iterable[int]) -> None:
        """Record that the prefill of such a prompt has ended."""
        self.cancel_prefill(hashes)
        self.add(hashes)

    def cancel_prefill(self, hashes: collections.abc.Iterable[int]) -> None:
        """Record that the prefill of such a prompt will not complete."""
        self._version += 1
        for block in hashes:
            self._pending[block] -= 1
            if self._pending[block] <= 0:
                del self._pending[block]

    def pending_tokens(
        self, hashes: collections.abc.Sequence[int], block_count: int
    ) -> int:
        """Return how many prompt tokens the engine is reading for other requests."""
        for index in range(len(hashes) - 1, -1, -1):
            if hashes[index] in self._pending:
                return prefixes.tokens_at(block_count, index)
        return 0

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_tokens(
        self, hashes: collections.abc.Sequence[int], block_count: int
    ) -> int:
        """Return how many prompt tokens the engine can skip in the prefill.

        Parameters
        ----------
        hashes : sequence of int
            Hashes of the blocks ``prefixes.sampled_numbers(block_count)``, as a demand
            carries them.
        block_count : int
            Full blocks of the prompt.
        """
        # Deepest first: an engine evicts the beginning of a prompt last, so a cached
        # block implies that all blocks before it are cached too.
        for index in range(len(hashes) - 1, -1, -1):
            if hashes[index] in self._blocks:
                return prefixes.tokens_at(block_count, index)
        return 0

    def add(self, hashes: collections.abc.Iterable[int]) -> None:
        """Record blocks that the engine caches."""
        self._version += 1
        for block in hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)

    def remove(self, hashes: collections.abc.Iterable[int]) -> None:
        """Remove blocks that the engine has evicted."""
        self._version += 1
        for block in hashes:
            self._blocks.pop(block, None)

    def clear(self) -> None:
        """Remove all blocks, as after a restart of the engine."""
        self._version += 1
        self._blocks.clear()

    def correct(
        self, hashes: collections.abc.Sequence[int], expected: int, found: int
    ) -> None:
        """Adjust the capacity from a finished request's number of cached tokens.

        Parameters
        ----------
        hashes : sequence of int
            The sampled blocks of its prompt, now cached.
        expected, found : int
            Cached tokens as predicted at the grant, and as the engine reported.
        """
        if found + prefixes.BLOCK_TOKENS < expected:
            shrunk = int(min(len(self._blocks), self._capacity) * SHRINK_FACTOR)
            self._capacity = max(shrunk, MIN_CAPACITY_BLOCKS)
        elif self._capacity < INITIAL_CAPACITY_BLOCKS:
            self._capacity += GROWTH_BLOCKS
        self.add(hashes)

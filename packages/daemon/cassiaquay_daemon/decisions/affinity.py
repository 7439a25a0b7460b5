"""Which engine is taken to hold which prompt prefixes in its cache.

Filled by the keeper's own grants, put right by what finished requests say that the
engine read from its cache, and by the engine's late cache events. A wrong entry costs
one prefill; it never changes an answer.
"""

import collections
import collections.abc
import typing

from . import prefixes

# More than the blocks of the engines' caches that we know, and 400 KB an engine.
START_CAPACITY = 4096
LEAST_CAPACITY = 64
SHRINK = 0.9
GROW = 8


class Found(typing.NamedTuple):
    """What one engine has of a prompt, in tokens.

    Attributes
    ----------
    cached : int
        Held by its cache.
    coming : int
        Held by it once the prompts that it reads now have been read.
    """

    cached: int
    coming: int


class PrefixIndex:
    """The sampled blocks that one engine is taken to hold, least recently used first.

    The capacity is learned: a request that finds less in the cache than the index
    says shows that the engine forgets sooner than the index does.
    """

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._coming: collections.Counter[int] = collections.Counter()
        self._capacity = START_CAPACITY
        self._version = 0
        self._memory: dict[str, tuple[int, Found]] = {}

    def find(
        self, request_id: str, hashes: collections.abc.Sequence[int], block_count: int
    ) -> Found:
        """Return what the engine has of the prompt of a waiting request.

        Kept until the index changes: waiting requests are looked at again and again,
        and between two passes the indexes of most engines stay as they are.
        """
        if not hashes:
            return Found(0, 0)
        known = self._memory.get(request_id)
        if known is not None and known[0] == self._version:
            return known[1]
        found = Found(
            self.cached_tokens(hashes, block_count),
            self.coming_tokens(hashes, block_count),
        )
        self._memory[request_id] = (self._version, found)
        return found

    def forget(self, request_id: str) -> None:
        """Drop what is kept for a request that waits no more."""
        self._memory.pop(request_id, None)

    def begin(self, hashes: collections.abc.Iterable[int]) -> None:
        """Note blocks that the engine will hold once it has read a granted prompt.

        Engines look into their cache when they admit a request: a second request of
        the session that is admitted before the first one's prompt has been read would
        read all of it again.
        """
        self._version += 1
        self._coming.update(hashes)

    def arrive(self, hashes: collections.abc.Iterable[int]) -> None:
        """Note that such a prompt has been read."""
        self.cancel(hashes)
        self.add(hashes)

    def cancel(self, hashes: collections.abc.Iterable[int]) -> None:
        """Note that such a prompt will not be read."""
        self._version += 1
        for block in hashes:
            self._coming[block] -= 1
            if self._coming[block] <= 0:
                del self._coming[block]

    def coming_tokens(
        self, hashes: collections.abc.Sequence[int], block_count: int
    ) -> int:
        """Return how many prompt tokens are being read there for another request."""
        for index in range(len(hashes) - 1, -1, -1):
            if hashes[index] in self._coming:
                return prefixes.tokens_at(block_count, index)
        return 0

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_tokens(
        self, hashes: collections.abc.Sequence[int], block_count: int
    ) -> int:
        """Return how many prompt tokens the engine need not read.

        Parameters
        ----------
        hashes : sequence of int
            As a demand carries them, at ``prefixes.positions(block_count)``.
        block_count : int
            Full blocks of the prompt.
        """
        # Deepest first: its cache keeps the beginning of a prompt longest, so a
        # block that is there says that those before it are there too.
        for index in range(len(hashes) - 1, -1, -1):
            if hashes[index] in self._blocks:
                return prefixes.tokens_at(block_count, index)
        return 0

    def add(self, hashes: collections.abc.Iterable[int]) -> None:
        """Note blocks that the engine holds."""
        self._version += 1
        for block in hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)

    def remove(self, hashes: collections.abc.Iterable[int]) -> None:
        """Note blocks that the engine has dropped."""
        self._version += 1
        for block in hashes:
            self._blocks.pop(block, None)

    def clear(self) -> None:
        """Forget everything, as after a restart of the engine."""
        self._version += 1
        self._blocks.clear()

    def correct(
        self, hashes: collections.abc.Sequence[int], expected: int, found: int
    ) -> None:
        """Learn from a finished request: it read ``found`` tokens from the cache.

        Parameters
        ----------
        hashes : sequence of int
            The sampled blocks of its prompt, now cached.
        expected, found : int
            Cached tokens as the index had said at the grant, and as it was.
        """
        if found + prefixes.BLOCK_TOKENS < expected:
            shrunk = int(min(len(self._blocks), self._capacity) * SHRINK)
            self._capacity = max(shrunk, LEAST_CAPACITY)
        elif self._capacity < START_CAPACITY:
            self._capacity += GROW
        self.add(hashes)

"""Which engine is taken to hold which prompt prefixes in its cache.

Filled by the keeper's own grants, put right by what finished requests say that the
engine read from its cache, and by the engine's late cache events. A wrong entry costs
one prefill; it never changes an answer.
"""

import collections
import collections.abc

from . import prefixes

# More than the blocks of the engines' caches that we know, and 400 KB an engine.
START_CAPACITY = 4096
LEAST_CAPACITY = 64
SHRINK = 0.9
GROW = 8


class PrefixIndex:
    """The sampled blocks that one engine is taken to hold, least recently used first.

    The capacity is learned: a request that finds less in the cache than the index
    says shows that the engine forgets sooner than the index does.
    """

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._capacity = START_CAPACITY

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_tokens(self, hashes: collections.abc.Sequence[int]) -> int:
        """Return how many prompt tokens the engine need not read."""
        # Deepest first: its cache keeps the beginning of a prompt longest, so a
        # block that is there says that those before it are there too.
        for count in range(len(hashes), 0, -1):
            if hashes[count - 1] in self._blocks:
                return prefixes.tokens_at(count)
        return 0

    def add(self, hashes: collections.abc.Iterable[int]) -> None:
        """Note blocks that the engine holds, or will hold once it has read them."""
        for block in hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)

    def remove(self, hashes: collections.abc.Iterable[int]) -> None:
        """Note blocks that the engine has dropped."""
        for block in hashes:
            self._blocks.pop(block, None)

    def clear(self) -> None:
        """Forget everything, as after a restart of the engine."""
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

"""Chained hashes of a prompt's blocks, as the engines' caches count them.

A demand carries a sample of them: every block number of :data:`SAMPLED`, each about a
fifth past the one before, and the last :data:`TAIL` full blocks. The first bound the
error for any two prompts that share a prefix to a fifth; the last make it exact for a
session, whose prompts differ in their last few blocks. Owner and keeper both use
`sampled_numbers`, so that the place of a hash in a demand says which block it is of.
"""

import collections.abc
import functools

import xxhash

BLOCK_CHARACTERS = 256
TOKEN_CHARACTERS = 4
BLOCK_TOKENS = BLOCK_CHARACTERS // TOKEN_CHARACTERS
GROWTH = 1.2
TAIL = 6
MAX_BLOCKS = 8192


def _sampled() -> tuple[int, ...]:
    numbers = [1]
    while numbers[-1] < MAX_BLOCKS:
        numbers.append(max(numbers[-1] + 1, int(numbers[-1] * GROWTH)))
    return tuple(numbers)


# Numbers of the blocks, counted from 1, whose hashes a demand carries.
SAMPLED = _sampled()


def tokens(prompt: str) -> int:
    """Return the estimated number of tokens of a prompt."""
    return -(-len(prompt) // TOKEN_CHARACTERS)


@functools.lru_cache(maxsize=MAX_BLOCKS + 1)
def sampled_numbers(count: int) -> tuple[int, ...]:
    """Return the numbers of the blocks that stand for a prompt of ``count`` blocks."""
    found = {number for number in SAMPLED if number <= count}
    found.update(range(max(count - TAIL, 0) + 1, count + 1))
    return tuple(sorted(found))


def block_count(prompt: str) -> int:
    """Return how many full blocks of a prompt are looked at."""
    return min(len(prompt) // BLOCK_CHARACTERS, MAX_BLOCKS)


def blocks(prompt: str) -> list[int]:
    """Return the hashes of the blocks at `sampled_numbers`."""
    found: list[int] = []
    count = block_count(prompt)
    wanted = sampled_numbers(count)
    previous = 0
    for number in range(1, count + 1):
        block = prompt[(number - 1) * BLOCK_CHARACTERS : number * BLOCK_CHARACTERS]
        data = previous.to_bytes(8, "big") + block.encode()
        previous = xxhash.xxh3_64_intdigest(data)
        if number == wanted[len(found)]:
            found.append(previous)
    return found


def tokens_at(count: int, index: int) -> int:
    """Return the prompt tokens up to the hash at ``index`` of ``count`` blocks'."""
    return sampled_numbers(count)[index] * BLOCK_TOKENS


def consistent(hashes: collections.abc.Sequence[int], count: int) -> bool:
    """Tell whether a demand carries as many hashes as its block count says."""
    return 0 <= count <= MAX_BLOCKS and len(hashes) == len(sampled_numbers(count))

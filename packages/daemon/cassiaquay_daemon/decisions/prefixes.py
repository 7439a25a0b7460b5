"""Chained hashes of a prompt's blocks, computed as in the engines' prefix caches.

A demand carries a sample of them: the block numbers of :data:`SAMPLED_BLOCKS`, each
about a fifth larger than the previous one, and the last :data:`TAIL_BLOCKS` full
blocks. The first bound the error in the length of a shared prefix to a fifth; the last
make it exact within a session, whose prompts differ in their last few blocks. Owner and
keeper both use `sampled_numbers`, so that the index of a hash in a demand identifies
its block.
"""

import collections.abc
import functools

import xxhash

BLOCK_CHARACTERS = 256
TOKEN_CHARACTERS = 4
BLOCK_TOKENS = BLOCK_CHARACTERS // TOKEN_CHARACTERS
SAMPLE_GROWTH = 1.2
TAIL_BLOCKS = 6
MAX_BLOCKS = 8192


def _sample_block_numbers() -> tuple[int, ...]:
    numbers = [1]
    while numbers[-1] < MAX_BLOCKS:
        numbers.append(max(numbers[-1] + 1, int(numbers[-1] * SAMPLE_GROWTH)))
    return tuple(numbers)


# Numbers of the blocks, counted from 1, whose hashes a demand carries.
SAMPLED_BLOCKS = _sample_block_numbers()


def tokens(prompt: str) -> int:
    """Return the estimated number of tokens of a prompt."""
    return -(-len(prompt) // TOKEN_CHARACTERS)


@functools.lru_cache(maxsize=MAX_BLOCKS + 1)
def sampled_numbers(count: int) -> tuple[int, ...]:
    """Return the numbers of the sampled blocks of a prompt of ``count`` blocks."""
    numbers = {number for number in SAMPLED_BLOCKS if number <= count}
    numbers.update(range(max(count - TAIL_BLOCKS, 0) + 1, count + 1))
    return tuple(sorted(numbers))


def block_count(prompt: str) -> int:
    """Return the number of full blocks of a prompt, at most `MAX_BLOCKS`."""
    return min(len(prompt) // BLOCK_CHARACTERS, MAX_BLOCKS)


def blocks(prompt: str) -> list[int]:
    """Return the hashes of a prompt's sampled blocks."""
    hashes: list[int] = []
    count = block_count(prompt)
    sampled = sampled_numbers(count)
    previous = 0
    for number in range(1, count + 1):
        block = prompt[(number - 1) * BLOCK_CHARACTERS : number * BLOCK_CHARACTERS]
        data = previous.to_bytes(8, "big") + block.encode()
        previous = xxhash.xxh3_64_intdigest(data)
        if number == sampled[len(hashes)]:
            hashes.append(previous)
    return hashes


def tokens_at(count: int, index: int) -> int:
    """Return the prompt tokens covered by the hash at ``index`` of a sample.

    Parameters
    ----------
    count : int
        Full blocks of the prompt.
    index : int
        Index into the sampled hashes.
    """
    return sampled_numbers(count)[index] * BLOCK_TOKENS


def is_consistent(hashes: collections.abc.Sequence[int], count: int) -> bool:
    """Return whether a demand's number of hashes matches its block count."""
    return 0 <= count <= MAX_BLOCKS and len(hashes) == len(sampled_numbers(count))

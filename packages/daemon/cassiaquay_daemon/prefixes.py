"""Chained hashes of a prompt's blocks, as the engines' caches count them.

A demand carries a sample of them: every block number of :data:`SAMPLED`, each about a
fifth past the one before, so that a history of a thousand blocks costs 300 bytes and
the length of a shared prefix is known to about a fifth. Owner and keeper both use this
table; the position of a hash in a demand says which block it is of.
"""

import collections.abc

import xxhash

BLOCK_CHARACTERS = 256
TOKEN_CHARACTERS = 4
BLOCK_TOKENS = BLOCK_CHARACTERS // TOKEN_CHARACTERS
GROWTH = 1.2
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


def blocks(prompt: str) -> list[int]:
    """Return the hashes of the sampled full blocks, in the order of `SAMPLED`."""
    found: list[int] = []
    previous = 0
    for number in range(1, min(len(prompt) // BLOCK_CHARACTERS, MAX_BLOCKS) + 1):
        block = prompt[(number - 1) * BLOCK_CHARACTERS : number * BLOCK_CHARACTERS]
        data = previous.to_bytes(8, "big") + block.encode()
        previous = xxhash.xxh3_64_intdigest(data)
        if number == SAMPLED[len(found)]:
            found.append(previous)
    return found


def tokens_at(count: int) -> int:
    """Return the prompt tokens up to the last of ``count`` sampled blocks."""
    return SAMPLED[count - 1] * BLOCK_TOKENS if count else 0


def sampled_within(hashes: collections.abc.Sequence[int], cached_tokens: int) -> int:
    """Return how many of the sampled blocks lie within the first cached tokens."""
    count = 0
    while count < len(hashes) and tokens_at(count + 1) <= cached_tokens:
        count += 1
    return count

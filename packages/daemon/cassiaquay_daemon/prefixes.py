"""Chained hashes of a prompt's blocks, as the engines' caches count them."""

import xxhash

BLOCK_CHARACTERS = 256
TOKEN_CHARACTERS = 4
MAX_BLOCKS = 32


def tokens(prompt: str) -> int:
    """Return the estimated number of tokens of a prompt."""
    return -(-len(prompt) // TOKEN_CHARACTERS)


def blocks(prompt: str, limit: int = MAX_BLOCKS) -> list[int]:
    """Return the hashes of the first full blocks, at most ``limit`` of them."""
    found: list[int] = []
    previous = 0
    data = prompt.encode()
    for start in range(0, len(data) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        if len(found) >= limit:
            break
        block = data[start : start + BLOCK_CHARACTERS]
        previous = xxhash.xxh3_64_intdigest(previous.to_bytes(8, "big") + block)
        found.append(previous)
    return found

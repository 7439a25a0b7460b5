"""Tokens and cache blocks of prompts, as in docs/BACKENDS.md."""

import xxhash

CHARACTERS_PER_TOKEN = 4
TOKENS_PER_BLOCK = 64
CHARACTERS_PER_BLOCK = CHARACTERS_PER_TOKEN * TOKENS_PER_BLOCK
HASH_BYTES = 8


def count_tokens(prompt: str) -> int:
    """Return the number of tokens of ``prompt``, rounded up."""
    return -(-len(prompt) // CHARACTERS_PER_TOKEN)


def block_hashes(prompt: str) -> list[int]:
    """Return the hashes of the full blocks of ``prompt``.

    Each hash covers the block and the hash of the block before it.
    """
    hashes = []
    previous = 0
    full_blocks = len(prompt) // CHARACTERS_PER_BLOCK
    for number in range(full_blocks):
        start = number * CHARACTERS_PER_BLOCK
        block = prompt[start : start + CHARACTERS_PER_BLOCK].encode()
        previous = xxhash.xxh3_64_intdigest(
            previous.to_bytes(HASH_BYTES, "big") + block
        )
        hashes.append(previous)
    return hashes

"""Texts that the model engine stand-in generates, computable by a checker."""

import xxhash


def expected_text(request_id: str, index: int) -> str:
    """Return the text of token ``index`` (from 0) of the stream ``request_id``."""
    return xxhash.xxh3_64_hexdigest(f"{request_id}/{index}".encode())[:4] + " "


def expected_answer(request_id: str, count: int) -> str:
    """Return the whole text of a stream of ``count`` tokens."""
    return "".join(expected_text(request_id, index) for index in range(count))

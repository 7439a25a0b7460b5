"""Forms of answers with neither a length nor chunks."""

WHOLE = "whole"
# Ends that come too early: a close in order between two parts, a reset there, a close
# within a part, and one right behind the head.
BETWEEN = "between"
RESET = "reset"
WITHIN = "within"
HEAD = "head"
CUTS = (BETWEEN, RESET, WITHIN, HEAD)
# Those that look like the end of a short answer.
IN_ORDER = (BETWEEN, HEAD)
PART_COUNT = 4


def split(body: bytes) -> list[bytes]:
    """Return the parts in which a plain body is sent."""
    size = len(body) // PART_COUNT + 1
    return [body[start : start + size] for start in range(0, len(body), size)]

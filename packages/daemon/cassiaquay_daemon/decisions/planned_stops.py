"""Decides which requests an instance may still begin while it is stopped as planned.

Load pattern: for a while callers send requests to an instance that is stopping, on kept
connections or by addresses that they have cached. What runs when its time is over is
cut off, and a request that may not be repeated is lost then.
"""

# Time for the last bytes of an answer that ends at its deadline.
ANSWER_SECONDS = 0.1
# Retry-After of a caller that other instances serve: it should ask one at once.
ELSEWHERE_RETRY_MS = 10
# Longest Retry-After of a caller that no other instance serves.
ALONE_RETRY_MS = 1000


def fits(deadline: float, ends_at: float) -> bool:
    """Return whether a request has ended before the instance does.

    Its deadline alone counts, whether or not it may be repeated: no estimate of its
    duration keeps the promise that a planned stop cuts nothing off.
    """
    return deadline + ANSWER_SECONDS <= ends_at


def retry_after_ms(has_others: bool, seconds_left: float) -> int:
    """Return when a refused caller should ask again.

    Without other instances, none serves it before this one has been replaced.
    """
    if has_others:
        return ELSEWHERE_RETRY_MS
    return min(max(int(seconds_left * 1000.0), ELSEWHERE_RETRY_MS), ALONE_RETRY_MS)

"""Measure the cost of counting an ended request, and the memory of a burn counter.

Run as ``python -m cassiaquay_dev.sizing.reports_cost``; prints microseconds and bytes.
The baseline is an equal number of updates through the metrics library alone.
"""

import time
import tracemalloc

from aioprometheus import collectors

from cassiaquay_daemon.operators import burn, metrics, top_counts

REQUEST_COUNT = 50_000
TEAM_COUNT = 500


def _ended(number: int) -> burn.Ended:
    team = f"team-{number * number % TEAM_COUNT}"
    server = f"engine-{number % 16}"
    return burn.Ended("s", "urgent", team, server, "completed", "completed", 1.0, 2.0)


def counting_microseconds() -> float:
    """Return microseconds per request for all counters, histograms and windows."""
    collected = metrics.Metrics()
    windows = burn.Burn(1.0, 10, 1000, 0.0)
    teams = top_counts.TopCounts(10)
    requests = [_ended(number) for number in range(REQUEST_COUNT)]
    start = time.perf_counter()
    for number, ended in enumerate(requests):
        key = (ended.service, ended.tier)
        collected.count(metrics.REQUESTS, (*key, ended.outcome, ended.code))
        teams.add(ended.team)
        team = teams.label(ended.team)
        collected.count(metrics.TEAM_REQUESTS, (team, ended.outcome))
        collected.observe(metrics.FIRST_EVENT, key, 0.2)
        collected.observe(metrics.REQUEST_DURATION, key, ended.seconds)
        collected.count(metrics.PROMPT_TOKENS, (ended.service,), 10)
        collected.count(metrics.CACHED_TOKENS, (ended.service,), 10)
        collected.count(metrics.OUTPUT_TOKENS, (ended.service,), 10)
        windows.add(number / 10.0, ended)
    return (time.perf_counter() - start) / REQUEST_COUNT * 1e6


def library_microseconds() -> float:
    """Return microseconds per request for as many updates by the library alone."""
    registry = collectors.Registry()
    counter = collectors.Counter("c_total", "c", registry=registry)
    histogram = collectors.Histogram("h_seconds", "h", registry=registry)
    labels = {"service": "s", "tier": "urgent", "outcome": "o", "code": "c"}
    start = time.perf_counter()
    for _ in range(REQUEST_COUNT):
        for _ in range(5):
            counter.inc(labels)
        histogram.observe(labels, 0.2)
        histogram.observe(labels, 1.0)
    return (time.perf_counter() - start) / REQUEST_COUNT * 1e6


def cell_bytes() -> float:
    """Return the bytes of one burn counter in one bucket."""
    ring = burn.Ring(1.0, 60, 1000)
    tracemalloc.start()
    for bucket in range(60):
        for number in range(1000):
            cell = burn.Cell("s", "urgent", "server", f"engine-{number}")
            ring.add(float(bucket), [cell], True)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 60_000


def main() -> None:
    """Print the three results."""
    print(f"counting one request: {counting_microseconds():.1f} us")
    print(
        f"by the library alone, without burn windows: {library_microseconds():.1f} us"
    )
    print(f"one burn counter: {cell_bytes():.0f} bytes")


if __name__ == "__main__":
    main()

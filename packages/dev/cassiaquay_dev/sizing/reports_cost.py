"""What counting one ended request costs an instance, and a burn counter's memory.

Run as ``python -m cassiaquay_dev.sizing.reports_cost``; prints microseconds and bytes.
The same counts by the metrics library alone are the yardstick.
"""

import time
import tracemalloc

from aioprometheus import collectors

from cassiaquay_daemon.operators import burn, metrics, top_counts

REQUESTS = 50_000
TEAMS = 500


def _ended(number: int) -> burn.Ended:
    team = f"team-{number * number % TEAMS}"
    server = f"engine-{number % 16}"
    return burn.Ended("s", "urgent", team, server, "completed", "completed", 1.0, 2.0)


def ours() -> float:
    """Return microseconds a request: counters, histograms, teams, burn windows."""
    counted = metrics.Metrics()
    windows = burn.Burn(1.0, 10, 1000, 0.0)
    teams = top_counts.TopCounts(10)
    requests = [_ended(number) for number in range(REQUESTS)]
    start = time.perf_counter()
    for number, ended in enumerate(requests):
        key = (ended.service, ended.tier)
        counted.count(metrics.REQUESTS, (*key, ended.outcome, ended.code))
        teams.add(ended.team)
        team = teams.label(ended.team)
        counted.count(metrics.TEAM_REQUESTS, (team, ended.outcome))
        counted.observe(metrics.FIRST_EVENT, key, 0.2)
        counted.observe(metrics.REQUEST_DURATION, key, ended.seconds)
        counted.count(metrics.PROMPT_TOKENS, (ended.service,), 10)
        counted.count(metrics.CACHED_TOKENS, (ended.service,), 10)
        counted.count(metrics.OUTPUT_TOKENS, (ended.service,), 10)
        windows.add(number / 10.0, ended)
    return (time.perf_counter() - start) / REQUESTS * 1e6


def library() -> float:
    """Return microseconds a request for the same counters by the library alone."""
    registry = collectors.Registry()
    counter = collectors.Counter("c_total", "c", registry=registry)
    histogram = collectors.Histogram("h_seconds", "h", registry=registry)
    labels = {"service": "s", "tier": "urgent", "outcome": "o", "code": "c"}
    start = time.perf_counter()
    for _ in range(REQUESTS):
        for _ in range(5):
            counter.inc(labels)
        histogram.observe(labels, 0.2)
        histogram.observe(labels, 1.0)
    return (time.perf_counter() - start) / REQUESTS * 1e6


def cell_bytes() -> float:
    """Return the bytes of one counter in one bucket."""
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
    """Print the three figures."""
    print(f"counting one request: {ours():.1f} us")
    print(f"by the library alone, without burn windows: {library():.1f} us")
    print(f"one burn counter: {cell_bytes():.0f} bytes")


if __name__ == "__main__":
    main()

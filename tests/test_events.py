"""Splitting a byte stream into complete events at any chunk boundaries."""

import itertools

import hypothesis
from hypothesis import strategies

from cassiaquay_daemon.gateway import events

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(5))


@hypothesis.given(strategies.lists(strategies.integers(0, len(STREAM)), max_size=8))
def test_splitter_returns_only_complete_events(cuts: list[int]) -> None:
    """A server may fail at any byte of an event.

    A forwarded half event would merge with the first event of the resumed stream.
    """
    splitter = events.Splitter()
    edges = [0, *sorted(cuts), len(STREAM)]
    out = b""
    numbers = []
    for start, end in itertools.pairwise(edges):
        found = splitter.feed(STREAM[start:end])
        out += found.data
        assert out.endswith(b"\n\n") or not out
        numbers += [found.first, found.last] if found.event_count else []
    assert out == STREAM
    assert splitter.is_empty
    assert numbers == sorted(numbers)
    assert numbers[-1] == 4


def test_incomplete_event_is_buffered() -> None:
    splitter = events.Splitter()
    assert splitter.feed(b"id: 3\nda").event_count == 0
    assert not splitter.is_empty
    found = splitter.feed(b"ta: x\n\nid: 4\n")
    assert (found.event_count, found.first, found.last) == (1, 3, 3)
    assert not splitter.is_empty


def test_events_without_ids_are_counted() -> None:
    found = events.Splitter().feed(b"data: y\n\ndata: x\n\n")
    assert (found.event_count, found.first, found.last) == (2, -1, -1)


def test_comments_are_no_events_and_are_passed_on_with_the_next_one() -> None:
    splitter = events.Splitter()
    for part in (b": note\n\n", b"\n\n", b"retry: 1\n\n: no"):
        assert splitter.feed(part) == events.NOTHING
    found = splitter.feed(b"te\n\ndata: x\n\n: more\n\nid: 1")
    assert found.data == b": note\n\n\n\nretry: 1\n\n: note\n\ndata: x\n\n: more\n\n"
    assert (found.event_count, found.first, found.last) == (1, -1, -1)
    assert splitter.size == len(b"id: 1")


def test_comments_count_to_the_size_limit() -> None:
    splitter = events.Splitter()
    for _ in range(events.MAX_EVENT_BYTES // 8 + 1):
        assert not splitter.is_too_long
        splitter.feed(b": wait\n\n")
    assert splitter.is_too_long


def test_oversized_event_is_detected() -> None:
    splitter = events.Splitter()
    splitter.feed(b"x" * (events.MAX_EVENT_BYTES + 1))
    assert splitter.is_too_long

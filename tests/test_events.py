"""Streams cut into whole events, however their bytes arrive."""

import itertools

import hypothesis
from hypothesis import strategies

from cassiaquay_daemon.gateway import events

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(5))


@hypothesis.given(strategies.lists(strategies.integers(0, len(STREAM)), max_size=8))
def test_only_whole_events_come_out(cuts: list[int]) -> None:
    """A server stops in the middle of an event, at any byte.

    Sent on at once, the half event and the other server's whole one would join.
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


def test_a_part_of_an_event_waits_for_its_end() -> None:
    splitter = events.Splitter()
    assert splitter.feed(b"id: 3\nda").event_count == 0
    assert not splitter.is_empty
    found = splitter.feed(b"ta: x\n\nid: 4\n")
    assert (found.event_count, found.first, found.last) == (1, 3, 3)
    assert not splitter.is_empty


def test_events_without_numbers_are_counted() -> None:
    found = events.Splitter().feed(b": note\n\ndata: x\n\n")
    assert (found.event_count, found.first, found.last) == (2, -1, -1)


def test_an_event_without_end_is_noticed() -> None:
    splitter = events.Splitter()
    splitter.feed(b"x" * (events.MAX_EVENT_BYTES + 1))
    assert splitter.is_too_long

"""Rendezvous hashing: instances with the same set of names rank them identically."""

import collections.abc
import math

import xxhash

# Scores are integers below this.
SCORES = 2.0**64


def score(key: str, name: str) -> int:
    """Return the hash score of ``name`` for ``key``."""
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode())


def rank(key: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Return the names, the one responsible for ``key`` first."""
    return sorted(names, key=lambda name: score(key, name), reverse=True)


def first(key: str, names: collections.abc.Iterable[str]) -> str:
    """Return the name responsible for ``key``."""
    return max(names, key=lambda name: score(key, name))


def weighted_score(key: str, name: str, weight: float) -> float:
    """Return the score of a name that is to be first in proportion to its weight."""
    # Weighted rendezvous hashing: log(u) / weight for a uniform u in (0, 1]. A new
    # weight moves only the keys that its name gains or loses.
    return math.log((score(key, name) + 1.0) / SCORES) / weight


def weighted(key: str, weights: dict[str, float]) -> str:
    """Return the name responsible for ``key``; shares are proportional to weights."""
    return max(
        sorted(weights), key=lambda name: weighted_score(key, name, weights[name])
    )

"""Rendezvous hashing: everyone who knows the same names ranks them alike."""

import collections.abc
import math

import xxhash

# Scores are whole numbers below this.
SCORES = 2.0**64


def score(key: str, name: str) -> int:
    """Return the weight of ``name`` for ``key``."""
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode())


def rank(key: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Return the names, the one responsible for ``key`` first."""
    return sorted(names, key=lambda name: score(key, name), reverse=True)


def first(key: str, names: collections.abc.Iterable[str]) -> str:
    """Return the name responsible for ``key``."""
    return max(names, key=lambda name: score(key, name))


def weighted(key: str, weights: dict[str, float]) -> str:
    """Return the name responsible for ``key``, each as often as its weight says."""

    def value(name: str) -> float:
        # The logarithm of a uniform number over the weight: the usual weighted form,
        # in which a change of one weight moves only what that name gains or loses.
        return math.log((score(key, name) + 1.0) / SCORES) / weights[name]

    return max(sorted(weights), key=value)

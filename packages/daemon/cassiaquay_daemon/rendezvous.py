"""Rendezvous hashing: everyone who knows the same names ranks them alike."""

import collections.abc

import xxhash


def score(key: str, name: str) -> int:
    """Return the weight of ``name`` for ``key``."""
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode())


def rank(key: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Return the names, the one responsible for ``key`` first."""
    return sorted(names, key=lambda name: score(key, name), reverse=True)


def first(key: str, names: collections.abc.Iterable[str]) -> str:
    """Return the name responsible for ``key``."""
    return max(names, key=lambda name: score(key, name))

"""Scheduling policies of a keeper: the order of demands and their servers."""

import typing

from cassiaquay_schema import messages, registry

from . import shards


class Policy(typing.Protocol):
    """Decides which demands of one shard are granted or shed."""

    def __init__(self, shard: shards.Shard): ...

    def serve(self) -> None:
        """Grant all demands that can be granted now; shed those that must be."""

    def learn(self, release: messages.Release) -> None:
        """Learn from a finished request, whose permit is still in the shard."""


class ServerEstimate(typing.NamedTuple):
    """A policy's estimate for a demand on one backend server.

    Attributes
    ----------
    server : str
        Name of the backend server.
    fits : bool
        Whether it can take the demand now.
    cached_tokens : int
        Prompt tokens that its cache probably holds.
    first_seconds, finish_seconds : float
        Time to the first event and to the end of the answer.
    limit_tokens : int
        Its current limit of tokens in flight.
    """

    server: str
    fits: bool
    cached_tokens: int
    first_seconds: float
    finish_seconds: float
    limit_tokens: int


@typing.runtime_checkable
class ExplainingPolicy(typing.Protocol):
    """A policy that can show operators its estimates for each server."""

    def explain(self, demand: messages.Demand) -> list[ServerEstimate]:
        """Return each open server's estimate for a demand."""


@typing.runtime_checkable
class OrderingPolicy(typing.Protocol):
    """A policy with a definite order of service of the waiting demands of a rank."""

    def order(self, rank: int) -> list[str]:
        """Return the waiting demands of a rank in the order of service."""


@typing.runtime_checkable
class CacheAwarePolicy(typing.Protocol):
    """A policy that takes the prefix caches of engines into account."""

    def cache_changed(self, server: str, stored: bool, blocks: list[int]) -> None:
        """Handle an engine's delayed report of stored or evicted blocks."""

    def cache_lost(self, server: str) -> None:
        """Handle an engine's report that its cache is empty."""


policies: registry.Registry[type[Policy]] = registry.Registry("policy")

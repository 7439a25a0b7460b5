"""Policies of a keeper: in which order demands are served, and where."""

import typing

from cassiaquay_schema import messages, registry

from . import shards


class Policy(typing.Protocol):
    """Decides for one shard."""

    def __init__(self, shard: shards.Shard): ...

    def serve(self) -> None:
        """Grant and shed what can be granted and must be shed now."""

    def learn(self, release: messages.Release) -> None:
        """Take in what a finished request cost; its permit is still known."""


class ServerEstimate(typing.NamedTuple):
    """What one backend server would mean for a demand, as a policy estimates it.

    Attributes
    ----------
    server : str
        Backend server.
    fits : bool
        Whether it may get the demand now.
    cached_tokens : int
        Prompt tokens that its cache is taken to hold.
    first_seconds, finish_seconds : float
        Time to the first event and to the end of the answer.
    limit_tokens : int
        Tokens in flight that it is allowed now.
    """

    server: str
    fits: bool
    cached_tokens: int
    first_seconds: float
    finish_seconds: float
    limit_tokens: int


@typing.runtime_checkable
class ExplainingPolicy(typing.Protocol):
    """A policy that can tell operators how it weighs the servers."""

    def explain(self, demand: messages.Demand) -> list[ServerEstimate]:
        """Return what each open server would mean for a demand."""


@typing.runtime_checkable
class CacheAwarePolicy(typing.Protocol):
    """A policy that reckons with the prefix caches of engines."""

    def cache_changed(self, server: str, stored: bool, blocks: list[int]) -> None:
        """Take in that an engine has stored or dropped blocks a while ago."""

    def cache_lost(self, server: str) -> None:
        """Take in that an engine's cache is empty."""


policies: registry.Registry[type[Policy]] = registry.Registry("policy")

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


policies: registry.Registry[type[Policy]] = registry.Registry("policy")

"""Policies of a keeper: in which order demands are served, and where."""

import typing

from cassiaquay_schema import fleet, messages, registry

from . import clock, shards

RETRY_AFTER_MS = 1000


class Policy(typing.Protocol):
    """Decides for one shard."""

    def __init__(self, shard: shards.Shard): ...

    def serve(self) -> None:
        """Grant and shed what can be granted and must be shed now."""

    def learn(self, release: messages.Release) -> None:
        """Take in what a finished request cost."""


policies: registry.Registry[type[Policy]] = registry.Registry("policy")


@policies.register("tiered")
class Tiered:
    """Strict tiers, then arrival; the least loaded server that has room."""

    def __init__(self, shard: shards.Shard):
        self._shard = shard

    def serve(self) -> None:
        """Serve tier after tier; a tier that must wait holds the lower ones back."""
        shard = self._shard
        now = clock.now()
        for waiting in list(shard.queue.values()):
            if waiting.deadline <= now:
                shard.shed(waiting, "deadline_infeasible", 0)
        order = sorted(shard.queue.values(), key=_importance)
        limit = shard.settings.keeper.max_queue
        for waiting in order[limit:]:
            shard.shed(waiting, "shed_overload", RETRY_AFTER_MS)
        for waiting in order[:limit]:
            server = self._place(waiting.demand)
            if server is None:
                return
            shard.grant(waiting, server.name)

    def learn(self, release: messages.Release) -> None:
        """Learn nothing."""

    def _place(self, demand: messages.Demand) -> fleet.Server | None:
        shard = self._shard
        best = None
        best_load = 0
        for server in shard.open_servers():
            if server.name in demand.avoid:
                continue
            if shard.count_on(server.name) >= server.slots:
                continue
            load = shard.tokens_on(server.name)
            limit = server.max_tokens_in_flight or shard.settings.keeper.start_tokens
            need = demand.prompt_tokens + demand.output_tokens
            if load and load + need > limit:
                continue
            if best is None or load < best_load:
                best = server
                best_load = load
        return best


def _importance(waiting: shards.Waiting) -> tuple[int, float]:
    return waiting.demand.rank, waiting.arrived_at

"""Test bench for the objectives policy: one shard and simulated engines."""

import policy_fakes as fakes

from cassiaquay_daemon.decisions import objectives, shards
from cassiaquay_schema import messages


class Bench:
    """A shard with the objectives policy; tests simulate its engines' answers."""

    def __init__(self, time: fakes.Time, slots: dict[str, int], **keeper: str):
        self.time = time
        self.shard: shards.Shard = fakes.shard(slots, **keeper)
        self.policy = fakes.policy(self.shard, objectives.NAME)
        self.owner = fakes.Owner()
        self.count = 0

    def demand(self, **fields) -> str:
        """Add a demand to the shard; return its id."""
        self.count += 1
        found = fakes.demand(
            fields.pop("name", f"d{self.count}"),
            rank=fields.pop("rank", 0),
            team=fields.pop("team", "questions"),
            prompt_tokens=fields.pop("prompt", 600),
            output_tokens=fields.pop("events", 20),
            remaining_ms=fields.pop("remaining_ms", 15_000),
        )
        found = found._replace(first_ms=400, pause_ms=300)._replace(**fields)
        self.shard.add(found, self.owner)
        return found.id

    def start(self, request_id: str) -> None:
        """Report the dispatch and the first event of a granted request."""
        server = self.owner.permits()[request_id]
        steps = [
            messages.Step(request_id, server, False, 0.0),
            messages.Step(request_id, server, True, 0.0),
        ]
        self.shard.progress(messages.Progress(fakes.SHARD, steps[:1]))
        self.shard.progress(messages.Progress(fakes.SHARD, steps[1:]))

    def end(self, request_id: str, outcome: str = "completed", **fields) -> None:
        """Report the end of a granted request."""
        server = self.owner.permits()[request_id]
        release = fakes.release(request_id, server)._replace(outcome=outcome, **fields)
        self.policy.learn(release)
        self.shard.drop(request_id)

    def set_speed(self, server: str, rate: float, event_seconds: float) -> None:
        """Set the policy's estimates of a server's speed."""
        found = self.policy._times_of(server)
        found.rate = rate
        found.event_seconds = event_seconds
        found.base_seconds = 0.04

    def serve(self) -> None:
        """Run one pass of the policy."""
        self.policy.serve()

"""Slopes of the keeper role: a shard of 16 engines under its policy, in one process."""

import hashlib
import time
import tracemalloc

import msgspec

from cassiaquay_daemon.decisions import affinity, policies, shards
from cassiaquay_daemon.keepers import keeper
from cassiaquay_daemon.links import frames
from cassiaquay_schema import fleet, messages
from cassiaquay_schema import settings as settings_schema

SERVERS = 16
# Below what the policy allows on engines that it does not know yet, so that nothing
# waits: the price of a queue is measured by itself.
RUNNING = 24
WAITING = 300
PASSES = 60
DEMANDS = 3000
QUEUED = 2000
BLOCKS = 32
TEAMS = 50


class _Replier:
    """Takes the permits as frames, as a link does."""

    instance = "cq-2"

    def __init__(self) -> None:
        self.permits: list[messages.Permit] = []

    def send(self, message: messages.Message) -> bool:
        """Encode a message and keep it when it is a permit."""
        frames.encode(message)
        if isinstance(message, messages.Permit):
            self.permits.append(message)
        return True


def make_settings() -> settings_schema.Settings:
    """Return the settings of one daemon."""
    return msgspec.convert(
        {
            "instance": "cq-1",
            "domain": "d",
            "keys": ["k"],
            "platform": {"configuration": "h:1", "instances": "h:1"},
        },
        settings_schema.Settings,
    )


def _shard() -> tuple[shards.Shard, policies.Policy]:
    settings = make_settings()
    shard = shards.Shard("engines#0", settings)
    for number in range(SERVERS):
        name = f"engine-{number}"
        server = fleet.Server(
            name=name,
            address=f"10.0.0.{number}:1",
            slots=64,
            max_tokens_in_flight=10_000_000,
        )
        shard.servers[name] = server
    # Importing the keeper registers the policies.
    return shard, policies.policies.get(keeper.DEFAULT_POLICY)(shard)


def demand(number: int) -> messages.Demand:
    """Return a demand of one of `TEAMS` teams with a prefix of its own."""
    digest = hashlib.sha256(str(number % 200).encode()).digest()
    first = int.from_bytes(digest[:7], "big")
    blocks = [first + index for index in range(BLOCKS)]
    request_id = f"cq-2.0123456789ab.60000.0123456789abcdef~{number:032x}"
    return messages.Demand(
        request_id,
        "engines#0",
        "tutor-assist",
        f"team-{number % TEAMS}",
        number % 4,
        BLOCKS * 64,
        204,
        20000,
        "",
        blocks,
        [],
    )


def seconds_per_demand() -> float:
    """Return the processor time of demand, permit, dispatch news and release."""
    shard, policy = _shard()
    replier = _Replier()
    decoder = frames.Decoder()
    wires = [frames.encode(demand(number)) for number in range(RUNNING + DEMANDS)]
    for wire in wires[:RUNNING]:
        _one(shard, policy, replier, decoder, wire)
    start = time.process_time()
    for wire in wires[RUNNING:]:
        _one(shard, policy, replier, decoder, wire)
        if len(shard.queue) > SERVERS:
            raise RuntimeError("a queue grows: this is no steady state")
        while replier.permits and len(shard.running) > RUNNING:
            _end(shard, policy, decoder, replier.permits.pop(0))
    return (time.process_time() - start) / DEMANDS


def _end(
    shard: shards.Shard,
    policy: policies.Policy,
    decoder: frames.Decoder,
    permit: messages.Permit,
) -> None:
    release = messages.Release(
        permit.id,
        "engines#0",
        permit.server,
        "completed",
        2048,
        1024,
        204,
        100.0,
        1600.0,
    )
    for message in decoder.feed(frames.encode(release)):
        assert isinstance(message, messages.Release)
        policy.learn(message)
        shard.drop(message.id)


def _one(
    shard: shards.Shard,
    policy: policies.Policy,
    replier: _Replier,
    decoder: frames.Decoder,
    wire: bytes,
) -> None:
    for message in decoder.feed(wire):
        assert isinstance(message, messages.Demand)
        shard.add(message, replier)
        policy.serve()
        step = messages.Step(message.id, "", True, 0.0)
        shard.progress(messages.Progress("engines#0", [step]))


def seconds_per_full_pass() -> float:
    """Return the processor time of one pass over a queue of which nothing fits."""
    shard, policy = _shard()
    replier = _Replier()
    decoder = frames.Decoder()
    number = 0
    while len(shard.queue) < WAITING:
        _one(shard, policy, replier, decoder, frames.encode(demand(number)))
        number += 1
    before = len(shard.queue)
    start = time.process_time()
    for _ in range(PASSES):
        policy.serve()
    seconds = (time.process_time() - start) / PASSES
    if len(shard.queue) != before:
        raise RuntimeError("something was granted or shed: no full pass")
    return seconds


def bytes_per_demand() -> float:
    """Return the memory of one demand in the queue."""
    shard, _policy = _shard()
    replier = _Replier()
    decoder = frames.Decoder()
    wires = [frames.encode(demand(number)) for number in range(QUEUED)]
    tracemalloc.start()
    for wire in wires:
        for message in decoder.feed(wire):
            assert isinstance(message, messages.Demand)
            shard.add(message, replier)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / QUEUED


def bytes_per_block() -> float:
    """Return the memory of one block of one engine in the prefix index."""
    index = affinity.PrefixIndex()
    prompts = [demand(number).blocks for number in range(200)]
    tracemalloc.start()
    for blocks in prompts:
        index.add(blocks)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / (200 * BLOCKS)

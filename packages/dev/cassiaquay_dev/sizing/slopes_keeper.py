"""Slopes of the keeper, which admits the requests of a shard.

They are measured in one process on a shard of 16 engines under the default policy.
"""

import hashlib
import time
import tracemalloc

import msgspec

from cassiaquay_daemon.decisions import affinity, policies, shards
from cassiaquay_daemon.keepers import keeper
from cassiaquay_daemon.links import frames
from cassiaquay_schema import fleet, messages
from cassiaquay_schema import settings as settings_schema

SERVER_COUNT = 16
# Below the policy's limit for engines that it has not observed yet, so that no
# demand waits: the cost of a queue is measured separately.
RUNNING_COUNT = 24
WAITING_COUNT = 300
PASS_COUNT = 60
DEMAND_COUNT = 3000
QUEUED_COUNT = 2000
BLOCK_COUNT = 32
TEAM_COUNT = 50


class _PermitCollector:
    """Encodes outgoing messages as a peer link does, and collects the permits."""

    instance = "cq-2"

    def __init__(self) -> None:
        self.permits: list[messages.Permit] = []

    def send(self, message: messages.Message) -> bool:
        """Encode a message, and store it if it is a permit."""
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
    for number in range(SERVER_COUNT):
        name = f"engine-{number}"
        server = fleet.Server(
            name=name,
            address=f"10.0.0.{number}:1",
            slots=64,
            max_tokens_in_flight=10_000_000,
        )
        shard.servers[name] = server
    # Importing the keeper module registers the policies.
    return shard, policies.policies.get(keeper.DEFAULT_POLICY)(shard)


def demand(number: int) -> messages.Demand:
    """Return a demand of one of `TEAM_COUNT` teams, with one of 200 prefixes."""
    digest = hashlib.sha256(str(number % 200).encode()).digest()
    first = int.from_bytes(digest[:7], "big")
    blocks = [first + index for index in range(BLOCK_COUNT)]
    request_id = f"cq-2.0123456789ab.60000.0123456789abcdef~{number:032x}"
    return messages.Demand(
        request_id,
        "engines#0",
        "tutor-assist",
        f"team-{number % TEAM_COUNT}",
        number % 4,
        BLOCK_COUNT * 64,
        204,
        20000,
        "",
        blocks,
        [],
    )


def seconds_per_demand() -> float:
    """Return the processor time of demand, permit, dispatch update and release."""
    shard, policy = _shard()
    replier = _PermitCollector()
    decoder = frames.Decoder()
    encoded_demands = [
        frames.encode(demand(number)) for number in range(RUNNING_COUNT + DEMAND_COUNT)
    ]
    for encoded_demand in encoded_demands[:RUNNING_COUNT]:
        _process_demand(shard, policy, replier, decoder, encoded_demand)
    start = time.process_time()
    for encoded_demand in encoded_demands[RUNNING_COUNT:]:
        _process_demand(shard, policy, replier, decoder, encoded_demand)
        if len(shard.queue) > SERVER_COUNT:
            raise RuntimeError("the queue grows: the shard is not in a steady state")
        while replier.permits and len(shard.running) > RUNNING_COUNT:
            _process_release(shard, policy, decoder, replier.permits.pop(0))
    return (time.process_time() - start) / DEMAND_COUNT


def _process_release(
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


def _process_demand(
    shard: shards.Shard,
    policy: policies.Policy,
    replier: _PermitCollector,
    decoder: frames.Decoder,
    encoded_demand: bytes,
) -> None:
    for message in decoder.feed(encoded_demand):
        assert isinstance(message, messages.Demand)
        shard.add(message, replier)
        policy.serve()
        step = messages.Step(message.id, "", True, 0.0)
        shard.progress(messages.Progress("engines#0", [step]))


def seconds_per_full_pass() -> float:
    """Return the processor time of one pass over a queue without a grantable demand."""
    shard, policy = _shard()
    replier = _PermitCollector()
    decoder = frames.Decoder()
    number = 0
    while len(shard.queue) < WAITING_COUNT:
        _process_demand(shard, policy, replier, decoder, frames.encode(demand(number)))
        number += 1
    before = len(shard.queue)
    start = time.process_time()
    for _ in range(PASS_COUNT):
        policy.serve()
    seconds = (time.process_time() - start) / PASS_COUNT
    if len(shard.queue) != before:
        raise RuntimeError("a demand was granted or shed during a full pass")
    return seconds


def bytes_per_demand() -> float:
    """Return the memory of one queued demand."""
    shard, _policy = _shard()
    replier = _PermitCollector()
    decoder = frames.Decoder()
    encoded_demands = [frames.encode(demand(number)) for number in range(QUEUED_COUNT)]
    tracemalloc.start()
    for encoded_demand in encoded_demands:
        for message in decoder.feed(encoded_demand):
            assert isinstance(message, messages.Demand)
            shard.add(message, replier)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / QUEUED_COUNT


def bytes_per_block() -> float:
    """Return the memory of one block of one engine in the prefix index."""
    index = affinity.PrefixIndex()
    prompts = [demand(number).blocks for number in range(200)]
    tracemalloc.start()
    for blocks in prompts:
        index.add(blocks)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / (200 * BLOCK_COUNT)

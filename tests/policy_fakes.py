"""Fakes for tests of keepers and policies: clock, links, members, configuration."""

import collections.abc
import contextlib
import typing

from cassiaquay_daemon import clock
from cassiaquay_daemon.configured import snapshots
from cassiaquay_daemon.decisions import policies, prefixes, shards
from cassiaquay_daemon.keepers import keeper
from cassiaquay_dev import deployments
from cassiaquay_schema import fleet, messages
from cassiaquay_schema import settings as settings_schema

SHARD = "engines#0"


class Time:
    """A manual clock."""

    def __init__(self) -> None:
        self.now = 1000.0

    @contextlib.contextmanager
    def used(self) -> collections.abc.Iterator["Time"]:
        """Install this clock as the daemon's clock."""
        before = clock.use(lambda: self.now)
        try:
            yield self
        finally:
            clock.use(before)


class Owner:
    """A link to an owner, which records the messages sent to it."""

    def __init__(self, instance: str = "cq-1"):
        self.instance = instance
        self.incarnation = "i"
        self.sent: list[messages.Message] = []

    def send(self, message: messages.Message) -> bool:
        """Record a message."""
        self.sent.append(message)
        return True

    def permits(self) -> dict[str, str]:
        """Return the servers granted, by request id."""
        found = [item for item in self.sent if isinstance(item, messages.Permit)]
        return {item.id: item.server for item in found}

    def sheds(self) -> dict[str, messages.Shed]:
        """Return the shed messages, by request id."""
        found = [item for item in self.sent if isinstance(item, messages.Shed)]
        return {item.id: item for item in found}


class Links:
    """Fake of `Peers` that records the registered handlers."""

    def __init__(self) -> None:
        self.handlers: dict[type, typing.Any] = {}

    def on(self, kind: type, handler: typing.Any) -> None:
        """Record a handler."""
        self.handlers[kind] = handler

    def on_down(self, call: typing.Any) -> None:
        """Ignore the callback."""

    def on_up(self, call: typing.Any) -> None:
        """Ignore the callback."""


class Membership:
    """Fake of the membership: instance names, links and one keeper of all shards."""

    def __init__(self, keeper: str, owners: list[Owner]):
        self.keeper = keeper
        self.listed: dict[str, typing.Any] = {}
        self.owners = {owner.instance: owner for owner in owners}
        self.table_digests: dict[str, collections.abc.Callable[[], int]] = {}
        self.changed: list[collections.abc.Callable[[], None]] = []

    def keeper_of(self, key: str) -> str:
        """Return the keeper, which is the same for all keys."""
        return self.keeper

    def alive(self) -> list[Owner]:
        """Return all owners."""
        return list(self.owners.values())

    def link(self, instance: str) -> Owner | None:
        """Return an owner, which is its own link."""
        return self.owners.get(instance)

    def on_change(self, call: collections.abc.Callable[[], None]) -> None:
        """Record a callback."""
        self.changed.append(call)

    def move(self, keeper: str) -> None:
        """Make another instance the keeper and run the callbacks."""
        self.keeper = keeper
        for call in self.changed:
            call()


class Configured:
    """Fake of the configuration with one fixed snapshot."""

    def __init__(self, extra: str = ""):
        deployment = deployments.BRINDLEY
        names = [engine.name for engine in deployment.engines]
        names += [plain.name for plain in deployment.plains]
        addresses = {name: f"{name}:1" for name in names}
        text = deployments.fleet_text(deployment, addresses)
        self.current = snapshots.read(1, extra_lines(text, extra))

    def on_accept(self, call: collections.abc.Callable[[], None]) -> None:
        """Ignore the callback."""


def extra_lines(text: str, extra: str) -> str:
    """Return a fleet text with lines inserted below the header that they start with."""
    if not extra:
        return text
    header, _, lines = extra.partition("\n")
    return text.replace(f"{header}\n", f"{header}\n{lines}\n", 1)


def settings(instance: str = "cq-1", **keeper: typing.Any) -> settings_schema.Settings:
    """Return the settings of an instance."""
    return settings_schema.Settings(
        instance=instance,
        domain="derby",
        keys=["key"],
        platform=settings_schema.Platform(configuration="", instances=""),
        keeper=settings_schema.Keeper(**keeper),
    )


def shard(slots: dict[str, int], **keeper: typing.Any) -> shards.Shard:
    """Return an open shard whose servers have the given numbers of slots."""
    found = shards.Shard(SHARD, settings(**keeper))
    found.close([])
    for name, count in slots.items():
        found.servers[name] = fleet.Server(name=name, address="h:1", slots=count)
    return found


def policy(found: shards.Shard, name: str = keeper.DEFAULT_POLICY) -> policies.Policy:
    """Return a policy of a shard."""
    return policies.policies.get(name)(found)


def demand(
    request_id: str,
    rank: int = 0,
    team: str = "questions",
    prompt: str = "",
    prompt_tokens: int = 40,
    output_tokens: int = 20,
    remaining_ms: int = 20_000,
    session: str = "",
) -> messages.Demand:
    """Return a demand."""
    return messages.Demand(
        request_id,
        SHARD,
        "tutor-assist",
        team,
        rank,
        prefixes.tokens(prompt) or prompt_tokens,
        output_tokens,
        remaining_ms,
        session,
        prefixes.blocks(prompt),
        [],
        prefixes.block_count(prompt),
    )


def release(
    request_id: str, server: str, first_ms: float = 50.0, cached_tokens: int = 0
) -> messages.Release:
    """Return the release of a completed request."""
    return messages.Release(
        request_id, SHARD, server, "completed", 40, cached_tokens, 20, first_ms, 300.0
    )

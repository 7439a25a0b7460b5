"""A team's limit under overload while instances fail and partitions come and go.

In every window, the tokens of the team that reach the engines must stay under the
fleet's bound. Generated schedules run against the daemon's code, and against mutants
that each lack one safeguard and must be detected.
"""

import asyncio
import math
import random
import typing

import policy_fakes as fakes
import pytest
import test_budgets as budgets_case

from cassiaquay_daemon import exceptions, rendezvous
from cassiaquay_daemon.decisions import buckets
from cassiaquay_daemon.keepers import quotas
from cassiaquay_schema import messages

NAMES = [f"cq-{number}" for number in range(6)]
DURATION_SECONDS = 30.0
WINDOW_SECONDS = 8.0
SEEDS = range(12)
# A safeguard whose mutant none of these schedules detects is not covered by the test.
MUTANT_SEEDS = range(40)


class Link:
    """A link from one instance to another; a partition drops its messages."""

    def __init__(self, fleet: "Fleet", source: str, target: str):
        self.instance = target
        self._fleet = fleet
        self._source = source

    def send(self, message: messages.Message) -> bool:
        """Deliver a message at once, or drop it."""
        fleet = self._fleet
        if not fleet.reaches(self._source, self.instance):
            return False
        target_quotas = fleet.quotas[self.instance]
        back = Link(fleet, self.instance, self._source)
        if isinstance(message, messages.QuotaQuery):
            target_quotas._on_query(back, message)
        elif isinstance(message, messages.QuotaReturn):
            target_quotas._on_return(back, message)
        else:
            target_quotas._on_answer(back, message)
        return True


class View(fakes.Membership):
    """The membership view of one instance."""

    def __init__(self, fleet: "Fleet", name: str):
        super().__init__(name, [])
        self._fleet = fleet
        self._name = name

    def fleet_size(self) -> int:
        """Return the number of instances that may spend."""
        return len(NAMES)

    def alive(self) -> list[str]:
        """Return the instances that this one can reach."""
        return [name for name in NAMES if self._fleet.reaches(self._name, name)]

    def keeper_of(self, key: str) -> str:
        """Return the keeper among the instances that this one can reach."""
        return rendezvous.first(key, self.alive())

    def link(self, instance: str) -> Link | None:
        """Return a link to an instance."""
        return Link(self._fleet, self._name, instance)


class Spent(typing.NamedTuple):
    """Tokens of one request, and when it was let through."""

    at: float
    units: int


class Fleet:
    """Six instances, each with its own state of the team's limit."""

    def __init__(self, time: fakes.Time, seed: int, refused_share: float = 0.0):
        self.time = time
        self.refused_share = refused_share
        self.random = random.Random(seed)
        self.partition = dict.fromkeys(NAMES, 0)
        self.down_until = dict.fromkeys(NAMES, -math.inf)
        self.views: dict[str, View] = {}
        self.quotas: dict[str, quotas.Quotas] = {}
        self.spent: list[Spent] = []
        for name in NAMES:
            self.start(name, True)

    def start(self, name: str, first: bool) -> None:
        """Start a process without any state."""
        self.views[name] = View(self, name)
        settings = budgets_case._settings(first_start=first)
        settings = type(settings)(
            **{
                field: getattr(settings, field)
                for field in settings.__struct_fields__
                if field != "instance"
            },
            instance=name,
        )
        self.quotas[name] = quotas.Quotas(
            settings, fakes.Links(), self.views[name], budgets_case.Configured()
        )

    def reaches(self, source: str, target: str) -> bool:
        """Return whether two instances are alive and reach each other."""
        if max(self.down_until[source], self.down_until[target]) > self.time.now:
            return False
        return self.partition[source] == self.partition[target]

    def step(self) -> None:
        """Advance the clock, restart instances that are due, maybe inject a fault."""
        self.time.now += self.random.uniform(0.05, 0.6)
        is_changed = False
        for name in NAMES:
            restarts_at = self.down_until[name]
            if math.isfinite(restarts_at) and restarts_at <= self.time.now:
                self.down_until[name] = -math.inf
                self.start(name, False)
                is_changed = True
        if self.inject_fault() or is_changed:
            self.notify_members_changed()

    def inject_fault(self) -> bool:
        """Kill, partition or reconnect instances; return whether a fault occurred."""
        roll = self.random.random()
        if roll < 0.06:
            self.kill(self.random.sample(NAMES, self.random.randint(1, 6)))
        elif roll < 0.12:
            self.partition = {name: self.random.randrange(3) for name in NAMES}
        elif roll < 0.18:
            self.partition = dict.fromkeys(NAMES, 0)
        else:
            return False
        return True

    def notify_members_changed(self) -> None:
        """Notify every live instance of a membership change."""
        for name, view in self.views.items():
            if self.down_until[name] > self.time.now:
                continue
            for call in view.changed:
                call()

    def kill(self, names: list[str]) -> None:
        """Kill processes; each restarts after half a second."""
        for name in names:
            self.down_until[name] = self.time.now + 0.5

    async def flood(self, wait: list[float]) -> None:
        """Send the team's requests to each live instance until it refuses one."""
        for name in self.random.sample(NAMES, len(NAMES)):
            if self.down_until[name] > self.time.now:
                continue
            for _ in range(40):
                units = self.random.choice([5, 20, 90])
                wait.clear()
                try:
                    taken = await self.quotas[name].take(
                        budgets_case.TEAM, budgets_case.Facts(units), 0.3
                    )
                except exceptions.LimitReached:
                    break
                if self.refused_share and self.random.random() < self.refused_share:
                    self.quotas[name].give_back(taken)
                    continue
                self.spent.append(Spent(self.time.now + sum(wait), units))


def max_window_share(
    monkeypatch: pytest.MonkeyPatch, seed: int, refused_share: float = 0.0
) -> float:
    """Return the most tokens let through in any window, as a share of the bound."""
    wait: list[float] = []

    async def sleep(seconds: float) -> None:
        wait.append(seconds)

    async def run(time: fakes.Time) -> list[Spent]:
        fleet = Fleet(time, seed, refused_share)
        ends_at = time.now + DURATION_SECONDS
        while time.now < ends_at:
            fleet.step()
            await fleet.flood(wait)
        return fleet.spent

    monkeypatch.setattr(quotas.asyncio, "sleep", sleep)
    monkeypatch.setattr(quotas, "QUERY_TIMEOUT_SECONDS", 0.0)
    with fakes.Time().used() as time:
        spent = asyncio.run(run(time))
    monkeypatch.undo()
    spent.sort()
    max_units = window_units = first = 0
    for item in spent:
        window_units += item.units
        while spent[first].at <= item.at - WINDOW_SECONDS:
            window_units -= spent[first].units
            first += 1
        max_units = max(max_units, window_units)
    return max_units / budgets_case.BOUND


@pytest.mark.parametrize("seed", SEEDS)
def test_the_limit_holds_under_faults(monkeypatch, seed: int) -> None:
    """Instances fail, restart without state and are partitioned under overload.

    No window exceeds the fleet's bound, and the team is not starved.
    """
    share = max_window_share(monkeypatch, seed)
    assert 0.3 <= share <= 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_the_limit_holds_under_faults_while_shed_requests_return_their_units(
    monkeypatch, seed: int
) -> None:
    """Half of the requests that the limit lets through get no slot and never run.

    Their units are returned and granted again, also by keepers that have failed, moved
    or been partitioned meanwhile. Requests that run stay under the bound in every
    window, and the team gets as much of it as without refusals.
    """
    share = max_window_share(monkeypatch, seed, 0.5)
    assert 0.3 <= share <= 1.0


def _mutate_fleet_size(monkeypatch: pytest.MonkeyPatch) -> None:
    """Mutant: each instance computes its own share for a fleet of three."""
    monkeypatch.setattr(View, "fleet_size", lambda self: len(NAMES) // 2)


def _mutate_start_level(monkeypatch: pytest.MonkeyPatch) -> None:
    """Mutant: a restarted process assumes that the previous window was empty."""

    class FullBucket(buckets.Bucket):
        def __init__(self, empty_at: float):
            super().__init__(-math.inf)

    monkeypatch.setattr(buckets, "Bucket", FullBucket)


def _mutate_partition_share(monkeypatch: pytest.MonkeyPatch) -> None:
    """Mutant: the keeper in each partition grants for the whole fleet."""
    monkeypatch.setattr(View, "alive", lambda self: NAMES)
    monkeypatch.setattr(
        View,
        "keeper_of",
        lambda self, key: rendezvous.first(
            key, [name for name in NAMES if self._fleet.reaches(self._name, name)]
        ),
    )


def _mutate_members_changed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Mutant: a new keeper assumes that there was no previous one."""
    monkeypatch.setattr(quotas.Quotas, "_on_members_changed", lambda self: None)


def _mutate_returns(monkeypatch: pytest.MonkeyPatch) -> None:
    """Mutant: a keeper accepts returns of grants that the previous keeper made."""
    accept_return = quotas.Quotas._accept_return

    def accept_any(self, instance, message) -> None:
        if (instance, message.number) in self._returnable:
            accept_return(self, instance, message)
            return
        quotas._bucket_of(self._granted, "blue", self._granted_from).refund(90)

    monkeypatch.setattr(quotas.Quotas, "_accept_return", accept_any)

    def give_back(self, taken) -> None:
        if taken.own is not None:
            taken.own.refund(taken.units)
            return
        keeper = self._membership.keeper_of("quota blue")
        message = messages.QuotaReturn(taken.number)
        for _ in range(2):
            if keeper == self._settings.instance:
                self._accept_return(keeper, message)
            else:
                self._membership.link(keeper).send(message)

    monkeypatch.setattr(quotas.Quotas, "give_back", give_back)


def test_a_keeper_that_accepts_returns_of_foreign_grants_is_detected(
    monkeypatch,
) -> None:
    for seed in MUTANT_SEEDS:
        _mutate_returns(monkeypatch)
        if max_window_share(monkeypatch, seed, 0.5) > 1.0:
            return
    raise AssertionError("no schedule finds the mutant")


@pytest.mark.parametrize(
    "mutant",
    [
        _mutate_fleet_size,
        _mutate_start_level,
        _mutate_partition_share,
        _mutate_members_changed,
    ],
)
def test_the_mutant_without_each_safeguard_is_detected(monkeypatch, mutant) -> None:
    for seed in MUTANT_SEEDS:
        mutant(monkeypatch)
        if max_window_share(monkeypatch, seed) > 1.0:
            return
    raise AssertionError("no schedule finds the mutant")

"""A team's limit while it floods a fleet whose instances die, part and meet again.

What the users' engines see of the team must stay under the fleet's bound in every
window, whatever happens in between. The generated schedules are played against the
product, and against mutants of it that each forget one safeguard: those must be found.
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
SECONDS = 30.0
WINDOW = 8.0
SEEDS = range(12)
# A mutant that none of so many schedules finds is not tested for at all.
MUTANT_SEEDS = range(40)


class Link:
    """The way from one instance to another; nothing comes through a partition."""

    def __init__(self, fleet: "Fleet", source: str, target: str):
        self.instance = target
        self._fleet = fleet
        self._source = source

    def send(self, message: messages.Message) -> bool:
        """Deliver a message at once, or lose it."""
        fleet = self._fleet
        if not fleet.hears(self._source, self.instance):
            return False
        other = fleet.quotas[self.instance]
        back = Link(fleet, self.instance, self._source)
        if isinstance(message, messages.QuotaQuery):
            other._on_query(back, message)
        elif isinstance(message, messages.QuotaReturn):
            other._on_return(back, message)
        else:
            other._on_answer(back, message)
        return True


class View(fakes.Membership):
    """What one instance believes of the members."""

    def __init__(self, fleet: "Fleet", name: str):
        super().__init__(name, [])
        self._fleet = fleet
        self._name = name

    def fleet_size(self) -> int:
        """Return all that may be spending."""
        return len(NAMES)

    def alive(self) -> list[str]:
        """Return those that can be heard."""
        return [name for name in NAMES if self._fleet.hears(self._name, name)]

    def keeper_of(self, key: str) -> str:
        """Return the keeper among those that can be heard."""
        return rendezvous.first(key, self.alive())

    def link(self, instance: str) -> Link | None:
        """Return the way to an instance."""
        return Link(self._fleet, self._name, instance)


class Spent(typing.NamedTuple):
    """Tokens of one request and when it went on its way."""

    at: float
    units: int


class Fleet:
    """Six instances, each with its own memory of the team's limit."""

    def __init__(self, time: fakes.Time, seed: int, refused_share: float = 0.0):
        self.time = time
        self.refused_share = refused_share
        self.random = random.Random(seed)
        self.part = dict.fromkeys(NAMES, 0)
        self.dead_until = dict.fromkeys(NAMES, -math.inf)
        self.views: dict[str, View] = {}
        self.quotas: dict[str, quotas.Quotas] = {}
        self.spent: list[Spent] = []
        for name in NAMES:
            self.start(name, True)

    def start(self, name: str, first: bool) -> None:
        """Start a process without a memory."""
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

    def hears(self, one: str, other: str) -> bool:
        """Tell whether two live instances reach each other."""
        if max(self.dead_until[one], self.dead_until[other]) > self.time.now:
            return False
        return self.part[one] == self.part[other]

    def step(self) -> None:
        """Let time pass, and sometimes something happen."""
        self.time.now += self.random.uniform(0.05, 0.6)
        is_changed = False
        for name in NAMES:
            back_at = self.dead_until[name]
            if math.isfinite(back_at) and back_at <= self.time.now:
                self.dead_until[name] = -math.inf
                self.start(name, False)
                is_changed = True
        if self.happens() or is_changed:
            self.tell()

    def happens(self) -> bool:
        """Kill, part or join instances; return whether anything has happened."""
        roll = self.random.random()
        if roll < 0.06:
            self.kill(self.random.sample(NAMES, self.random.randint(1, 6)))
        elif roll < 0.12:
            self.part = {name: self.random.randrange(3) for name in NAMES}
        elif roll < 0.18:
            self.part = dict.fromkeys(NAMES, 0)
        else:
            return False
        return True

    def tell(self) -> None:
        """Let every live instance notice that the members have changed."""
        for name, view in self.views.items():
            if self.dead_until[name] > self.time.now:
                continue
            for call in view.changed:
                call()

    def kill(self, names: list[str]) -> None:
        """Kill processes; each is back after half a second."""
        for name in names:
            self.dead_until[name] = self.time.now + 0.5

    async def flood(self, wait: list[float]) -> None:
        """Let the team send to every live instance until each refuses."""
        for name in self.random.sample(NAMES, len(NAMES)):
            if self.dead_until[name] > self.time.now:
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


def play(
    monkeypatch: pytest.MonkeyPatch, seed: int, refused_share: float = 0.0
) -> float:
    """Return the most that the team got in any window, as a share of the bound."""
    wait: list[float] = []

    async def sleep(seconds: float) -> None:
        wait.append(seconds)

    async def run(time: fakes.Time) -> list[Spent]:
        fleet = Fleet(time, seed, refused_share)
        ends_at = time.now + SECONDS
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
    most = inside = first = 0
    for one in spent:
        inside += one.units
        while spent[first].at <= one.at - WINDOW:
            inside -= spent[first].units
            first += 1
        most = max(most, inside)
    return most / budgets_case.BOUND


@pytest.mark.parametrize("seed", SEEDS)
def test_the_limit_holds_whatever_happens(monkeypatch, seed: int) -> None:
    """Instances die, start without a memory, part and meet while a team floods them.

    Every window holds at most the fleet's bound; and the team is not starved.
    """
    share = play(monkeypatch, seed)
    assert 0.3 <= share <= 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_the_limit_holds_while_requests_are_refused_and_return_their_part(
    monkeypatch, seed: int
) -> None:
    """Half of what the limit lets through finds no slot, and never runs.

    What it was given is given out again, also by keepers that died, moved or were cut
    off meanwhile; what runs stays under the bound in every window, and the team gets
    as much of it as when nothing is refused.
    """
    share = play(monkeypatch, seed, 0.5)
    assert 0.3 <= share <= 1.0


def _knows_half_of_the_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let each instance take its own share for one of three."""
    monkeypatch.setattr(View, "fleet_size", lambda self: len(NAMES) // 2)


def _forgets_the_window_before(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a process that starts again take the window before for empty."""

    class Trusting(buckets.Bucket):
        def __init__(self, empty_at: float):
            super().__init__(-math.inf)

    monkeypatch.setattr(buckets, "Bucket", Trusting)


def _gives_the_whole_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the keeper of each part give out the rest of the whole fleet."""
    monkeypatch.setattr(View, "alive", lambda self: NAMES)
    monkeypatch.setattr(
        View,
        "keeper_of",
        lambda self, key: rendezvous.first(
            key, [name for name in NAMES if self._fleet.hears(self._name, name)]
        ),
    )


def _keeps_what_it_gave(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let whoever becomes the keeper trust that nobody was it before."""
    monkeypatch.setattr(quotas.Quotas, "_on_members_changed", lambda self: None)


def _takes_back_what_it_never_gave(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let whoever keeps a limit now take back what the keeper before it gave."""
    take_back = quotas.Quotas._accept_return

    def trusting(self, asker, message) -> None:
        if (asker, message.number) in self._returnable:
            take_back(self, asker, message)
            return
        quotas._bucket_of(self._granted, "blue", self._granted_from).put_back(90)

    monkeypatch.setattr(quotas.Quotas, "_accept_return", trusting)

    def give_back(self, taken) -> None:
        if taken.own is not None:
            taken.own.put_back(taken.units)
            return
        keeper = self._membership.keeper_of("quota blue")
        message = messages.QuotaReturn(taken.number)
        for _ in range(2):
            if keeper == self._settings.instance:
                self._accept_return(keeper, message)
            else:
                self._membership.link(keeper).send(message)

    monkeypatch.setattr(quotas.Quotas, "give_back", give_back)


def test_a_keeper_that_takes_back_what_it_never_gave_is_found(monkeypatch) -> None:
    for seed in MUTANT_SEEDS:
        _takes_back_what_it_never_gave(monkeypatch)
        if play(monkeypatch, seed, 0.5) > 1.0:
            return
    raise AssertionError("no schedule finds the mutant")


@pytest.mark.parametrize(
    "mutant",
    [
        _knows_half_of_the_fleet,
        _forgets_the_window_before,
        _gives_the_whole_rest,
        _keeps_what_it_gave,
    ],
)
def test_each_safeguard_is_needed(monkeypatch, mutant) -> None:
    for seed in MUTANT_SEEDS:
        mutant(monkeypatch)
        if play(monkeypatch, seed) > 1.0:
            return
    raise AssertionError("no schedule finds the mutant")

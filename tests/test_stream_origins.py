"""Where streams began is known after the instance that served them has gone."""

import asyncio

import hypothesis
import mesh_fakes
import msgspec
import policy_fakes as fakes
import pytest
from hypothesis import strategies

from cassiaquay_daemon.decisions import software_versions, stream_origins
from cassiaquay_daemon.fleet import stream_origins as origin_reports
from cassiaquay_schema import fleet

DOMAINS = ("derby", "leeds", "ely")
NAMES = tuple(f"cq-{number}" for number in range(9))
V1 = stream_origins.Origin("chat", "v1")
LIFETIME_SECONDS = 20.0
# The first messages of a query and their answers.
ROUND_TRIPS = 3


def _domain(name: str) -> str:
    return DOMAINS[NAMES.index(name) % len(DOMAINS)]


class _End:
    """A link of one instance to a live one, or to one that has gone."""

    def __init__(self, made: "Fleet", sender: str, receiver: str):
        self.instance = receiver
        self._fleet = made
        self._sender = sender

    def send(self, message) -> bool:
        """Queue a message for a live instance."""
        self._fleet.queue.append((self._sender, self.instance, message))
        return True


class Fleet(mesh_fakes.Mesh):
    """Instances in three failure domains that keep each other's origins."""

    def __init__(self) -> None:
        super().__init__(NAMES)
        self.origins: dict[str, origin_reports.StreamOrigins] = {}
        self.gone: set[str] = set()
        self.up_calls: dict[str, list] = {name: [] for name in NAMES}
        for name in NAMES:
            for owner in self.members[name].owners.values():
                owner.domain = _domain(owner.instance)
            self.members[name].link = lambda to, own=name: self.link(own, to)
            self.wires[name].on_up = self.up_calls[name].append
            self.start(name)

    def start(self, name: str) -> None:
        """Start an instance that knows nothing."""
        settings = fakes.settings(name)
        settings = msgspec.structs.replace(settings, domain=_domain(name))
        self.up_calls[name].clear()
        self.origins[name] = origin_reports.StreamOrigins(
            settings, self.wires[name], self.members[name]
        )
        self.gone.discard(name)
        for other in NAMES:
            if other in (name, *self.gone):
                continue
            for call in self.up_calls[other]:
                call(_End(self, other, name))

    def kill(self, name: str) -> None:
        """Kill an instance; what it has sent arrives."""
        self.deliver()
        self.gone.add(name)

    def link(self, sender: str, receiver: str) -> _End | None:
        """Return a link; None to an instance that has gone."""
        return None if receiver in self.gone else _End(self, sender, receiver)

    def find(self, name: str, key: int) -> stream_origins.Origin | None:
        """Return what an instance finds."""

        async def work() -> stream_origins.Origin | None:
            finding = asyncio.create_task(self.origins[name].find(key))
            for _ in range(ROUND_TRIPS):
                await asyncio.sleep(0)
                self.deliver()
            return (await finding).origin

        return asyncio.run(work())


def _key(attempt: str, team: str = "blue") -> int:
    return stream_origins.key_of(team, attempt)


@pytest.mark.parametrize("owner", NAMES)
def test_origin_survives_the_failure_domain_of_its_instance(owner: str) -> None:
    """Guards against streams of unknown version after a whole domain is killed."""
    made = Fleet()
    for number in range(20):
        made.origins[owner].add(_key(f"a{number}"), V1, LIFETIME_SECONDS)
    for name in NAMES:
        if _domain(name) == _domain(owner):
            made.kill(name)
    living = next(name for name in NAMES if name not in made.gone)
    for number in range(20):
        assert made.find(living, _key(f"a{number}")) == V1


def test_restarted_instance_gets_back_what_it_keeps() -> None:
    """Guards against origins that are lost when their keepers restart in turn."""
    made = Fleet()
    made.origins["cq-0"].add(_key("a"), V1, LIFETIME_SECONDS)
    for name in NAMES[1:]:
        made.kill(name)
        made.start(name)
        made.deliver()
    made.kill("cq-0")
    assert made.find("cq-1", _key("a")) == V1


def test_attempt_of_another_team_is_not_known() -> None:
    """Guards against a team that learns of another team's stream by its id."""
    made = Fleet()
    made.origins["cq-0"].add(_key("a"), V1, LIFETIME_SECONDS)
    made.deliver()
    assert made.find("cq-0", _key("a", "green")) is None
    assert made.find("cq-1", _key("a", "green")) is None


def test_origins_are_bounded_by_age_and_number(monkeypatch) -> None:
    """Guards against memory that grows with the streams of a day."""
    monkeypatch.setattr(stream_origins, "MAX_ENTRIES", 10)
    with fakes.Time().used() as time:
        table = stream_origins.Origins()
        for number in range(20):
            table.add(number, V1, LIFETIME_SECONDS)
        assert len(table) == 10
        time.now += LIFETIME_SECONDS
        assert table.find(19) is None
        table.add(20, V1, LIFETIME_SECONDS)
        assert len(table) == 1


@hypothesis.settings(deadline=None, max_examples=40)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["begin", "kill", "start"]),
            strategies.sampled_from(NAMES),
        ),
        max_size=25,
    )
)
def test_no_schedule_of_deaths_gives_a_stream_a_wrong_origin(steps) -> None:
    """Guards against an origin that another stream's, or an older one, replaces.

    An origin is lost only if its instance and both others that keep it have died.
    """
    made = Fleet()
    begun: dict[int, tuple[stream_origins.Origin, set[str]]] = {}
    for number, (action, name) in enumerate(steps):
        if action == "start" and name in made.gone:
            made.start(name)
        elif action == "kill" and len(made.gone) < len(NAMES) - 1:
            made.kill(name)
            for _, died in begun.values():
                died.add(name)
        elif action == "begin" and name not in made.gone:
            origin = stream_origins.Origin("chat", f"v{number}")
            made.origins[name].add(_key(str(number)), origin, LIFETIME_SECONDS)
            begun[_key(str(number))] = (origin, set(made.gone))
        made.deliver()
    asking = next(name for name in NAMES if name not in made.gone)
    for key, (origin, died) in begun.items():
        found = made.find(asking, key)
        assert found in (origin, None)
        if found is None:
            assert len(died) > origin_reports.COPIES


def test_versions_of_servers_that_left_are_remembered_for_a_while() -> None:
    """Guards against taking a service for one of a single version during a release."""
    with fakes.Time().used() as time:
        history = software_versions.History()
        history.update(_fleet("v1"))
        assert history.recent("chat") == {"v1"}
        time.now += 100.0
        history.update(_fleet("v1", "v2"))
        history.update(_fleet("v2"))
        assert history.recent("chat") == {"v1", "v2"}
        time.now += software_versions.RETENTION_SECONDS + 1.0
        assert history.recent("chat") == {"v2"}
        assert history.recent("other") == set()


def _fleet(*versions: str) -> fleet.Fleet:
    servers = []
    for number, version in enumerate(versions):
        name = f"e{number}"
        servers.append(fleet.Server(name=name, address="h:1", software=version))
    pool = fleet.Pool(servers=servers)
    return fleet.Fleet(tiers={}, teams={}, pools={"chat": pool}, services={})

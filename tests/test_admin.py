"""The operators' address: access by operators and teams, and contents of the calls."""

import logging

import operators_fakes as fakes
import pytest

from cassiaquay_daemon import exceptions, logs, platform
from cassiaquay_daemon.decisions import shards
from cassiaquay_schema import messages

TEAMS = fakes.DEPLOYMENT.teams
LARGE, SMALL = TEAMS[0], TEAMS[1]
OPERATORS = [fakes.digest(fakes.OPERATOR)]
ALL_PATHS = [
    "/v1/status",
    "/v1/instances",
    "/v1/servers",
    "/v1/keepers",
    "/v1/queues",
    "/v1/configuration",
    "/v1/history",
    "/v1/burn",
    "/metrics",
]
OPERATOR_ONLY_PATHS = [
    "/v1/status",
    "/v1/servers",
    "/v1/keepers",
    "/v1/configuration",
    "/metrics",
]


def _demand(request_id: str, team: str, rank: int) -> messages.Demand:
    service = fakes.DEPLOYMENT.model_service
    return messages.Demand(
        request_id, "engines#0", service, team, rank, 10, 20, 9000, "", [], []
    )


class _FakeLink:
    instance = "cq-1"

    def send(self, message: messages.Message) -> bool:
        return True


def _fill_queue(instance: fakes.Instance) -> shards.Shard:
    for number, team in enumerate([LARGE, LARGE, SMALL]):
        demand = _demand(f"id-{number}", team.name, 0 if number else 3)
        instance.kept.demand(_FakeLink(), demand)
    return instance.kept.shards["engines#0"]


@pytest.mark.parametrize("path", ALL_PATHS)
def test_operator_can_read_every_call(path: str) -> None:
    async def test(instance: fakes.Instance) -> None:
        reply = await instance.call(path, fakes.OPERATOR, client="10.0.0.9")
        assert reply.status == 200
        assert reply.body

    fakes.run(test, operators=OPERATORS)


@pytest.mark.parametrize("path", ALL_PATHS)
def test_unknown_credential_is_refused_by_every_call(path: str) -> None:
    async def test(instance: fakes.Instance) -> None:
        for credential in ("", "wrong"):
            reply = await instance.call(path, credential)
            assert reply.status == 401
            assert reply.json["code"] == "admin_unauthorized"

    fakes.run(test, operators=OPERATORS)


@pytest.mark.parametrize("path", OPERATOR_ONLY_PATHS)
def test_team_is_refused_by_operator_only_calls(path: str) -> None:
    async def test(instance: fakes.Instance) -> None:
        reply = await instance.call(path, LARGE.credential)
        assert reply.status == 403

    fakes.run(test, operators=OPERATORS)


def test_only_loopback_is_allowed_without_configured_operators() -> None:
    """Guards an instance without operators' digests that listens on a network address.

    Calls from another host for its status and a drain are refused. Only a process on
    the same host counts as an operator.
    """

    async def test(instance: fakes.Instance) -> None:
        assert (await instance.call("/v1/status")).status == 200
        assert (await instance.call("/v1/status", client="10.0.0.9")).status == 401
        drain = await instance.call("/v1/drain", method="POST", client="10.0.0.9")
        assert drain.status == 401
        assert not instance.drained

    fakes.run(test)


def test_browser_page_on_loopback_is_refused() -> None:
    """Guards against a hostile page opened in a browser on the instance's host.

    The page sends POST /v1/drain to the loopback address. The browser adds an Origin
    header, so the call is refused although it comes from the same host.
    """

    async def test(instance: fakes.Instance) -> None:
        reply = await instance.call(
            "/v1/drain", method="POST", origin="http://hostile.example"
        )
        assert reply.status == 401
        assert not instance.drained

    fakes.run(test)


def test_loopback_needs_a_credential_once_operators_are_configured() -> None:
    async def test(instance: fakes.Instance) -> None:
        assert (await instance.call("/v1/drain", method="POST")).status == 401
        reply = await instance.call("/v1/drain", LARGE.credential, method="POST")
        assert reply.status == 403
        assert not instance.drained
        reply = await instance.call("/v1/drain", fakes.OPERATOR, method="POST")
        assert reply.status == 202
        assert instance.drained

    fakes.run(test, operators=OPERATORS)


def test_health_needs_no_credential() -> None:
    async def test(instance: fakes.Instance) -> None:
        reply = await instance.call("/v1/health", client="10.0.0.9")
        assert reply.status == 200
        assert reply.json["ready"]

    fakes.run(test, operators=OPERATORS)


def test_health_is_503_without_a_configuration() -> None:
    async def test(instance: fakes.Instance) -> None:
        instance.configured.current = None
        reply = await instance.call("/v1/health")
        assert reply.status == 503
        assert reply.json["code"] == "not_ready"

    fakes.run(test)


def test_team_sees_only_its_own_queue() -> None:
    async def test(instance: fakes.Instance) -> None:
        _fill_queue(instance)
        everything = (await instance.call("/v1/queues", fakes.OPERATOR)).json
        own = (await instance.call("/v1/queues", SMALL.credential)).json
        found = [(g["tier"], g["team"], g["waiting"]) for g in everything["waiting"]]
        assert found == [
            ("urgent", LARGE.name, 1),
            ("urgent", SMALL.name, 1),
            ("background", LARGE.name, 1),
        ]
        assert [group["team"] for group in own["waiting"]] == [SMALL.name]
        assert not own["running"]

    fakes.run(test, operators=OPERATORS)


def test_team_sees_only_its_own_refusals() -> None:
    async def test(instance: fakes.Instance) -> None:
        for number, team in enumerate([LARGE, SMALL]):
            entry = instance.entry(team.name, unique=f"u{number}")
            instance.owned._refuse(entry, exceptions.Shed("engines are full"))
        instance.reports.record_refusal(exceptions.BadId(), "nonsense", "")
        everything = (await instance.call("/v1/history", fakes.OPERATOR)).json
        own = (await instance.call("/v1/history", SMALL.credential)).json
        refused = [event for event in everything if event["name"] == "refused"]
        codes = [event["fields"]["code"] for event in refused]
        assert codes == ["bad_id", "shed_overload", "shed_overload"]
        assert refused[0]["fields"]["id"] == "nonsense"
        assert refused[1]["fields"]["message"] == "engines are full"
        assert [event["team"] for event in own] == [SMALL.name]

    fakes.run(test, operators=OPERATORS)


def test_history_retains_and_counts_alarms(caplog: pytest.LogCaptureFixture) -> None:
    async def test(instance: fakes.Instance) -> None:
        logging.getLogger("cassiaquay").setLevel(logging.INFO)
        logs.trouble("peer_not_reading", peer="cq-2")
        events = (await instance.call("/v1/history?limit=1")).json
        assert events[0]["name"] == "peer_not_reading"
        assert events[0]["alarm"]
        assert events[0]["fields"]["peer"] == "cq-2"
        page = (await instance.call("/metrics")).body.decode()
        assert 'cassiaquay_alarms_total{event="peer_not_reading"} 1' in page

    fakes.run(test)


def test_event_fields_that_json_cannot_encode_are_shown_as_text() -> None:
    async def test(instance: fakes.Instance) -> None:
        logging.getLogger("cassiaquay").setLevel(logging.INFO)
        logs.event("odd", cause=ValueError("no"), parts={"a"}, member=object())
        fields = (await instance.call("/v1/history?limit=1")).json[0]["fields"]
        assert fields["cause"] == "no"
        assert fields["parts"] == ["a"]
        assert fields["member"].startswith("<object")

    fakes.run(test)


def test_history_is_bounded() -> None:
    async def test(instance: fakes.Instance) -> None:
        for number in range(9):
            instance.reports.history.add_refusal("", number=number)
        events = (await instance.call("/v1/history")).json
        assert [event["fields"]["number"] for event in events] == [8, 7, 6]

    fakes.run(test, reports={"history": 3})


def test_explains_a_described_request() -> None:
    async def test(instance: fakes.Instance) -> None:
        shard = _fill_queue(instance)
        shard.closed_servers.add("tutor-1")
        path = f"/v1/explain?service=tutor-assist&team={SMALL.name}&tier=standard"
        found = (await instance.call(path)).json
        assert (found["tier"], found["rank"]) == ("standard", 2)
        assert found["keeper"] == "cq-1"
        placement = found["placement"]
        assert (placement["ahead_higher"], placement["ahead_same"]) == (2, 0)
        verdicts = {item["server"]: item["verdict"] for item in placement["servers"]}
        assert verdicts["tutor-1"] == "leaving: gets no new work"
        assert verdicts["tutor-2"] == "fits"
        assert placement["server"] in ("tutor-2", "tutor-3", "tutor-4", "tutor-5")
        weighed = {item["server"]: item["finish_ms"] for item in placement["servers"]}
        assert weighed[placement["server"]] > 0

    fakes.run(test)


def test_servers_are_shown_before_the_first_demand() -> None:
    """An operator inspects a new fleet before its first request.

    Keepers create a shard at its first demand. The backend servers are shown and
    explained before that, and reading them does not create the shard.
    """

    async def test(instance: fakes.Instance) -> None:
        found = (await instance.call("/v1/servers")).json
        assert sorted(item["server"] for item in found) == sorted(fakes.NAMES)
        path = "/v1/explain?service=bookings-app&team=parents"
        placement = (await instance.call(path)).json["placement"]
        assert placement["server"] == "bookings-1"
        assert not placement["keeper_since_open"]
        assert not instance.kept.shards

    fakes.run(test)


def test_servers_that_leave_or_ask_for_time_are_shown() -> None:
    """Guards against an operator who cannot see why a server gets no requests."""

    async def test(instance: fakes.Instance) -> None:
        states = instance.kept.states
        states.departures.learn("tutor-1", 1, "cq-2")
        states.backoffs.add("tutor-2", 30.0)
        found = (await instance.call("/v1/servers")).json
        shown = {item["server"]: item["state"] for item in found}
        assert shown["tutor-1"] == "leaving, known for 0 s from cq-2"
        assert shown["tutor-2"].startswith("asked this instance to wait, ")
        path = f"/v1/explain?service=tutor-assist&team={SMALL.name}&tier=standard"
        placement = (await instance.call(path)).json["placement"]
        verdicts = {item["server"]: item["verdict"] for item in placement["servers"]}
        assert verdicts["tutor-1"] == "leaving: gets no new work"

    fakes.run(test)


def test_placement_of_a_long_answer_finishes_later_than_a_short_one() -> None:
    """Guards against losing `output_tokens` in the call to the keeper.

    An instance that is not the keeper fetches the placement from the keeper. Without
    the size of the answer, every engine appeared to complete it at once.
    """

    async def test(instance: fakes.Instance) -> None:
        _fill_queue(instance)
        path = "/v1/placement?shard=engines%230&prompt_tokens=10&output_tokens="
        times = []
        for tokens in (1, 1000):
            found = (await instance.call(f"{path}{tokens}")).json
            times.append(min(item["finish_ms"] for item in found["servers"]))
        assert times[1] > 10 * times[0]

    fakes.run(test)


def test_explains_why_a_team_above_its_share_waits() -> None:
    """Guards against an operator who cannot see that a flood is held back by its share.

    A team sees its own share only.
    """

    async def test(instance: fakes.Instance) -> None:
        shard = _fill_queue(instance)
        shard.shares.grant(0, LARGE.name, 900)
        shard.shares.grant(0, SMALL.name, 100)
        path = "/v1/placement?shard=engines%230&id=id-1&rank=0"
        found = (await instance.call(f"{path}&team={LARGE.name}", fakes.OPERATOR)).json
        assert (found["team_share"], found["fair_share"]) == (0.9, 0.5)
        assert found["team_reason"].endswith("teams that got less go first")
        assert found["ahead_same"] == 1
        other = (await instance.call(path, SMALL.credential)).json
        assert "team_share" not in other
        shard.shed(shard.queue["id-1"], "shed_overload", 100)
        page = (await instance.call("/metrics", fakes.OPERATOR)).body.decode()
        assert 'shed_requests_total{shard="engines#0",share="above"} 1' in page

    keeper = {"policy": "objectives", "team_shares": "pool"}
    fakes.run(test, operators=OPERATORS, keeper=keeper)


def test_explains_a_request_by_id_only_to_its_team() -> None:
    async def test(instance: fakes.Instance) -> None:
        entry = instance.entry(LARGE.name)
        instance.owned._refuse(entry, exceptions.DeadlineInfeasible())
        path = f"/v1/explain?id={entry.accepted.id.text}"
        found = (await instance.call(path, LARGE.credential)).json
        assert found["state"] == "refused"
        assert any("deadline_infeasible" in reason for reason in found["reasons"])
        assert (await instance.call(path, SMALL.credential)).status == 404

    fakes.run(test, operators=OPERATORS)


def test_explain_refuses_invalid_queries_with_a_message() -> None:
    async def test(instance: fakes.Instance) -> None:
        for query, status in (
            ("id=nonsense", 400),
            ("service=none&team=feedback", 400),
            ("service=tutor-assist&team=feedback&prompt_tokens=-1", 400),
        ):
            reply = await instance.call(f"/v1/explain?{query}")
            assert reply.status == status
            assert reply.json["message"]

    fakes.run(test)


def test_configuration_shows_rejected_and_pending_revisions() -> None:
    async def test(instance: fakes.Instance) -> None:
        instance.configured.accept(platform.Published(2, "tiers = 1"))
        instance.membership.learn(
            messages.Member(
                "cq-2", "b" * 12, "leicester", "h", "p", 1, False, 0.0, 3, 1.0, "a", 1.0
            )
        )
        found = (await instance.call("/v1/configuration")).json
        assert (found["revision"], found["pending"]) == (1, 3)
        assert "text_shape" in found["rejected"]["2"]
        instances = (await instance.call("/v1/instances")).json
        assert [item["instance"] for item in instances] == ["cq-1", "cq-2"]

    fakes.run(test)

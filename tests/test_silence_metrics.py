"""Metrics and the alarm of silent servers, and of answers that are given up."""

import gateway_fakes
import operators_fakes
import policy_fakes
import pytest

from cassiaquay_daemon.operators import reports, silences

SERVICE = "tutor-assist"
KEPT_CAUSES = (
    "attempts",
    "budget",
    "quarantined",
    "no_permit",
    "unreachable",
    "declined",
    "silent",
)


@pytest.fixture(name="time")
def _time():
    with policy_fakes.Time().used() as time:
        yield time


class Alarms:
    """The alarm with a manual clock, and the lines that it has logged."""

    def __init__(self, time: policy_fakes.Time, caplog: pytest.LogCaptureFixture):
        self.given_up = silences.GivenUpAnswers()
        self._time = time
        self._caplog = caplog

    @property
    def lines(self) -> list[tuple[str, int, str]]:
        """Service, count and servers of each alarm."""
        found = []
        for record in self._caplog.records:
            if record.message == "answers_given_up":
                assert record.levelname == "WARNING"
                fields = vars(record)
                found.append((fields["service"], fields["count"], fields["servers"]))
        return found

    def fall_silent(self, server: str, outcome: str = "ended") -> None:
        """Record the end of a silence."""
        self.given_up.record_silence(SERVICE, server, outcome)

    def lose(self, server: str) -> None:
        """Record a lost answer."""
        code = silences.LOST_CODE
        self.given_up.record_end(SERVICE, server, "outcome_unknown", code)

    def complete(self, server: str, service: str = SERVICE) -> None:
        """Record a complete answer."""
        self.given_up.record_end(service, server, "completed", "completed")

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self._time.now += seconds


@pytest.fixture(name="alarms")
def _alarms(time, caplog) -> Alarms:
    return Alarms(time, caplog)


def _finished(
    server: str = "i-1", code: str = silences.LOST_CODE, cause: str = ""
) -> reports.Finished:
    outcome = "completed" if code == "completed" else "outcome_unknown"
    return reports.Finished(
        SERVICE,
        "rank-0",
        "team",
        server,
        outcome,
        code,
        seconds=1.0,
        first_seconds=0.0,
        within_seconds=2.0,
        prompt_tokens=0,
        output_tokens=0,
        cause=cause,
    )


def test_silences_are_shown_by_service_and_outcome() -> None:
    async def test(instance: operators_fakes.Instance) -> None:
        record = instance.reports.record_silence
        record(reports.Silence(SERVICE, "i-1", 1.25, "answered"))
        record(reports.Silence(SERVICE, "i-2", 0.125, "answered"))
        record(reports.Silence(SERVICE, "i-1", 1.4, "left"))
        page = (await instance.call("/metrics")).body.decode()
        name = "cassiaquay_gateway_silence_seconds"
        answered = f'outcome="answered",service="{SERVICE}"'
        assert f'{name}_bucket{{le="0.25",{answered}}} 1' in page
        assert f'{name}_bucket{{le="1.5",{answered}}} 2' in page
        assert f"{name}_sum{{{answered}}} 1.375\n" in page
        assert f'{name}_count{{outcome="left",service="{SERVICE}"}} 1' in page

    operators_fakes.run(test)


def test_kept_servers_are_counted_by_cause() -> None:
    async def test(instance: operators_fakes.Instance) -> None:
        for cause in (*KEPT_CAUSES, "budget"):
            instance.reports.record_kept(reports.Kept(SERVICE, cause))
        page = (await instance.call("/metrics")).body.decode()
        for cause in KEPT_CAUSES:
            line = (
                "cassiaquay_gateway_kept_servers_total"
                f'{{cause="{cause}",service="{SERVICE}"}}'
            )
            assert f"{line} {2 if cause == 'budget' else 1}\n" in page

    operators_fakes.run(test)


def test_late_refusals_are_counted_by_code() -> None:
    """Guards against refusals that come late and are not seen by operators."""

    async def test(instance: operators_fakes.Instance) -> None:
        record = instance.reports.record_gateway_request
        # The objective is 2 s.
        for seconds, was_offered in ((0.24, False), (0.26, False), (0.26, True)):
            refused = _finished(code="shed_overload")
            record(refused._replace(seconds=seconds, was_offered=was_offered))
        page = (await instance.call("/metrics")).body.decode()
        labels = f'code="shed_overload",service="{SERVICE}"'
        assert f"cassiaquay_gateway_late_refusals_total{{{labels}}} 1\n" in page

    operators_fakes.run(test)


def test_lost_answers_are_counted_by_the_cause_that_the_log_names() -> None:
    """Guards against one code that stands for several causes in the metrics."""

    async def test(instance: operators_fakes.Instance) -> None:
        for cause in (
            "no server took it",
            "the budget is spent",
            "the budget is spent",
        ):
            instance.reports.record_gateway_request(_finished(cause=cause))
        instance.reports.record_gateway_request(_finished(cause=""))
        instance.reports.record_gateway_request(_finished(code="completed"))
        page = (await instance.call("/metrics")).body.decode()
        name = "cassiaquay_gateway_lost_answers_total"
        found = {line for line in page.splitlines() if line.startswith(name + "{")}
        assert found == {
            f'{name}{{cause="no server took it",service="{SERVICE}"}} 1',
            f'{name}{{cause="the budget is spent",service="{SERVICE}"}} 2',
            f'{name}{{cause="{reports.OTHER_CAUSE}",service="{SERVICE}"}} 1',
        }

    operators_fakes.run(test)


def test_varying_causes_of_lost_answers_do_not_grow_the_page() -> None:
    async def test(instance: operators_fakes.Instance) -> None:
        for number in range(5 * reports.MAX_LOST_CAUSES):
            instance.reports.record_gateway_request(_finished(cause=f"{number}"))
        page = (await instance.call("/metrics")).body.decode()
        assert page.count("cassiaquay_gateway_lost_answers_total{") == (
            reports.MAX_LOST_CAUSES + 1
        )

    operators_fakes.run(test)


def test_gateway_reports_reach_the_metrics_page_and_the_alarm(caplog) -> None:
    async def work(site: gateway_fakes.Site) -> None:
        accounts = site.gateway(0).accounting
        accounts.record_silence(reports.Silence("plain", "i-1-plain", 0.3, "ended"))
        accounts.record_silence(reports.Silence("plain", "i-2-plain", 0.3, "ended"))
        accounts.record_kept(reports.Kept("plain", "budget"))
        assert (await site.ask("/safe/x")).status == 200
        admin = site.daemons[0]._membership.admin_address
        async with site.http.get(f"http://{admin}/metrics") as response:
            page = await response.text()
        count = 'cassiaquay_gateway_silence_seconds_count{outcome="ended",service='
        assert f'{count}"plain"}} 2' in page
        kept = 'cassiaquay_gateway_kept_servers_total{cause="budget",service="plain"} 1'
        assert kept in page
        assert 'cassiaquay_alarms_total{event="answers_given_up"} 1' in page

    gateway_fakes.run(work)
    assert caplog.messages.count("answers_given_up") == 1


def test_alarm_names_servers_that_answer_after_answers_were_given_up(alarms) -> None:
    """Guards against lost answers of sound servers without an alarm."""
    alarms.fall_silent("i-1")
    alarms.lose("i-2")
    alarms.lose("i-1")
    alarms.lose("i-1")
    assert alarms.lines == []
    alarms.wait(0.5)
    alarms.complete("i-1")
    # One of the two requests lost at i-1 was silent before; it counts once.
    assert alarms.lines == [(SERVICE, 2, "i-1")]


def test_no_alarm_while_the_servers_answer_nobody(alarms) -> None:
    alarms.lose("i-1")
    alarms.fall_silent("i-1")
    alarms.complete("i-2")
    alarms.complete("i-1", service="another")
    alarms.wait(silences.WINDOW_SECONDS + 0.1)
    alarms.complete("i-1")
    assert alarms.lines == []


@pytest.mark.parametrize("outcome", ["answered", "moved", "left"])
def test_no_alarm_after_silences_that_cost_no_answer(alarms, outcome: str) -> None:
    alarms.fall_silent("i-1", outcome)
    alarms.complete("i-1")
    assert alarms.lines == []


def test_alarms_of_a_service_are_few_and_count_all(alarms) -> None:
    for _ in range(100):
        alarms.lose("i-1")
        alarms.complete("i-1")
        alarms.wait(0.05)
    assert alarms.lines == [(SERVICE, 1, "i-1")]
    alarms.lose("i-2")
    alarms.wait(silences.ALARM_PERIOD_SECONDS - 4.0)
    alarms.complete("i-2")
    assert alarms.lines[1:] == [(SERVICE, 100, "i-1,i-2")]
    alarms.wait(silences.ALARM_PERIOD_SECONDS)
    alarms.complete("i-1")
    assert len(alarms.lines) == 2


def test_memory_of_the_alarm_is_bounded(alarms) -> None:
    for number in range(1000):
        alarms.lose(f"i-{number}")
        alarms.wait(0.1)
    [found] = alarms.given_up._services.values()
    assert len(found.losses) <= silences.WINDOW_SECONDS / 0.1 + 1

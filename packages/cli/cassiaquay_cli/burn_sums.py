"""Error-budget burn of service-level objectives, summed over a fleet's instances."""

import time
import typing

from cassiaquay_schema import bodies

from . import clients

# Burn rates of the usual two-window alarms. A rate of 14.4 spends a thirtieth of a
# month's budget in 1.4 hours; a rate of 1 spends the budget exactly in its period.
PAGE_RATE = 14.4
TICKET_RATE = 1.0
FAST_WINDOWS = ("5m", "1h")
SLOW_WINDOWS = ("6h", "3d")
PERIOD_WINDOW = "3d"
MAX_BURNERS = 5
# Fewer bad requests raise no alarm: with little traffic, a single one is a high rate.
MIN_BAD_REQUESTS = 5


class WindowBurn(typing.TypedDict):
    """Counts and burn rate of one objective in one window.

    Attributes
    ----------
    name : str
        Name of the window.
    total, good : int
        Numbers of requests.
    rate : float or None
        Share of bad requests divided by the share that the objective allows; None
        without requests.
    """

    name: str
    total: int
    good: int
    rate: float | None


class Burner(typing.TypedDict):
    """A team or backend server and its share of an objective's bad requests."""

    axis: str
    name: str
    bad: int
    total: int
    part: float


class ObjectiveBurn(typing.TypedDict):
    """Burn rates, remaining budget and largest burners of one objective."""

    service: str
    tier: str
    share: float
    within_ms: int
    windows: list[WindowBurn]
    budget_left: float | None
    verdict: str
    burners: list[Burner]


class PartialInstance(typing.TypedDict):
    """An instance whose counts cover less than the longest window."""

    instance: str
    incarnation: str
    since: float
    counted_seconds: float


class Bucket(typing.TypedDict):
    """One time bucket of a plot."""

    age_seconds: float
    total: int
    good: int


class Series(typing.TypedDict):
    """The buckets of one objective from one ring, oldest first."""

    service: str
    tier: str
    ring: str
    bucket_seconds: float
    points: list[Bucket]


class Report(typing.TypedDict):
    """Burn of all objectives of a fleet, with the instances that are not covered."""

    at: float
    revision: int
    instances: int
    objectives: list[ObjectiveBurn]
    missing: list[dict[str, str]]
    young: list[PartialInstance]
    coverage: dict[str, float]
    excluded: int
    series: list[Series]


def report(collected: clients.Collected[bodies.Burn]) -> Report:
    """Sum the counts of all instances to the burn of the fleet."""
    answers = list(collected.answers.values())
    newest = max(answers, key=lambda item: item["revision"], default=None)
    objectives = newest["objectives"] if newest is not None else []
    fleet_report = Report(
        at=time.time(),
        revision=newest["revision"] if newest is not None else 0,
        instances=len(answers),
        objectives=[_objective(item, answers) for item in objectives],
        missing=[dict(item._asdict()) for item in collected.missing],
        young=_partial_instances(answers),
        coverage=_coverage(answers, len(collected.missing)),
        excluded=sum(item["report"]["excluded"] for item in answers),
        series=[],
    )
    for objective in objectives:
        for ring in ("fast", "slow"):
            fleet_report["series"].append(_series(objective, ring, answers))
    return fleet_report


def is_burning(fleet_report: Report) -> bool:
    """Return whether any objective has a verdict that needs attention."""
    return any(
        item["verdict"] in ("page", "ticket") for item in fleet_report["objectives"]
    )


def _objective(
    objective: bodies.Objective, answers: list[bodies.Burn]
) -> ObjectiveBurn:
    windows = []
    for name in (*FAST_WINDOWS, *SLOW_WINDOWS):
        total, good = _sum_by_name(objective, answers, name, "all").get("", (0, 0))
        windows.append(
            WindowBurn(
                name=name,
                total=total,
                good=good,
                rate=rate(objective["share"], total, good),
            )
        )
    period_window = windows[-1]
    left = None if period_window["rate"] is None else 1.0 - period_window["rate"]
    return ObjectiveBurn(
        service=objective["service"],
        tier=objective["tier"],
        share=objective["share"],
        within_ms=objective["within_ms"],
        windows=windows,
        budget_left=left,
        verdict=_verdict(windows),
        burners=_burners(objective, answers),
    )


def _sum_by_name(
    objective: bodies.Objective, answers: list[bodies.Burn], window: str, axis: str
) -> dict[str, tuple[int, int]]:
    sums: dict[str, tuple[int, int]] = {}
    for answer in answers:
        for item in answer["report"]["windows"]:
            if item["name"] != window:
                continue
            for count in item["counts"]:
                if count["axis"] != axis or not _matches(objective, count):
                    continue
                total, good = sums.get(count["name"], (0, 0))
                sums[count["name"]] = (total + count["total"], good + count["good"])
    return sums


def _matches(objective: bodies.Objective, count: bodies.Count | bodies.Point) -> bool:
    return (
        count["service"] == objective["service"] and count["tier"] == objective["tier"]
    )


def rate(share: float, total: int, good: int) -> float | None:
    """Return the burn rate of an objective of ``share``, None without requests."""
    if not total:
        return None
    bad = (total - good) / total
    allowed = 1.0 - share
    if allowed <= 0.0:
        # An objective of 100% has no budget, so any bad request gives a very high rate.
        return 0.0 if not bad else bad * total * PAGE_RATE
    return bad / allowed


def _verdict(windows: list[WindowBurn]) -> str:
    rates = {item["name"]: item["rate"] for item in windows}
    bad = {item["name"]: item["total"] - item["good"] for item in windows}
    if all(rate is None for rate in rates.values()):
        return "no data"
    # An alarm needs both windows of a pair: the long one shows that the loss is
    # significant, the short one that it continues.
    if (
        bad[FAST_WINDOWS[-1]] < MIN_BAD_REQUESTS
        and bad[SLOW_WINDOWS[-1]] < MIN_BAD_REQUESTS
    ):
        return "ok"
    if all((rates[name] or 0.0) >= PAGE_RATE for name in FAST_WINDOWS):
        return "page"
    if all((rates[name] or 0.0) >= TICKET_RATE for name in SLOW_WINDOWS):
        return "ticket"
    return "ok"


def _burners(objective: bodies.Objective, answers: list[bodies.Burn]) -> list[Burner]:
    total, good = _sum_by_name(objective, answers, PERIOD_WINDOW, "all").get("", (0, 0))
    burners = []
    for axis in ("team", "server"):
        rows = []
        for name, (name_total, name_good) in _sum_by_name(
            objective, answers, PERIOD_WINDOW, axis
        ).items():
            bad = name_total - name_good
            if not bad:
                continue
            part = bad / max(total - good, 1)
            rows.append(
                Burner(axis=axis, name=name, bad=bad, total=name_total, part=part)
            )
        rows.sort(key=lambda row: row["bad"], reverse=True)
        burners += rows[:MAX_BURNERS]
    return burners


def _partial_instances(answers: list[bodies.Burn]) -> list[PartialInstance]:
    partial = []
    for answer in answers:
        window = answer["report"]["windows"][-1]
        if window["counted_seconds"] >= window["seconds"]:
            continue
        partial.append(
            PartialInstance(
                instance=answer["instance"],
                incarnation=answer["incarnation"],
                since=answer["since"],
                counted_seconds=window["counted_seconds"],
            )
        )
    return partial


def _coverage(answers: list[bodies.Burn], missing: int) -> dict[str, float]:
    """Return by window the share of the instances' time that their counts cover."""
    coverage = {}
    for name in (*FAST_WINDOWS, *SLOW_WINDOWS):
        counted = 0.0
        for answer in answers:
            for window in answer["report"]["windows"]:
                if window["name"] == name:
                    counted += window["counted_seconds"] / window["seconds"]
        coverage[name] = counted / max(len(answers) + missing, 1)
    return coverage


def _series(
    objective: bodies.Objective, ring: str, answers: list[bodies.Burn]
) -> Series:
    seconds = 60.0 if ring == "fast" else 3600.0
    for answer in answers:
        windows = {item["name"]: item for item in answer["report"]["windows"]}
        seconds = windows["1h"]["seconds"] / 60.0
        if ring == "slow":
            seconds = windows["3d"]["seconds"] / 72.0
    buckets: dict[int, list[int]] = {}
    for answer in answers:
        points = answer["report"]["fast"]
        if ring == "slow":
            points = answer["report"]["slow"]
        for point in points:
            if not _matches(objective, point):
                continue
            bucket = buckets.setdefault(int(point["age_seconds"] / seconds), [0, 0])
            bucket[0] += point["total"]
            bucket[1] += point["good"]
    plot_points = []
    for number in sorted(buckets, reverse=True):
        total, good = buckets[number]
        plot_points.append(Bucket(age_seconds=number * seconds, total=total, good=good))
    return Series(
        service=objective["service"],
        tier=objective["tier"],
        ring=ring,
        bucket_seconds=seconds,
        points=plot_points,
    )

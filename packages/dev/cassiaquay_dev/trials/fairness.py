"""How fairly teams were served, inside each tier."""

from .. import deployments
from ..standins import blocks
from . import bench_driver


def jain(values: list[float]) -> float:
    """Return Jain's index of fairness, 1 for equal values.

    Source: Jain, Chiu and Hawe, DEC-TR-301, 1984.
    """
    squares = sum(value * value for value in values)
    if not squares:
        return 1.0
    return sum(values) ** 2 / (len(values) * squares)


def fair_shares(
    wanted: dict[str, float], weights: dict[str, float], total: float
) -> dict[str, float]:
    """Return the weighted max-min fair division of ``total`` over what is wanted."""
    given = dict.fromkeys(wanted, 0.0)
    left = total
    hungry = set(wanted)
    while hungry and left > 1e-9:
        unit = left / sum(weights[name] for name in hungry)
        full = [n for n in hungry if wanted[n] - given[n] <= unit * weights[n]]
        if not full:
            for name in hungry:
                given[name] += unit * weights[name]
            return given
        for name in full:
            left -= wanted[name] - given[name]
            given[name] = wanted[name]
            hungry.discard(name)
    return given


def fairness(
    records: list[bench_driver.Record], deployment: deployments.Deployment
) -> float:
    """Return how fairly teams were served: the mean over tiers of Jain's index.

    In each tier, what teams got is compared to their weighted max-min fair shares of
    what all got in that tier, in prompt and answer tokens of requests answered in
    time; tiers count by what was got in them.
    """
    total = 0.0
    sum_of_tiers = 0.0
    weights = {team.name: team.weight for team in deployment.teams}
    for tier in deployment.tiers:
        wanted = dict.fromkeys(weights, 0.0)
        got = dict(wanted)
        for record in records:
            arrival = record.arrival
            if arrival.tier != tier or arrival.path:
                continue
            tokens = blocks.count_tokens(arrival.prompt) + arrival.max_tokens
            wanted[arrival.team.name] += tokens
            if record.in_time:
                got[arrival.team.name] += tokens
        tier_total = sum(got.values())
        fair = fair_shares(wanted, weights, tier_total)
        shares = [got[name] / fair[name] for name in got if fair[name]]
        if shares:
            total += tier_total
            sum_of_tiers += tier_total * jain(shares)
    return sum_of_tiers / total if total else 1.0

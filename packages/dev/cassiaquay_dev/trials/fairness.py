"""Fairness between teams within each tier."""

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
    demanded: dict[str, float], weights: dict[str, float], total: float
) -> dict[str, float]:
    """Return the weighted max-min fair allocation of ``total`` to the demands."""
    allocated = dict.fromkeys(demanded, 0.0)
    remaining = total
    unsatisfied = set(demanded)
    while unsatisfied and remaining > 1e-9:
        share_per_weight = remaining / sum(weights[name] for name in unsatisfied)
        satisfied = [
            n
            for n in unsatisfied
            if demanded[n] - allocated[n] <= share_per_weight * weights[n]
        ]
        if not satisfied:
            for name in unsatisfied:
                allocated[name] += share_per_weight * weights[name]
            return allocated
        for name in satisfied:
            remaining -= demanded[name] - allocated[name]
            allocated[name] = demanded[name]
            unsatisfied.discard(name)
    return allocated


def fairness(
    records: list[bench_driver.Record], deployment: deployments.Deployment
) -> float:
    """Return the mean over tiers of Jain's index, weighted by the tokens served.

    The index of a tier is computed over the teams' served tokens divided by their
    weighted max-min fair shares of all tokens served in the tier. Prompt and answer
    tokens of requests answered in time count as served.
    """
    total = 0.0
    sum_of_tiers = 0.0
    weights = {team.name: team.weight for team in deployment.teams}
    for tier in deployment.tiers:
        demanded = dict.fromkeys(weights, 0.0)
        received = dict(demanded)
        for record in records:
            arrival = record.arrival
            if arrival.tier != tier or arrival.path:
                continue
            tokens = blocks.count_tokens(arrival.prompt) + arrival.max_tokens
            demanded[arrival.team.name] += tokens
            if record.in_time:
                received[arrival.team.name] += tokens
        tier_total = sum(received.values())
        fair = fair_shares(demanded, weights, tier_total)
        shares = [received[name] / fair[name] for name in received if fair[name]]
        if shares:
            total += tier_total
            sum_of_tiers += tier_total * jain(shares)
    return sum_of_tiers / total if total else 1.0

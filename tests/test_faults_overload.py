"""More work than the engines can do; real processes."""

import asyncio
import pathlib

import fault_runs

import cassiaquay
from cassiaquay_dev.trials import history


def test_under_overload_important_work_is_served_and_refusals_are_true(
    tmp_path: pathlib.Path,
) -> None:
    """Urgent callers see whole answers; background callers see "not run" at once.

    A burst of several times what the engines can do in time arrives in all tiers.
    Whatever is refused was seen by no engine, and no shard sheds a tier while it
    grants to a lower one.
    """

    async def work() -> None:
        async with fault_runs.start(tmp_path) as run:
            # Each caller's retries are bounded, so that the burst stays a burst.
            session = run.session(budget_capacity=0.0, budget_ratio=0.0)
            asked: dict[str, list[asyncio.Task[object]]] = {}
            for number in range(100):
                tier = ("urgent", "standard", "background", "background")[number % 4]
                asking = run.ask(
                    session, f"{number}", max_tokens=60, tier=tier, deadline=4.0
                )
                asked.setdefault(tier, []).append(asyncio.create_task(asking))
            done = {}
            for tier, tasks in asked.items():
                found = await asyncio.gather(*tasks)
                whole = [one for one in found if isinstance(one, cassiaquay.Answer)]
                done[tier] = len(whole) / len(found)
            assert done["urgent"] > done["background"]
            seen = history.History()
            await history.collect(run.cluster, seen)
            assert [one for one in seen.of(history.Ended) if one.outcome == "not_run"]
            # Without sheds and grants the check of the tiers would prove nothing.
            assert seen.of(history.Shed)
            assert seen.of(history.Granted)

    fault_runs.bounded(work())

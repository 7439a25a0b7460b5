"""Overload of the engines, in a cluster of real processes."""

import asyncio
import pathlib

import fault_runs

import cassiaquay
from cassiaquay_dev.trials import history


def test_under_overload_important_work_is_served_and_refusals_are_true(
    tmp_path: pathlib.Path,
) -> None:
    """Urgent requests get whole answers; background requests get ``not_run`` at once.

    A burst of several times the engines' capacity arrives in all tiers. No engine
    receives a refused request, and no shard sheds a tier while it grants permits to a
    lower one.
    """

    async def scenario() -> None:
        async with fault_runs.start(tmp_path) as run:
            # Without retries, which would spread the burst over a longer time.
            session = run.session(budget_capacity=0.0, budget_ratio=0.0)
            tasks_by_tier: dict[str, list[asyncio.Task[object]]] = {}
            for number in range(100):
                tier = ("urgent", "standard", "background", "background")[number % 4]
                request = run.ask(
                    session, f"{number}", max_tokens=60, tier=tier, deadline=4.0
                )
                tasks_by_tier.setdefault(tier, []).append(asyncio.create_task(request))
            shares = {}
            for tier, tasks in tasks_by_tier.items():
                results = await asyncio.gather(*tasks)
                whole = [
                    item for item in results if isinstance(item, cassiaquay.Answer)
                ]
                shares[tier] = len(whole) / len(results)
            assert shares["urgent"] > shares["background"]
            collected = history.History()
            await history.collect(run.cluster, collected)
            assert [
                event
                for event in collected.of(history.Ended)
                if event.outcome == "not_run"
            ]
            # The checker's rule on tiers is tested only by runs with sheds and grants.
            assert collected.of(history.Shed)
            assert collected.of(history.Granted)

    fault_runs.run_with_timeout(scenario())

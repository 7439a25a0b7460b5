"""The whole path in separate processes: callers, daemons, engines, plain servers."""

import asyncio
import pathlib

from cassiaquay_dev import cluster, demo, deployments, driver, workloads


def test_every_answer_is_whole_and_dispatched_once(tmp_path: pathlib.Path) -> None:
    async def run() -> None:
        deployment = deployments.BRINDLEY
        started = cluster.Cluster(deployment, 3, tmp_path)
        try:
            await started.start()
            arrivals = workloads.mixed(deployment, 7, 4.0, 10.0)
            sender = driver.Driver(started.seeds, deployment.domains)
            results = await sender.run(arrivals)
            promises = await demo.check(started, results)
        finally:
            codes = await started.stop()
        assert [result.outcome for result in results] == ["completed"] * len(arrivals)
        assert promises.dispatches == len(arrivals)
        assert not promises.broken
        assert set(codes.values()) == {0}

    asyncio.run(run())

"""End-to-end tests with callers, daemons, engines and plain servers as processes."""

import asyncio
import pathlib

import cassiaquay
from cassiaquay_dev import cluster, demo, deployments
from cassiaquay_dev.trials import checker, driver, history, workloads


def test_every_answer_is_whole_and_dispatched_once(tmp_path: pathlib.Path) -> None:
    async def run() -> None:
        deployment = deployments.BRINDLEY
        recorder = history.Recorder()
        processes = cluster.Cluster(deployment, 3, tmp_path, level="DEBUG")
        try:
            await processes.start()
            arrivals = workloads.mixed(deployment, 7, 4.0, 10.0)
            sender = driver.Driver(processes.seeds, deployment.domains, recorder.watch)
            results = await sender.run(arrivals)
            await history.collect_back_ends(processes, recorder.history)
        finally:
            exit_codes = await processes.stop()
        history.collect_daemons(processes, recorder.history)
        demo.record_answers(recorder, results)
        assert [result.outcome for result in results] == ["completed"] * len(arrivals)
        assert len(recorder.history.of(history.Arrived)) == len(arrivals)
        assert len(recorder.history.of(history.Answered)) > 0
        assert not checker.check(recorder.history)
        assert set(exit_codes.values()) == {0}

    asyncio.run(run())


def test_a_plain_service_answers_with_its_own_body(tmp_path: pathlib.Path) -> None:
    async def run() -> None:
        deployment = deployments.BRINDLEY
        processes = cluster.Cluster(deployment, 2, tmp_path)
        try:
            await processes.start()
            team = deployment.teams[0]
            settings = cassiaquay.Settings(
                seeds=processes.seeds, credential=team.credential
            )
            async with cassiaquay.Session(settings) as session:
                answer = await session.call(
                    deployment.plain_service, "/book", {"day": 3}, idempotent=False
                )
        finally:
            await processes.stop()
        assert answer.json()["echo"] == {"day": 3}
        assert answer.json()["path"] == "/book"

    asyncio.run(run())

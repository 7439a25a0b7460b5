"""All instances of a plan in virtual time, one of them out of step.

Links, store, servers and callers follow the plan.
"""

import asyncio
import contextvars
import functools
import random
import typing
from unittest import mock

import out_of_step_fakes as surroundings
import out_of_step_instances as instances
import out_of_step_plans as plans

from cassiaquay_daemon import clock
from cassiaquay_dev.lab import virtual_time
from cassiaquay_schema import messages


class Fleet:
    """All instances of a plan."""

    def __init__(self, plan: plans.Plan):
        self.plan = plan
        self.outcomes: list[instances.Outcome] = []
        self.instances: dict[str, instances.Instance] = {}
        self._arrivals: dict[tuple[str, str], float] = {}
        for name, domain in plan.instances.items():
            self.instances[name] = self._own(name).run(
                instances.Instance, self, name, domain
            )

    async def play(self) -> None:
        """Play the plan to its end."""
        loop = asyncio.get_running_loop()
        for instance in self.instances.values():
            for other in self.instances.values():
                instance.members.learn(other.members.own_fact)
        for name, instance in self.instances.items():
            self._own(name).run(instance.start)
        for process in self.plan.processes:
            if process.dead_at < plans.NEVER:
                address = f"10.0.0.{process.name.partition('-')[2]}:80"
                for name in self.instances:
                    loop.call_at(
                        process.dead_at + instances.CONNECT_SECONDS / 2.0,
                        self._note_reset,
                        name,
                        address,
                        context=self._own(name),
                    )
        for name, (killed_at, back_at) in self.plan.kills.items():
            loop.call_at(killed_at, self._kill, name)
            loop.call_at(back_at, self._restart, name, context=self._own(name))
        for fault in self.plan.faults:
            loop.call_at(fault.ended_at + self.plan.relink_seconds, self._relink, fault)
        playing = [loop.create_task(self._play(item)) for item in self.plan.streams]
        await asyncio.sleep(self.plan.ended_at)
        for task in playing:
            if task.done():
                task.result()

    def transmit(self, sender: str, receiver: str, message: messages.Message) -> None:
        """Deliver a message to a handler, or hold or lose it."""
        plan = self.plan
        now = clock.now()
        if self.instances[sender].is_dead:
            return
        at = now + plan.delay_seconds * plan.random.uniform(0.5, 1.5)
        for fault in plan.faults:
            if not fault.holds(now) or not plan.is_cut(fault.kind, sender, receiver):
                continue
            if not plan.keeps_messages:
                return
            at = max(at, fault.ended_at + plan.random.uniform(0.0, 0.3))
        key = (sender, receiver)
        self._arrivals[key] = at = max(at, self._arrivals.get(key, 0.0))
        asyncio.get_running_loop().call_at(
            at, self._deliver, sender, receiver, message, context=self._own(receiver)
        )

    def _deliver(self, sender: str, receiver: str, message: messages.Message) -> None:
        wire = self.instances[receiver].wire
        if self.instances[receiver].is_dead:
            return
        wire.handlers[type(message)](wire.end(sender), message)

    def _create(self, name: str, domain: str) -> instances.Instance:
        return instances.Instance(self, name, domain)

    def _note_reset(self, name: str, address: str) -> None:
        if not self.instances[name].is_dead:
            self.instances[name].note_reset(address)

    def _kill(self, name: str) -> None:
        """Kill an instance, which resets its links."""
        self.instances[name].kill()
        for other, instance in self.instances.items():
            if not instance.is_dead:
                for call in instance.wire.down_calls:
                    self._schedule(other, call, instance.wire.end(name))

    def _restart(self, name: str) -> None:
        """Start an instance again, which knows nothing."""
        made = self.instances[name] = instances.Instance(
            self, name, self.plan.instances[name]
        )
        made.paths.processes.doubt_all()
        made.start()
        for other, instance in self.instances.items():
            if other == name or instance.is_dead:
                continue
            made.members.learn(instance.members.own_fact)
            for call in instance.wire.up_calls:
                self._schedule(other, call, instance.wire.end(name))

    def _relink(self, fault: plans.Fault) -> None:
        """Tell both ends of the links that a fault has broken."""
        odd = self.plan.odd
        for name in self.instances:
            if not self.plan.is_cut(fault.kind, name, odd):
                if not self.plan.is_cut(fault.kind, odd, name):
                    continue
            for own, other in ((odd, name), (name, odd)):
                wire = self.instances[own].wire
                for call in wire.up_calls:
                    self._schedule(own, call, wire.end(other))

    async def _play(self, stream: plans.Stream) -> None:
        """Let a caller begin a stream and take it up until it goes on."""
        await asyncio.sleep(stream.began_at)
        began_at = clock.now()
        beginning = self.instances[stream.instance]
        if beginning.is_dead:
            return
        run = await self._at(stream.instance, beginning.begin, stream)
        if run is None or beginning.is_dead:
            return
        await self._at(stream.instance, run.run)
        resumes = stream.attempt if stream.is_recorded else f"{stream.attempt}-other"
        for number, (seconds, name) in enumerate(stream.visits):
            await asyncio.sleep(seconds)
            left = max(began_at + plans.CALLER_SECONDS - clock.now(), 0.05)
            attempt = f"{stream.attempt}-{number}"
            asked = self.instances[name]
            if asked.is_dead:
                continue
            outcome = await self._at(name, asked.take_up, run, attempt, resumes, left)
            if asked.is_dead:
                continue
            self.outcomes.append(outcome)
            if outcome.result == instances.JOINED:
                return

    async def _at(
        self, name: str, work: typing.Any, *arguments: typing.Any
    ) -> typing.Any:
        """Run something at an instance, which reads the request when it is awake."""
        done = asyncio.get_running_loop().create_future()
        self._schedule(name, self._start, done, name, work, arguments)
        return await done

    def _schedule(
        self, name: str, call: typing.Any, *arguments: typing.Any
    ) -> asyncio.TimerHandle:
        """Call something at an instance as soon as it is awake."""
        return asyncio.get_running_loop().call_at(
            clock.now(), call, *arguments, context=self._own(name)
        )

    def _start(
        self,
        done: asyncio.Future,
        name: str,
        work: typing.Any,
        arguments: tuple,
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            work(*arguments), context=self._own(name)
        )
        task.add_done_callback(functools.partial(_finish, done))

    def _own(self, name: str) -> contextvars.Context:
        context = contextvars.copy_context()
        context.run(surroundings.OWNER.set, name)
        return context


def _finish(done: asyncio.Future, task: asyncio.Task) -> None:
    if done.cancelled() or task.cancelled():
        done.cancel()
    elif task.exception() is not None:
        done.set_exception(task.exception())
    else:
        done.set_result(task.result())


def play(plan: plans.Plan) -> list[instances.Outcome]:
    """Return what became of the streams of a plan."""
    loop = surroundings.Loop()
    loop.plan = plan
    before = clock.use(loop.time)
    state = random.getstate()
    random.seed(0)

    async def work() -> list[instances.Outcome]:
        made = Fleet(plan)
        await made.play()
        return made.outcomes

    try:
        with mock.patch("time.time", side_effect=lambda: plans.EPOCH + loop.time()):
            return loop.run_until_complete(work())
    finally:
        loop.run_until_complete(virtual_time._cancel_remaining_tasks())
        random.setstate(state)
        clock.use(before)
        loop.close()

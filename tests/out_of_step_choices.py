"""Random choices of what happens around an instance out of step."""

import out_of_step_plans as plans

DOMAINS = (("a", "b", "c"), ("a", "a", "b", "b"), ("a", "a", "a"), ("a", "b", "c", "a"))
# Those of the third instance are kept by the first two.
LOST_DOMAINS = ("a", "b", "c", "c")
MAX_STREAMS = 14
# The entry of a server that has crashed expires after this time.
EXPIRY_SECONDS = 3.6
# Instances that are cut off have been forgotten after this time.
FORGOTTEN_SECONDS = 8.2
# The instance out of step is returned to this often.
ODD_SHARE = 0.7
NEAR_SHARE = 0.8
ISOLATED = (plans.STORE, plans.OTHERS)


def make(seed: int, kind: str = "", seconds: float = 0.0) -> plans.Plan:
    """Return a plan with a fault of a kind and a duration, or of any."""
    plan = plans.Plan(seed, DOMAINS[seed % len(DOMAINS)])
    chance = plan.random
    _choose_network(plan)
    began_at = plans.LATE_SECONDS
    if chance.random() < 0.2:
        began_at = plans.EARLY_SECONDS
    seconds = seconds or chance.choice(plans.SECONDS)
    kind = kind or chance.choice(plans.KINDS)
    plan.faults.append(plans.Fault(kind, began_at, began_at + seconds))
    if chance.random() < 0.3:
        # Another one begins meanwhile.
        other = chance.choice([*plans.KINDS, plans.OUTAGE])
        at = began_at + chance.uniform(0.0, seconds)
        if other != kind:
            length = chance.choice(plans.SECONDS[:3])
            plan.faults.append(plans.Fault(other, at, at + length))
    _add_servers(plan)
    ended_at = began_at + seconds
    for _ in range(chance.randint(1, 5)):
        _change(plan, chance.uniform(began_at - 2.0, ended_at + 1.0))
    _add_streams(plan, began_at - 1.0, ended_at + 1.0)
    return plan


def make_release(seed: int, kind: str, seconds: float) -> plans.Plan:
    """Return a plan in which one instance misses a release, and takes streams up.

    Servers of the new version join while it is out of step, and another one restarts.
    """
    plan = plans.Plan(seed, DOMAINS[0])
    chance = plan.random
    _choose_network(plan)
    plan.delay_seconds = chance.choice([0.01, 0.1])
    began_at = plans.LATE_SECONDS
    ended_at = began_at + seconds
    plan.faults.append(plans.Fault(kind, began_at, ended_at))
    for number in (1, 2):
        plan.processes.append(plans.Process(f"i-{number}", "v1", -30.0, -29.0))
    joined_at = ended_at - chance.uniform(0.1, min(seconds, 2.0) + 0.5)
    for number in (3, 4):
        at = joined_at + chance.uniform(0.0, 0.1)
        plan.processes.append(plans.Process(f"i-{number}", "v2", at - 1.0, at))
    dead_at = joined_at + chance.uniform(0.0, 0.5)
    born = dead_at + 0.1
    listed_at = born + chance.choice([0.0, 0.3, 1.0])
    old = plan.processes.pop(1)
    plan.processes.append(old._replace(removed_at=listed_at, dead_at=dead_at))
    plan.processes.append(plans.Process(old.name, "v2", born, listed_at))
    for number in range(MAX_STREAMS):
        plan.streams.append(
            plans.Stream(
                f"s{number}-{chance.random()}",
                chance.uniform(joined_at, ended_at + 0.5),
                chance.choice(["cq-2", "cq-3"]),
                0.02,
                ((chance.choice([0.0, 0.1]), plan.odd),) * 2,
            )
        )
    return plan


def make_killed(seed: int) -> plans.Plan:
    """Return a plan in which all others are killed while one is out of step.

    No instance knows the streams then, and all answer so. A version may have come and
    gone meanwhile.
    """
    plan = plans.Plan(seed, DOMAINS[seed % len(DOMAINS)])
    chance = plan.random
    _choose_network(plan)
    plan.delay_seconds = chance.choice([0.001, 0.01])
    plan.relink_seconds = 0.0
    began_at = chance.choice([plans.LATE_SECONDS, plans.EARLY_SECONDS])
    seconds = chance.choice([1.0, 3.0, 3.0, 10.0])
    ended_at = began_at + seconds
    for kind in chance.choice(
        [(plans.PAUSE,), ISOLATED, (chance.choice(plans.KINDS),)]
    ):
        plan.faults.append(plans.Fault(kind, began_at, ended_at))
    _add_servers(plan)
    killed_at = ended_at + chance.uniform(-min(seconds, 3.0), 0.3)
    for name in plan.instances:
        if name != plan.odd:
            at = killed_at + chance.uniform(0.0, 0.2)
            plan.kills[name] = (at, at + chance.uniform(1.0, 1.5))
    # A server that comes and goes, or stays.
    joined_at = killed_at - chance.uniform(0.5, 3.0)
    left_at = chance.choice([plans.NEVER, joined_at + chance.uniform(2.0, 4.0)])
    plan.processes.append(
        plans.Process(
            "i-9", "v2", joined_at - 1.0, joined_at, plans.NEVER, left_at, left_at
        )
    )
    for _ in range(chance.randint(0, 2)):
        _change(plan, chance.uniform(joined_at - 1.0, killed_at))
    others = list(plan.kills)
    for number in range(MAX_STREAMS):
        at = chance.uniform(joined_at, killed_at)
        visits = []
        for _ in range(2):
            name = plan.odd if chance.random() < ODD_SHARE else chance.choice(others)
            visits.append((chance.uniform(0.5, 2.5), name))
        plan.streams.append(
            plans.Stream(
                f"s{number}-{chance.random()}",
                at,
                chance.choice(others),
                chance.choice([0.02, 0.5]),
                tuple(visits),
            )
        )
    # One of unknown origin, for which the instance reads the history early.
    early = plans.Stream("early", 3.0, others[0], 0.02, ((0.1, plan.odd),), False)
    plan.streams.append(early)
    return plan


def make_lost(seed: int) -> plans.Plan:
    """Return a plan in which those that know streams are killed while one is cut off.

    The instance that is left answers that it does not know them, while the entry of the
    server that began them still describes the process before.
    """
    plan = plans.Plan(seed, LOST_DOMAINS)
    chance = plan.random
    # Others take 0.9 s to suspect an instance whose links are reset.
    restarted_at = plans.LATE_SECONDS + 0.94
    plan.faults.append(plans.Fault(plans.OTHERS, restarted_at - 0.05, 15.3))
    born = restarted_at + 0.01
    # Later than a read that a take-up demands.
    listed_at = born + 1.4
    plan.processes = [
        plans.Process("i-1", "v1", -30.0, -29.0),
        plans.Process("i-2", "v1", -30.0, -29.0, plans.NEVER, listed_at, restarted_at),
        plans.Process("i-2", "v2", born, listed_at),
    ]
    killed_at = restarted_at + 0.05
    for name in ("cq-2", "cq-3"):
        plan.kills[name] = (killed_at, killed_at + 3.0)
    for number in range(MAX_STREAMS):
        began_at = chance.uniform(born, born + 0.01)
        visit = killed_at + chance.uniform(0.91, 0.94)
        seconds = 0.01
        visits = ((visit - began_at - seconds, plan.odd),)
        plan.streams.append(
            plans.Stream(f"s{number}-{seed}", began_at, "cq-3", seconds, visits)
        )
    return plan


def make_outdated(seed: int) -> plans.Plan:
    """Return a plan in which only the list is outdated, for less than a gap.

    Servers join while one instance is cut off, and all others are killed. They answer
    that they know nothing, before the instance gets their list.
    """
    plan = plans.Plan(seed, DOMAINS[seed % len(DOMAINS)])
    chance = plan.random
    began_at = plans.LATE_SECONDS
    plan.store_seconds = 0.3
    killed_at = began_at + 1.2
    ended_at = killed_at + 1.0
    for kind in ISOLATED:
        plan.faults.append(plans.Fault(kind, began_at, ended_at))
    plan.processes = [plans.Process("i-1", "v1", -30.0, -29.0)]
    for number in (2, 3, 4):
        plan.processes.append(plans.Process(f"i-{number}", "v2", 13.0, began_at + 0.05))
    others = [name for name in plan.instances if name != plan.odd]
    for name in others:
        plan.kills[name] = (killed_at, ended_at + chance.uniform(0.02, 0.05))
    for number in range(MAX_STREAMS):
        at = killed_at - chance.uniform(0.03, 0.15)
        visits = ((ended_at + chance.uniform(0.06, 0.2) - at - 0.02, plan.odd),)
        plan.streams.append(
            plans.Stream(f"s{number}-{seed}", at, chance.choice(others), 0.02, visits)
        )
    return plan


def make_vanished(seed: int, is_forgotten: bool = False) -> plans.Plan:
    """Return a plan in which no list and no history shows what began the streams.

    A server restarts and ends again before its entry follows, while one instance is cut
    off from the others. It suspects them, or has forgotten them, when streams are taken
    up there.
    """
    plan = plans.Plan(seed, DOMAINS[seed % len(DOMAINS)])
    chance = plan.random
    began_at = plans.LATE_SECONDS
    kind = chance.choice([plans.OTHERS, plans.DEAF, plans.MUTE])
    plan.faults.append(plans.Fault(kind, began_at, began_at + 10.0))
    restarted_at = began_at + 0.5
    born = restarted_at + 0.05
    ended_at = born + 0.5
    expired_at = restarted_at + EXPIRY_SECONDS
    plan.processes = [
        plans.Process("i-1", "v1", -30.0, -29.0),
        plans.Process("i-2", "v1", -30.0, -29.0, plans.NEVER, expired_at, restarted_at),
        plans.Process("i-2", "v2", born, plans.NEVER, dead_at=ended_at),
    ]
    others = [name for name in plan.instances if name != plan.odd]
    since, until = expired_at, began_at + FORGOTTEN_SECONDS - 0.5
    if is_forgotten:
        since, until = began_at + FORGOTTEN_SECONDS, began_at + 9.5
    for number in range(MAX_STREAMS):
        at = chance.uniform(born, ended_at - 0.1)
        seconds = chance.uniform(since, until) - at
        visits = ((seconds, plan.odd),)
        plan.streams.append(
            plans.Stream(f"s{number}-{seed}", at, chance.choice(others), 0.02, visits)
        )
    return plan


def make_wake_up(seed: int, seconds: float) -> plans.Plan:
    """Return a plan in which the first pass after a pause reads streams to take up.

    A server has restarted in another version shortly before. During a long pause, which
    others notice and send the instance no list any more, further ones have joined.
    """
    plan = make_release(seed, plans.PAUSE, seconds)
    chance = plan.random
    plan.delay_seconds = 0.1
    ended_at = plan.faults[0].ended_at
    dead_at = ended_at - 0.35
    old = plans.Process("i-2", "v1", -30.0, -29.0, plans.NEVER, dead_at + 1.05, dead_at)
    plan.processes = [
        plans.Process("i-1", "v1", -30.0, -29.0),
        old,
        plans.Process("i-2", "v2", dead_at + 0.05, dead_at + 1.05),
    ]
    if seconds >= plans.LONG_SECONDS:
        joined_at = ended_at - 0.9
        for name in ("i-3", "i-4"):
            plan.processes.append(plans.Process(name, "v2", joined_at - 1.0, joined_at))
    plan.streams = []
    for number in range(MAX_STREAMS):
        plan.streams.append(
            plans.Stream(
                f"s{number}-{chance.random()}",
                chance.uniform(dead_at + 0.05, ended_at - 0.05),
                chance.choice(["cq-2", "cq-3"]),
                0.02,
                ((0.0, plan.odd),),
            )
        )
    return plan


def make_calm(
    seed: int,
    versions: tuple[str, ...],
    is_recorded: bool = True,
    kinds: tuple[str, ...] = plans.CHANGES,
) -> plans.Plan:
    """Return a plan without faults, in which servers of some versions change."""
    plan = plans.Plan(seed, DOMAINS[seed % len(DOMAINS)])
    chance = plan.random
    plan.has_heartbeats = chance.random() < 0.5
    plan.store_seconds = chance.choice([0.003, 0.03])
    _add_servers(plan, versions[:1])
    for _ in range(chance.randint(0, 4)):
        at = plans.LATE_SECONDS + chance.uniform(-1.0, 2.0)
        _change(plan, at, versions, kinds)
    _add_streams(plan, plans.LATE_SECONDS, plans.LATE_SECONDS + 3.0)
    plan.streams = [item._replace(is_recorded=is_recorded) for item in plan.streams]
    return plan


def _choose_network(plan: plans.Plan) -> None:
    chance = plan.random
    plan.delay_seconds = chance.choice([0.001, 0.01, 0.04, 0.1])
    plan.store_seconds = chance.choice([0.003, 0.03, 0.3])
    plan.keeps_messages = chance.random() < 0.5
    plan.relink_seconds = chance.choice([0.0, 0.05, 0.4])
    plan.has_heartbeats = chance.random() < 0.5


def _add_servers(plan: plans.Plan, versions: tuple[str, ...] = ("v1",)) -> None:
    chance = plan.random
    states_start = chance.random() < 0.85
    for number in range(chance.randint(2, 4)):
        born = -chance.uniform(20.0, 60.0)
        version = chance.choice(versions)
        plan.processes.append(
            plans.Process(
                f"i-{number + 1}",
                version,
                born,
                born + 1.0,
                states_start=states_start or number > 0,
            )
        )


def _change(
    plan: plans.Plan,
    at: float,
    versions: tuple[str, ...] = ("v1", "v2", "v2", "v2"),
    kinds: tuple[str, ...] = plans.CHANGES,
) -> None:
    """Let a server come, leave, crash or restart."""
    chance = plan.random
    kind = chance.choice(kinds)
    version = chance.choice(versions)
    if kind == "join":
        name = f"i-{len(plan.processes) + 1}"
        born = at - chance.uniform(0.1, 1.0)
        plan.processes.append(plans.Process(name, version, born, at))
        return
    standing = []
    for process in plan.processes:
        if process.listed_at <= at and process.dead_at == plans.NEVER:
            if process.draining_at == plans.NEVER:
                standing.append(process)
    if kind == "restart":
        # Without a stated start, a restart under a name leaves nothing to compare.
        standing = [process for process in standing if process.states_start]
    if len(standing) < 2:
        return
    old = chance.choice(standing)
    plan.processes.remove(old)
    if kind == "drain":
        removed_at = at + chance.uniform(0.0, 2.0)
        plan.processes.append(
            old._replace(draining_at=at, removed_at=removed_at, dead_at=removed_at)
        )
    elif kind == "leave":
        plan.processes.append(old._replace(removed_at=at, dead_at=at))
    elif kind == "crash":
        plan.processes.append(old._replace(removed_at=at + EXPIRY_SECONDS, dead_at=at))
    else:
        born = at + chance.uniform(0.05, 0.3)
        listed_at = born + chance.choice([0.0, 0.3, 1.0])
        plan.processes.append(old._replace(removed_at=listed_at, dead_at=at))
        plan.processes.append(plans.Process(old.name, version, born, listed_at))


def _add_streams(plan: plans.Plan, since: float, until: float) -> None:
    chance = plan.random
    others = [name for name in plan.instances if name != plan.odd]
    # Most begin around a change, and are taken up during the fault or at its end.
    moments = [fault.ended_at for fault in plan.faults]
    for process in plan.processes:
        for at in (process.born, process.listed_at, process.removed_at):
            if since <= at <= until:
                moments.append(at)
    for number in range(MAX_STREAMS):
        began_at = chance.uniform(since, until)
        if moments and chance.random() < NEAR_SHARE:
            began_at = max(chance.choice(moments) + chance.uniform(-0.5, 1.0), since)
        visits = []
        for _ in range(3):
            name = plan.odd
            if chance.random() > ODD_SHARE:
                name = chance.choice(others)
            visits.append((chance.choice([0.0, 0.01, 0.1, 0.5]), name))
        plan.streams.append(
            plans.Stream(
                f"s{number}-{chance.random()}",
                began_at,
                chance.choice(others),
                chance.choice([0.02, 0.2, 0.8]),
                tuple(visits),
            )
        )

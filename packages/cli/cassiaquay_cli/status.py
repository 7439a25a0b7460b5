"""``cassiaquay status``: instances, configuration, backend servers and queues."""

import time
import typing

from cassiaquay_schema import bodies

from . import clients, commands, exceptions, outputs


class Fleet(typing.NamedTuple):
    """State of a fleet, collected from all its instances."""

    instances: list[bodies.Instance]
    statuses: clients.Collected[bodies.Status]
    servers: list[bodies.Server]
    waiting: list[bodies.Group]
    shedding: list[bodies.Running]


async def collect(client: clients.Client) -> Fleet:
    """Collect the state of the fleet from all instances."""
    instances = await client.instances()
    statuses = await client.collect("/v1/status", bodies.Status, instances)
    servers = await client.collect("/v1/servers", list[bodies.Server], instances)
    queues = await client.collect("/v1/queues", bodies.Queues, instances)
    lines = []
    for collected in servers.answers.values():
        lines.extend(collected)
    lines.sort(key=lambda line: (line["shard"], line["server"]))
    return Fleet(
        instances,
        statuses,
        lines,
        all_waiting(queues.answers),
        shedding_shards(queues.answers),
    )


def all_waiting(answers: dict[str, bodies.Queues]) -> list[bodies.Group]:
    """Return the waiting requests at all keepers; with a team's credential, its own."""
    collected: list[bodies.Group] = []
    for answer in answers.values():
        collected.extend(answer["waiting"])
    return collected


def shedding_shards(answers: dict[str, bodies.Queues]) -> list[bodies.Running]:
    """Return the shards that currently shed a tier."""
    collected: list[bodies.Running] = []
    for answer in answers.values():
        collected.extend(item for item in answer["running"] if item["shedding"])
    return collected


async def team_output(client: clients.Client) -> outputs.Output:
    """Return the output for a team: the instances and its own waiting requests."""
    instances = await client.instances()
    queues = await client.collect("/v1/queues", bodies.Queues, instances)
    groups, missing = all_waiting(queues.answers), queues.missing
    rows = []
    for item in instances:
        rows.append([item["instance"], item["domain"], item["state"], item["http"]])
    texts = [
        outputs.table(["instance", "domain", "state", "http"], rows),
        queue_table(groups),
        *clients.missing_lines(missing),
    ]
    data = {
        "instances": instances,
        "waiting": groups,
        "missing": [item._asdict() for item in missing],
    }
    code = outputs.EXIT_PARTIAL if missing else outputs.EXIT_COMPLETE
    return outputs.Output("\n\n".join(texts), data, code)


def instance_table(fleet: Fleet) -> str:
    """Return a table with one row for each instance."""
    rows = []
    for item in fleet.instances:
        name = item["instance"]
        status = fleet.statuses.answers.get(name)
        if status is None:
            state = item["state"]
            if state != "silent":
                state += ", no answer"
            rows.append([name, item["domain"], state, "", "", "", item["admin"]])
            continue
        age = outputs.duration(time.time() - status["since"])
        rows.append(
            [
                name,
                item["domain"],
                "leaving" if status["leaving"] else item["state"],
                str(status["revision"]),
                str(status["open"]),
                age,
                item["admin"],
            ]
        )
    header = ["instance", "domain", "state", "revision", "open", "up", "admin"]
    if any("capacity" in item for item in fleet.instances):
        header += ["class", "callers"]
        for item, row in zip(fleet.instances, rows, strict=True):
            row += capacity_cells(item)
    return outputs.table(header, rows)


def capacity_cells(item: bodies.Instance) -> list[str]:
    """Return the class of an instance and its share of callers."""
    capacity = item.get("capacity")
    if capacity is None:
        return ["", ""]
    name = "best" if capacity["best_class"] else "other"
    if capacity["slow"]:
        name += ", slow"
    return [name, f"{capacity['caller_share']:.1%}"]


def configuration_line(fleet: Fleet) -> str:
    """Return the configuration in force, and a line for each newer rejected one."""
    revisions = {item["revision"] for item in fleet.statuses.answers.values()}
    if not revisions:
        return "configuration: unknown"
    newest = max(revisions)
    if len(revisions) == 1:
        text = f"configuration: revision {newest} everywhere"
    else:
        behind = []
        for name, item in fleet.statuses.answers.items():
            if item["revision"] < newest:
                behind.append(f"{name} ({item['revision']})")
        text = f"configuration: revision {newest}, pending at {', '.join(behind)}"
    rejected = {}
    for item in fleet.statuses.answers.values():
        for revision, cause in item["rejected"].items():
            if int(revision) > newest:
                rejected[revision] = cause
    for revision, cause in rejected.items():
        text += f"\nrevision {revision} was rejected: {cause}"
    return text


def server_table(fleet: Fleet) -> str:
    """Return a table with one row for each backend server."""
    rows = []
    for item in fleet.servers:
        load = f"{item['requests']}/{item['slots']}"
        tokens = str(item["tokens"])
        row = [item["shard"], item["server"], item["domain"], item["state"]]
        rows.append([*row, load, tokens])
    header = ["shard", "server", "domain", "state", "requests", "tokens"]
    return outputs.table(header, rows)


def shedding_lines(fleet: Fleet) -> list[str]:
    """Return one line for each shard that currently sheds a tier."""
    lines = []
    for item in fleet.shedding:
        tier = item["shedding"]
        lines.append(f"{item['shard']} sheds tier {tier} and holds lower ones back")
    return lines


def queue_table(groups: list[bodies.Group]) -> str:
    """Return a table with one row for each tier and team with waiting requests."""
    rows = []
    for item in groups:
        oldest = f"{item['oldest_seconds']:.1f} s"
        row = [item["shard"], item["tier"], item["team"], str(item["waiting"])]
        rows.append([*row, oldest])
    if not rows:
        return "nothing waits"
    return outputs.table(["shard", "tier", "team", "waiting", "oldest"], rows)


@commands.commands.register("status")
def status(at: str = "", json: bool = False) -> outputs.Shown:
    """Show instances, configuration, backend servers and queues of a fleet.

    A team sees the instances and its own queue. Exits 6 when some instances did not
    respond.

    Parameters
    ----------
    at : str
        Operators' address of any instance; CASSIAQUAY_ADMIN otherwise.
    json : bool
        Print JSON.
    """

    async def work(client: clients.Client) -> outputs.Output:
        try:
            fleet = await collect(client)
        except exceptions.NotAllowed:
            # The credential may be a team's. An unknown one is refused again below.
            return await team_output(client)
        parts = [
            instance_table(fleet),
            configuration_line(fleet),
            server_table(fleet),
            queue_table(fleet.waiting),
            *shedding_lines(fleet),
            *clients.missing_lines(fleet.statuses.missing),
        ]
        data = {
            "instances": fleet.instances,
            "statuses": fleet.statuses.answers,
            "missing": [item._asdict() for item in fleet.statuses.missing],
            "servers": fleet.servers,
            "waiting": fleet.waiting,
            "shedding": fleet.shedding,
        }
        exit_code = (
            outputs.EXIT_PARTIAL if fleet.statuses.missing else outputs.EXIT_COMPLETE
        )
        return outputs.Output("\n\n".join(parts), data, exit_code)

    return outputs.show(commands.run(at, work), json)

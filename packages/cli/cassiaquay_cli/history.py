"""``cassiaquay history``: recent events and refusals of all instances, in order."""

import datetime
import typing

from cassiaquay_schema import bodies

from . import clients, commands, outputs


class Line(typing.NamedTuple):
    """An event and the instance that recorded it."""

    instance: str
    event: bodies.Event


def merge(
    collected: clients.Collected[list[bodies.Event]], limit: int, alarms: bool
) -> list[Line]:
    """Return the last events of all instances, oldest first."""
    lines = []
    for instance, events in collected.answers.items():
        for event in events:
            if alarms and not event["alarm"]:
                continue
            lines.append(Line(instance, event))
    lines.sort(key=lambda line: line.event["at"])
    return lines[-limit:]


def format_text(line: Line) -> str:
    """Format an event as one line."""
    event = line.event
    at = datetime.datetime.fromtimestamp(event["at"]).isoformat(" ", "milliseconds")
    mark = "!" if event["alarm"] else " "
    fields = []
    for key, value in event["fields"].items():
        if value in ("", None):
            continue
        fields.append(f"{key}={value}")
    return f"{at} {mark} {line.instance} {event['name']} {' '.join(fields)}"


@commands.commands.register("history")
def history(
    limit: int = 50, alarms: bool = False, at: str = "", json: bool = False
) -> outputs.Shown:
    """Show recent events and refusals of a fleet; exits 6 when instances are missing.

    With a team's credential it shows that team's refusals only.

    Parameters
    ----------
    limit : int
        Lines shown.
    alarms : bool
        Only events that need an operator's attention.
    at : str
        Operators' address of any instance; CASSIAQUAY_ADMIN otherwise.
    json : bool
        Print JSON.
    """

    async def work(client: clients.Client) -> outputs.Output:
        instances = await client.instances()
        collected = await client.collect("/v1/history", list[bodies.Event], instances)
        lines = merge(collected, limit, alarms)
        texts = [format_text(line) for line in lines] or ["no events"]
        texts += clients.missing_lines(collected.missing)
        data = {
            "events": [{"instance": i, **event} for i, event in lines],
            "missing": [item._asdict() for item in collected.missing],
        }
        code = outputs.EXIT_PARTIAL if collected.missing else outputs.EXIT_COMPLETE
        return outputs.Output("\n".join(texts), data, code)

    return outputs.show(commands.run(at, work), json)

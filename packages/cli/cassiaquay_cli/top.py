"""``cassiaquay top``: a live view of the fleet, redrawn periodically."""

import asyncio
import sys

from cassiaquay_schema import bodies

from . import clients, commands, outputs, status

CLEAR = "\x1b[2J\x1b[H"
OUTCOMES = ("completed", "not_run", "outcome_unknown", "failed")


def outcome_rates(
    before: dict[str, bodies.Status], now: dict[str, bodies.Status], seconds: float
) -> dict[str, float]:
    """Return ended requests per second by outcome, summed over all instances."""
    rates = dict.fromkeys(OUTCOMES, 0.0)
    for name, current in now.items():
        old = before.get(name)
        # A restarted instance counts from 0 again, so no rate can be computed.
        if old is None or old["incarnation"] != current["incarnation"]:
            continue
        for outcome, count in current["ended"].items():
            difference = count - old["ended"].get(outcome, 0)
            rates[outcome] = rates.get(outcome, 0.0) + difference / seconds
    return rates


def format_screen(fleet: status.Fleet, speed: dict[str, float]) -> str:
    """Return the text of one screen."""
    parts = [f"{outcome} {value:.1f}/s" for outcome, value in speed.items()]
    texts = [
        "  ".join(parts),
        status.instance_table(fleet),
        status.configuration_line(fleet),
        status.server_table(fleet),
        status.queue_table(fleet.waiting),
        *status.shedding_lines(fleet),
        *clients.missing_lines(fleet.statuses.missing),
    ]
    return "\n\n".join(texts)


@commands.commands.register("top")
def top(every: float = 1.0, times: int = 0, at: str = "") -> outputs.Shown:
    """Show rates, instances, backend servers and queues, live; ends with ctrl-c.

    Parameters
    ----------
    every : float
        Seconds between two screens.
    times : int
        Number of screens; 0 for no limit.
    at : str
        Operators' address of any instance; CASSIAQUAY_ADMIN otherwise.
    """

    async def work(client: clients.Client) -> outputs.Output:
        before = (await status.collect(client)).statuses.answers
        drawn = 0
        while True:
            await asyncio.sleep(every)
            fleet = await status.collect(client)
            now = fleet.statuses.answers
            text = format_screen(fleet, outcome_rates(before, now, every))
            before = now
            drawn += 1
            if times and drawn >= times:
                return outputs.Output(text, None)
            sys.stdout.write(CLEAR + text + "\n")
            sys.stdout.flush()

    return outputs.show(commands.run(at, work), False)

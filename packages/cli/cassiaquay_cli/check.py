"""``cassiaquay check``: validate a fleet text without a running fleet.

The fleet text is the configuration of services, pools, servers, tiers and teams.
"""

import typing

from . import commands, files, outputs


class ItemCounts(typing.TypedDict):
    """Numbers of the items in an accepted text."""

    services: int
    pools: int
    servers: int
    tiers: int
    teams: int


@commands.commands.register("check")
def check(file: str, json: bool = False) -> outputs.Shown:
    """Validate a fleet text without a running fleet; exits 2 when it is refused.

    Parameters
    ----------
    file : str
        Path of the text.
    json : bool
        Print JSON.
    """
    fleet = files.read_fleet(str(file))
    counts = ItemCounts(
        services=len(fleet.services),
        pools=len(fleet.pools),
        servers=sum(len(pool.servers) for pool in fleet.pools.values()),
        tiers=len(fleet.tiers),
        teams=len(fleet.teams),
    )
    text = (
        f"accepted: {counts['services']} services, {counts['pools']} pools,"
        f" {counts['servers']} backend servers, {counts['tiers']} tiers,"
        f" {counts['teams']} teams"
    )
    return outputs.show(outputs.Output(text, counts), json)

"""``cassiaquay explain``: limits, tier, keeper and backend server of a request.

The keeper is the instance that admits requests to a shard.
"""

import urllib.parse

from cassiaquay_schema import bodies

from . import clients, commands, outputs


def format_text(explanation: bodies.Explanation) -> str:
    """Format an explanation as text."""
    lines = []
    if explanation["id"]:
        lines.append(f"request {explanation['id']}: {explanation['state']}")
    lines.append(f"service {explanation['service']}, team {explanation['team']}")
    lines.append(f"tier {explanation['tier']} (rank {explanation['rank']})")
    lines.append(
        f"deadline {explanation['deadline_ms']} ms,"
        f" configuration {explanation['revision']}"
    )
    lines.append(f"shard {explanation['shard']}, kept by {explanation['keeper']}")
    lines += [f"- {reason}" for reason in explanation["reasons"]]
    placement = explanation["placement"]
    if placement is None:
        return "\n".join(lines)
    if not placement["keeper_since_open"]:
        lines.append("- the keeper is new and waits for owners' renewals first")
    lines.append(
        f"- ahead of it: {placement['ahead_higher']} of higher tiers,"
        f" {placement['ahead_same']} of its own"
    )
    if "team_reason" in placement:
        lines.append(f"- {placement['team_reason']}")
    if placement["server"]:
        lines.append(f"- backend server: {placement['server']}")
    else:
        lines.append("- no backend server has free capacity now: it would wait")
    rows = []
    for item in placement["servers"]:
        load = f"{item['requests']}/{item['slots']}"
        tokens = str(item["tokens"])
        if item["limit_tokens"]:
            tokens += f"/{item['limit_tokens']}"
        finish = f"{item['finish_ms'] / 1000:.2f} s" if item["finish_ms"] else ""
        cached = str(item["cached_tokens"])
        rows.append([item["server"], item["verdict"], load, tokens, cached, finish])
    header = ["server", "verdict", "requests", "tokens", "cached", "whole after"]
    return "\n".join(lines) + "\n\n" + outputs.table(header, rows)


@commands.commands.register("explain")
def explain(
    id: str = "",
    service: str = "",
    team: str = "",
    tier: str = "",
    prompt_tokens: int = 0,
    output_tokens: int = 256,
    at: str = "",
    json: bool = False,
) -> outputs.Shown:
    """Explain a request by its id, or where a described request would go.

    Parameters
    ----------
    id : str
        Request id; the explanation comes from the request's owner.
    service, team, tier : str
        A described request; without a tier, the first of the team's tiers.
    prompt_tokens, output_tokens : int
        Size of the described request.
    at : str
        Operators' address of any instance; CASSIAQUAY_ADMIN otherwise.
    json : bool
        Print JSON.
    """
    query = {
        "id": id,
        "service": service,
        "team": team,
        "tier": tier,
        "prompt_tokens": prompt_tokens,
        "output_tokens": output_tokens,
    }
    path = "/v1/explain?" + urllib.parse.urlencode(query)

    async def work(client: clients.Client) -> outputs.Output:
        explanation = await client.get(path, bodies.Explanation)
        return outputs.Output(format_text(explanation), explanation)

    return outputs.show(commands.run(at, work), json)

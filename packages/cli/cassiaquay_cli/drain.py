"""``cassiaquay drain``: shut down one instance gracefully."""

import asyncio

from cassiaquay_schema import bodies

from . import clients, commands, exceptions, outputs

POLL_SECONDS = 0.3


def find_instance(
    instances: list[bodies.Instance], name: str, force: bool
) -> bodies.Instance:
    """Return the instance to drain.

    Raise UnknownInstance when no live instance has this name, and LastInstance when no
    other instance serves, unless ``force``.
    """
    live = [item for item in instances if item["admin"]]
    named = [item for item in live if item["instance"] == name]
    if not named:
        known = ", ".join(item["instance"] for item in live) or "none"
        raise exceptions.UnknownInstance(f"no live instance {name!r}; live: {known}")
    others = []
    for item in live:
        if item["state"] == "serving" and item["instance"] != name:
            others.append(item["instance"])
    if not others and not force:
        raise exceptions.LastInstance(
            f"{name} is the last instance that serves: callers would have no address;"
            " use --force to drain it nevertheless"
        )
    return named[0]


async def wait_until_gone(client: clients.Client, address: str, timeout: float) -> None:
    """Wait until an instance stops responding; raise DrainTimeout after ``timeout``."""
    end = asyncio.get_running_loop().time() + timeout
    while True:
        try:
            await client.get("/v1/status", bodies.Status, address)
        except exceptions.NoResponse:
            return
        if asyncio.get_running_loop().time() > end:
            raise exceptions.DrainTimeout(
                f"the instance still has open requests after {timeout:g} s and exits"
                " when they have ended; `cassiaquay status` shows how many"
            )
        await asyncio.sleep(POLL_SECONDS)


@commands.commands.register("drain")
def drain(
    instance: str,
    at: str = "",
    wait: bool = True,
    timeout: float = 60.0,
    force: bool = False,
    json: bool = False,
) -> outputs.Shown:
    """Shut one instance down gracefully; no request in progress is cut off.

    Parameters
    ----------
    instance : str
        Name of the instance.
    at : str
        Operators' address of any instance; CASSIAQUAY_ADMIN otherwise.
    wait : bool
        Return only after it has shut down; --nowait returns at once.
    timeout : float
        Longest wait in seconds.
    force : bool
        Drain also the last instance that serves.
    json : bool
        Print JSON.
    """

    async def work(client: clients.Client) -> outputs.Output:
        target = find_instance(await client.instances(), str(instance), force)
        await client.post("/v1/drain", target["admin"])
        if wait:
            await wait_until_gone(client, target["admin"], timeout)
        text = f"{instance} has gone" if wait else f"{instance} is draining"
        return outputs.Output(text, {"instance": instance, "gone": wait})

    return outputs.show(commands.run(at, work), json)

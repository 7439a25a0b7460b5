"""Members of fleets of several sizes, as facts that a peer sends."""

from cassiaquay_schema import messages

LARGE = (717, 100_000)
SMALL = (516, 5_000)
DOMAIN_COUNT = 4


def member(number: int, capacity: tuple[int, int], **changes) -> messages.Member:
    """Return the fact on one serving instance that places keepers by capacity."""
    name = f"cq-{number}"
    fact = messages.Member(
        name,
        f"{number:012x}",
        f"domain-{number % DOMAIN_COUNT}",
        f"{name}:80",
        f"{name}:81",
        1,
        False,
        0.0,
        1,
        1.0,
        f"{name}:82",
        1.0,
        "",
        [],
        *capacity,
        True,
    )
    return fact._replace(**changes)


def fleet(large: int = 8, small: int = 78) -> list[messages.Member]:
    """Return a fleet, by default with the sizes of the larger deployment."""
    capacities = [LARGE] * large + [SMALL] * small
    return [member(number, size) for number, size in enumerate(capacities)]


def slowed(members: list[messages.Member], names: set[str]) -> list[messages.Member]:
    """Return the members, of which those named are slow."""
    return [fact._replace(slow=fact.instance in names) for fact in members]

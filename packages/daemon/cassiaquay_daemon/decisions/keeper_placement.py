"""Decides which instances may be keepers.

Load pattern: 8 of 86 instances have links of 100 Mbit/s, the others of 5 Mbit/s. In a
burst the keeper of a shard receives and sends some 500 KB/s, most of a small link, and
hundreds of requests spend half of their objective on the way to a server. Another time
15% of the instances are 6.5 times slower for 4 s, and each request to a shard whose
keeper is among them is late.

Instances agree on a keeper only if they choose among the same names. So a choice is a
function of the members' facts alone: no clock, no random numbers and no settings that
may differ between instances.
"""

import collections.abc
import operator
import typing

from cassiaquay_schema import messages, registry

from . import capacities

EVEN = "even"
CAPACITY = "capacity"

# An instance belongs to the best class if its link has at least this share of the best
# one, and its processor this share of the best one among those with such links.
CLASS_LINK_SHARE = 0.5
CLASS_PROCESSOR_SHARE = 0.9
# With fewer instances or domains, the end of one would move too many shards at once.
MIN_CLASS_SIZE = 4
MIN_CLASS_DOMAINS = 2
# If fewer than this many are not slow, and fewer than half of all, they would have to
# carry the roles of the whole fleet and become slow themselves.
MIN_FAST_SIZE = 4

Members = collections.abc.Sequence[messages.Member]
# The fields that placements depend on. Others, like the load, change all the time.
relevant_fields = operator.attrgetter(
    "instance", "domain", "processor_permille", "link_kbps", "by_capacity", "slow"
)


class Placement(typing.NamedTuple):
    """The instances that may be keepers.

    Attributes
    ----------
    level : str
        Which set the keepers of shards are chosen from: "best_class", "not_slow" or
        "all".
    shards : frozenset of str
        Instances that may be keepers of shards.
    limits : frozenset of str
        Instances that may be keepers of teams' and services' limits. These roles cost
        little, so they are spread over instances of all classes.
    """

    level: str
    shards: frozenset[str]
    limits: frozenset[str]


Place = collections.abc.Callable[[Members], Placement]
placements: registry.Registry[Place] = registry.Registry("placement")


@placements.register(EVEN)
def place_evenly(serving: Members) -> Placement:
    """Return that any serving instance may be a keeper."""
    everybody = _names(serving)
    return Placement("all", everybody, everybody)


@placements.register(CAPACITY)
def place_by_capacity(serving: Members) -> Placement:
    """Return the largest instances that are not slow, if there are enough of them."""
    if not all(member.by_capacity for member in serving):
        # An instance with the other setting, or of a version without it, chooses among
        # all instances. Two keepers of each shard would fill the servers twice, for as
        # long as the settings are rolled out; so all choose as that one does.
        return place_evenly(serving)
    fast = [member for member in serving if not member.slow]
    if len(fast) < min(MIN_FAST_SIZE, len(serving) / 2):
        return place_evenly(serving)
    limits = _names(fast)
    best = best_class(fast)
    domains = {member.domain for member in best}
    if len(best) >= MIN_CLASS_SIZE and len(domains) >= MIN_CLASS_DOMAINS:
        return Placement("best_class", _names(best), limits)
    return Placement("not_slow", limits, limits)


def best_class(members: Members) -> list[messages.Member]:
    """Return the members with the best links, and among them the best processors."""
    known = capacities.of(members)
    best_link = max((capacity.link_kbps for capacity in known.values()), default=0)
    least_link = CLASS_LINK_SHARE * best_link
    linked = [m for m in members if known[m.instance].link_kbps >= least_link]
    best_processor = max(
        (known[member.instance].processor_permille for member in linked), default=0
    )
    least_processor = CLASS_PROCESSOR_SHARE * best_processor
    return [
        m for m in linked if known[m.instance].processor_permille >= least_processor
    ]


def _names(members: Members) -> frozenset[str]:
    return frozenset(member.instance for member in members)

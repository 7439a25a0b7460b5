"""Which instances callers should use: live, near, lightly loaded, never leaving."""

import random
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from ..fleet import members
from ..owners import tokens

MAX_ADDRESSES = 16
DOMAIN_WEIGHT = 16.0


class Address(typing.TypedDict):
    """One address of an answer."""

    address: str
    instance: str
    domain: str
    token: str


class AddressAnswer(typing.TypedDict):
    """What a caller gets that asks for addresses."""

    keep_seconds: float
    addresses: list[Address]


def answer(
    settings: settings_schema.Settings, membership: members.Membership, domain: str
) -> AddressAnswer:
    """Return the addresses for a caller in ``domain``, best first."""
    serving = membership.serving()
    ranked = sorted(serving, key=lambda member: _key(member, domain))
    found = []
    for member in ranked[:MAX_ADDRESSES]:
        found.append(
            Address(
                address=member.http,
                instance=member.instance,
                domain=member.domain,
                token=_token(settings, membership, member),
            )
        )
    return AddressAnswer(keep_seconds=settings.owner.keep_seconds, addresses=found)


def _key(member: messages.Member, domain: str) -> float:
    # Each instance draws an exponential time at the rate of its weight, the earliest
    # is first: it is first with a chance in proportion to its weight. So callers
    # spread evenly however many ask between two heartbeats, and a near instance is
    # preferred until it has about DOMAIN_WEIGHT ** 0.5 times the load of a far one.
    weight = 1.0 / (1.0 + member.load) ** 2
    if member.domain == domain:
        weight *= DOMAIN_WEIGHT
    return random.expovariate(weight)


def _token(
    settings: settings_schema.Settings,
    membership: members.Membership,
    member: messages.Member,
) -> str:
    # Every instance knows the shared key and a time of each other one's clock that is
    # never ahead of it: it makes the token itself, so that tokens, which last a
    # minute, need not be told to hundreds of instances all the time.
    if member.instance == settings.instance:
        return membership.mint()
    expiry = membership.uptime(member.instance) + settings.owner.token_seconds
    return tokens.mint(settings.keys[0], member.instance, member.incarnation, expiry)

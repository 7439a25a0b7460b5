"""Selects the instances that a caller should use: live, near and lightly loaded."""

import random
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from ..fleet import members
from ..owners import tokens

MAX_ADDRESSES = 16
DOMAIN_WEIGHT = 16.0


class Address(typing.TypedDict):
    """One instance in the answer to an address lookup."""

    address: str
    instance: str
    domain: str
    token: str


class AddressAnswer(typing.TypedDict):
    """Answer to an address lookup."""

    keep_seconds: float
    addresses: list[Address]


def answer(
    settings: settings_schema.Settings, membership: members.Membership, domain: str
) -> AddressAnswer:
    """Return the addresses for a caller in ``domain``, best first."""
    serving = membership.serving()
    ranked = sorted(serving, key=lambda member: _ranking_key(member, domain))
    selected = []
    for member in ranked[:MAX_ADDRESSES]:
        selected.append(
            Address(
                address=member.http,
                instance=member.instance,
                domain=member.domain,
                token=_member_token(settings, membership, member),
            )
        )
    return AddressAnswer(keep_seconds=settings.owner.keep_seconds, addresses=selected)


def _ranking_key(member: messages.Member, domain: str) -> float:
    # Weighted random order: an exponential draw at the rate of its weight puts each
    # instance first with a probability in proportion to its weight. So callers spread
    # evenly however many ask between two heartbeats, and an instance in the caller's
    # domain is preferred up to about DOMAIN_WEIGHT ** 0.5 times the load of another.
    weight = 1.0 / (1.0 + member.load) ** 2
    if member.domain == domain:
        weight *= DOMAIN_WEIGHT
    return random.expovariate(weight)


def _member_token(
    settings: settings_schema.Settings,
    membership: members.Membership,
    member: messages.Member,
) -> str:
    # Each instance has the shared key and a lower bound of every other instance's
    # uptime, so it mints their tokens itself. Tokens last a minute; distributing them
    # to hundreds of instances would cost constant traffic.
    if member.instance == settings.instance:
        return membership.mint()
    expiry = membership.uptime(member.instance) + settings.owner.token_seconds
    return tokens.mint(settings.keys[0], member.instance, member.incarnation, expiry)

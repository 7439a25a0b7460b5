"""Which instances callers should use: live, near, lightly loaded, never leaving."""

import random
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from . import members

MAX_ADDRESSES = 16


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
    ranked = sorted(membership.serving(), key=lambda member: _weight(member, domain))
    found = []
    for member in ranked[:MAX_ADDRESSES]:
        found.append(
            Address(
                address=member.http,
                instance=member.instance,
                domain=member.domain,
                token=member.token,
            )
        )
    return AddressAnswer(keep_seconds=settings.owner.keep_seconds, addresses=found)


def _weight(member: messages.Member, domain: str) -> tuple[bool, float]:
    # Loads are a heartbeat old; the random part keeps all callers that ask within
    # one period from choosing the same instance.
    return member.domain != domain, (member.load + 1.0) * random.random()

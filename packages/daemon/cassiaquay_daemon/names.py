"""Checks the names of registered policies and adapters in settings before the start."""

from cassiaquay_schema import exceptions, settings

from . import platform
from .decisions import keeper_placement, policies


def check_settings(parsed_settings: settings.Settings) -> None:
    """Raise NameFault when the settings contain a name that is not registered."""
    check(policies.policies.names(), parsed_settings.keeper.policy, "keeper.policy")
    check(
        keeper_placement.placements.names(),
        parsed_settings.membership.placement,
        "membership.placement",
    )
    check(
        platform.configuration_services.names(),
        parsed_settings.platform.configuration_adapter,
        "platform.configuration_adapter",
    )
    check(
        platform.instance_lists.names(),
        parsed_settings.platform.instances_adapter,
        "platform.instances_adapter",
    )


def check(known: list[str], name: str, place: str) -> None:
    """Raise NameFault when ``name`` is not in ``known``."""
    if name in known:
        return
    raise exceptions.NameFault(
        f"nothing is registered as {name!r}", place, f"one of: {', '.join(known)}"
    )

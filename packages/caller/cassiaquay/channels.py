"""The part of a session that its requests use.

``exchanges`` and ``attempts`` depend on this protocol instead of ``sessions``, which
imports them.
"""

import typing

from . import adapters, addresses, hooks, models, retries


class Channel(typing.Protocol):
    """The interface of a session that exchanges and attempts use."""

    settings: models.Settings
    hooks: hooks.Hooks
    budget: retries.Budget
    addresses: addresses.AddressBook

    async def send(self, call: adapters.Call) -> adapters.Reply:
        """Send a call and return its reply once the status is known."""

    async def outcome(self, request_id: str) -> models.Outcome:
        """Return the outcome of a request."""

    async def cancel(self, request_id: str) -> models.Outcome:
        """Cancel a request and return its outcome."""

    async def is_under_way(self, request_id: str, address: str) -> bool:
        """Ask an instance whether a request is waiting, running or completed there."""

    def form_call(self, method: str, url: str, body: bytes = b"") -> adapters.Call:
        """Return a call that carries the session's credential."""

    def acknowledge_later(self, request_id: str, address: str) -> None:
        """Acknowledge a whole answer in the background."""

    def cancel_later(self, request_id: str, address: str) -> None:
        """Cancel a request in the background."""

    def drain_later(self, reply: adapters.Reply) -> None:
        """Read a reply to its end in the background, to reuse its connection."""

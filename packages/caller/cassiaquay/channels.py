"""What a request needs of the session that it belongs to.

Requests and their attempts are written against this, so that they import no session and
a session can import them.
"""

import typing

from . import adapters, addresses, hooks, models, retries


class Channel(typing.Protocol):
    """A session, as its requests see it."""

    settings: models.Settings
    hooks: hooks.Hooks
    budget: retries.Budget
    addresses: addresses.AddressBook

    async def send(self, call: adapters.Call) -> adapters.Reply:
        """Send a call and return the beginning of its reply."""

    async def outcome(self, request_id: str) -> models.Outcome:
        """Return what became of a request."""

    async def cancel(self, request_id: str) -> models.Outcome:
        """Cancel a request and return what became of it."""

    async def is_under_way(self, request_id: str, address: str) -> bool:
        """Ask an instance whether a request goes on there."""

    def form_call(self, method: str, url: str, body: bytes = b"") -> adapters.Call:
        """Return a call with the session's credential."""

    def acknowledge_later(self, request_id: str, address: str) -> None:
        """Tell in the background that an answer was read whole."""

    def cancel_later(self, request_id: str, address: str) -> None:
        """Cancel a request in the background."""

    def drain_later(self, reply: adapters.Reply) -> None:
        """Read a reply to its end in the background, to keep its connection."""

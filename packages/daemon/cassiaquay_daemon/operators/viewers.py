"""Who asks at the operators' address: an operator, or a team that sees its own."""

import hashlib
import hmac
import ipaddress
import typing

from starlette import requests

from cassiaquay_schema import settings as settings_schema

from .. import exceptions
from ..fleet import configuration


class Viewer(typing.NamedTuple):
    """Who asks.

    Attributes
    ----------
    team : str
        Team, empty for an operator, who sees everything.
    """

    team: str

    @property
    def is_operator(self) -> bool:
        """Whether everything may be seen and this instance drained."""
        return not self.team

    def must_be_operator(self) -> None:
        """Raise AdminForbidden for a team."""
        if not self.is_operator:
            raise exceptions.AdminForbidden("only operators may ask for this")


class Viewers:
    """Tells who asks, by credential.

    Parameters
    ----------
    settings : Settings
        Digests of the operators' credentials.
    configured : Configuration
        The teams.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        configured: configuration.Configuration,
    ):
        self._settings = settings
        self._configured = configured

    def viewer(self, request: requests.Request) -> Viewer:
        """Return who asks; raise AdminUnauthorized when nobody known does."""
        scheme, _, credential = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() == "bearer" and credential:
            return self._by_credential(credential)
        # Without digests nobody could prove to be an operator. Only a process on this
        # very machine is taken for one then: an address that is reachable from
        # elsewhere must not hand out queues or drain the instance unasked.
        # A page in a browser on this machine comes from the loopback address as well,
        # but browsers say so: without this check any page could order a drain.
        from_page = "origin" in request.headers
        if not self._settings.operators and _is_loopback(request) and not from_page:
            return Viewer("")
        raise exceptions.AdminUnauthorized("an Authorization header of type Bearer")

    def _by_credential(self, credential: str) -> Viewer:
        digest = hashlib.sha256(credential.encode()).hexdigest()
        for known in self._settings.operators:
            if hmac.compare_digest(known, digest):
                return Viewer("")
        snapshot = self._configured.current
        team = snapshot.team_of(credential) if snapshot is not None else None
        if team is None:
            raise exceptions.AdminUnauthorized("the credential is unknown")
        return Viewer(team)


def _is_loopback(request: requests.Request) -> bool:
    if request.client is None:
        return False
    try:
        return ipaddress.ip_address(request.client.host).is_loopback
    except ValueError:
        return False

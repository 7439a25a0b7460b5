"""Authenticates calls to the operators' address.

An operator may read everything; a team may read only its own data.
"""

import hashlib
import hmac
import ipaddress
import typing

from starlette import requests

from cassiaquay_schema import settings as settings_schema

from ..fleet import configuration
from . import refusals


class Viewer(typing.NamedTuple):
    """The authenticated client of a call.

    Attributes
    ----------
    team : str
        Team name; empty for an operator.
    """

    team: str

    @property
    def is_operator(self) -> bool:
        """Whether the client may read everything and drain this instance."""
        return not self.team

    def require_operator(self) -> None:
        """Raise AdminForbidden unless the client is an operator."""
        if not self.is_operator:
            raise refusals.AdminForbidden("only operators may ask for this")


class Viewers:
    """Authenticates clients by their credentials.

    Parameters
    ----------
    settings : Settings
        Digests of the operators' credentials.
    configured : Configuration
        The teams and their credentials.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        configured: configuration.Configuration,
    ):
        self._settings = settings
        self._configured = configured

    def authenticate(self, request: requests.Request) -> Viewer:
        """Return the client of a call; raise AdminUnauthorized if it is unknown."""
        scheme, _, credential = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() == "bearer" and credential:
            return self._by_credential(credential)
        # Without configured digests no operator can authenticate. Only calls from the
        # loopback address count as an operator's then, as an address reachable from
        # other machines must not disclose queues or allow a drain to anyone.
        # Calls by a web page in a local browser come from the loopback address too.
        # Browsers mark them with an Origin header; without this check any web page
        # could drain the instance.
        from_page = "origin" in request.headers
        if not self._settings.operators and _is_loopback(request) and not from_page:
            return Viewer("")
        raise refusals.AdminUnauthorized("an Authorization header of type Bearer")

    def _by_credential(self, credential: str) -> Viewer:
        digest = hashlib.sha256(credential.encode()).hexdigest()
        for operator_digest in self._settings.operators:
            if hmac.compare_digest(operator_digest, digest):
                return Viewer("")
        snapshot = self._configured.current
        team = snapshot.team_of(credential) if snapshot is not None else None
        if team is None:
            raise refusals.AdminUnauthorized("the credential is unknown")
        return Viewer(team)


def _is_loopback(request: requests.Request) -> bool:
    if request.client is None:
        return False
    try:
        return ipaddress.ip_address(request.client.host).is_loopback
    except ValueError:
        return False

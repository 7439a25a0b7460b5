"""Failure domains out of use: those the platform names, and those it has just lost.

Evacuations have no version. When the platform returns from a copy, one that was ordered
since the copy is missing until the operators write it again, and one that was taken
back since is there again. Both are in force meanwhile: a domain too many out of use
costs servers for seconds, a request to an evacuated one may harm the operators' work.
"""

import typing

from .. import clock, platform, positions

# Operators have written an evacuation again this long after the platform's return.
RETENTION_SECONDS = 5.0


class InForce(typing.NamedTuple):
    """Domains out of use, and which of them the platform does not name."""

    domains: list[str]
    retained: list[str]


class Evacuations:
    """The evacuated domains in force at this instance."""

    def __init__(self) -> None:
        self._listed = platform.NOTHING_EVACUATED
        # Retained domains, and until when in seconds on the local clock.
        self._retained: dict[str, float] = {}

    @property
    def listed(self) -> platform.Evacuated:
        """Domains that the platform names."""
        return self._listed

    @property
    def retained(self) -> dict[str, float]:
        """Seconds left of each domain that a restored platform does not name yet."""
        now = clock.now()
        left = {}
        for name, until in self._retained.items():
            if until > now:
                left[name] = until - now
        return left

    @property
    def in_force(self) -> InForce:
        """All domains out of use, and the retained ones among them."""
        return InForce(self.domains, sorted(self.retained))

    @property
    def domains(self) -> list[str]:
        """All domains out of use."""
        return sorted({*self._listed.domains, *self.retained})

    def apply(self, listed: platform.Evacuated) -> None:
        """Use the domains that the platform names, unless older than the known."""
        if listed.position < self._listed.position:
            return
        is_restored = listed.position.epoch > self._listed.position.epoch
        if is_restored and self._listed.position > positions.START:
            until = clock.now() + RETENTION_SECONDS
            self._retained = dict.fromkeys(self.domains, until)
        for name in listed.domains:
            # From now on the platform says when it ends.
            self._retained.pop(name, None)
        self._listed = listed

    def learn(self, domains: list[str], seconds: float) -> None:
        """Retain the domains that another instance retains, no longer than it does."""
        for name in domains:
            if name not in self.domains:
                self._retained[name] = clock.now() + seconds

"""Order of what the platform publishes: places in its history, and text versions.

The platform's revision alone is no order: when the platform returns from a copy,
revisions go back and are given out again.
"""

import typing

# Epochs take the bits above the revision in a single number.
REVISION_BITS = 40


class Position(typing.NamedTuple):
    """A place in the platform's history.

    Attributes
    ----------
    epoch : int
        Number of times that the platform has returned from a copy.
    revision : int
        The platform's revision, which rises within an epoch.
    """

    epoch: int
    revision: int


START = Position(0, 0)


class Versioned(typing.Protocol):
    """A message that names the version of a configuration text."""

    @property
    def text_number(self) -> int:
        """The operators' number of the text; 0 for none."""

    @property
    def epoch(self) -> int:
        """Epoch in which the text was written."""

    @property
    def revision(self) -> int:
        """Revision at which the text was written."""

    @property
    def digest(self) -> int:
        """Digest of the text."""


class TextVersion(typing.NamedTuple):
    """Version of a configuration text; the greater one is newer.

    The operators' number comes first: right after a return from a copy the platform
    shows an older text in a newer epoch.

    Attributes
    ----------
    number : int
        The operators' number of the text; 0 for a text without one.
    epoch, revision : int
        Place in the platform's history where it was written.
    digest : int
        xxh3-64 of the text.
    """

    number: int
    epoch: int
    revision: int
    digest: int

    @property
    def position(self) -> Position:
        """Place in the platform's history where the text was written."""
        return Position(self.epoch, self.revision)

    def has_text_of(self, other: "TextVersion") -> bool:
        """Return whether both are the same text, perhaps at different places."""
        return (self.number, self.digest) == (other.number, other.digest)


NO_VERSION = TextVersion(0, 0, 0, 0)


def version_in(message: Versioned) -> TextVersion:
    """Return the text version that a message names."""
    return TextVersion(
        message.text_number, message.epoch, message.revision, message.digest
    )

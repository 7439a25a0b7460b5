"""Errors of the command line, each with an exit code for scripts."""


class CommandError(Exception):
    """Base class of this package's errors."""

    code = "command"
    exit_code = 1


class TextRefused(CommandError):
    """A fleet text or settings text is invalid."""

    code = "text_refused"
    exit_code = 2


class FileUnreadable(CommandError):
    """A file cannot be read or written."""

    code = "file_unreadable"
    exit_code = 3


class NoResponse(CommandError):
    """No daemon responds at the address."""

    code = "nothing_answers"
    exit_code = 4


class AddressMissing(NoResponse):
    """No address of an instance was given."""

    code = "address_missing"


class NotOperatorsAddress(NoResponse):
    """The address responds, but is not the operators' address of a daemon."""

    code = "not_operators_address"


class NotAllowed(CommandError):
    """The credential is missing, unknown, or a team's where an operator's is needed."""

    code = "not_allowed"
    exit_code = 5


class Refused(CommandError):
    """The daemon refused the call; the message contains the daemon's error code."""

    code = "call_refused"
    exit_code = 1


class UnknownInstance(CommandError):
    """No live instance has that name."""

    code = "unknown_instance"
    exit_code = 1


class LastInstance(CommandError):
    """No other instance serves, so this one is not drained without ``--force``."""

    code = "last_instance"
    exit_code = 1


class DrainTimeout(CommandError):
    """The drained instance still responded when the timeout expired."""

    code = "still_there"
    exit_code = 1

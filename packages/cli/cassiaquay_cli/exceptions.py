"""Errors of the command line, each with an exit code that scripts can use."""


class CommandError(Exception):
    """Root of this package's errors."""

    code = "command"
    exit_code = 1


class TextRefused(CommandError):
    """A fleet or settings text is not accepted."""

    code = "text_refused"
    exit_code = 2


class FileUnreadable(CommandError):
    """A file cannot be read or written."""

    code = "file_unreadable"
    exit_code = 3


class NothingAnswers(CommandError):
    """No daemon answers at the address."""

    code = "nothing_answers"
    exit_code = 4


class AddressMissing(NothingAnswers):
    """No address was given to begin with."""

    code = "address_missing"


class NotOperators(NothingAnswers):
    """Something answers, but it is no operators' address of a daemon."""

    code = "not_operators_address"


class NotAllowed(CommandError):
    """The credential is missing, unknown or a team's."""

    code = "not_allowed"
    exit_code = 5


class Refused(CommandError):
    """The daemon refused the call; its own code stands in the message."""

    code = "call_refused"
    exit_code = 1


class UnknownInstance(CommandError):
    """No live instance has that name."""

    code = "unknown_instance"
    exit_code = 1


class LastInstance(CommandError):
    """Draining this instance would leave none that serves."""

    code = "last_instance"
    exit_code = 1


class StillThere(CommandError):
    """The instance had not gone when the waiting time was over."""

    code = "still_there"
    exit_code = 1

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
    """A file cannot be read."""

    code = "file_unreadable"
    exit_code = 3


class NothingAnswers(CommandError):
    """No daemon answers at the address."""

    code = "nothing_answers"
    exit_code = 4

"""Entry point of the command ``cassiaquay``."""

import sys

import fire

from . import (
    burn,
    check,
    commands,
    diff,
    drain,
    exceptions,
    explain,
    history,
    outputs,
    status,
    top,
    trace,
)

# Importing a command's module registers it.
MODULES = (burn, check, diff, drain, explain, history, status, top, trace)


def run() -> None:
    """Parse the command line, run the command and exit with its code."""
    functions = {
        name: commands.commands.get(name) for name in commands.commands.names()
    }
    try:
        shown = fire.Fire(functions, name="cassiaquay")
    except exceptions.CommandError as error:
        print(f"cassiaquay: {error.code}: {error}", file=sys.stderr)
        raise SystemExit(error.exit_code) from error
    except KeyboardInterrupt:
        raise SystemExit(outputs.EXIT_COMPLETE) from None
    if isinstance(shown, outputs.Shown):
        raise SystemExit(shown.exit_code)


if __name__ == "__main__":
    run()

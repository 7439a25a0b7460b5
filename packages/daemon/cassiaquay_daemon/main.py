"""Entry point of a daemon; everything else is imported once signals are harmless."""

import importlib
import signal


def run() -> None:
    """Run the daemon's command line."""
    # Loading the modules takes a third of a second, and a reload asked for meanwhile
    # would end the process before its own handler is there. Nothing is missed by
    # ignoring it: the settings file is read after the modules.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module("cassiaquay_daemon.command").run()


if __name__ == "__main__":
    run()

"""Entry point of a daemon; everything else is imported once signals are harmless."""

import gc
import importlib
import os
import signal
import sys

from . import early_bind

# Variables from which OpenSSL takes the certificate store.
CERTIFICATES = ("SSL_CERT_FILE", "SSL_CERT_DIR")


def run() -> None:
    """Run the daemon's command line."""
    # Loading the modules takes a third of a second, and a reload asked for meanwhile
    # would end the process before its own handler is there. Nothing is missed by
    # ignoring it: the settings file is read after the modules.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = early_bind.settings_path(sys.argv)
    if path:
        early_bind.listen_all(path)
    # What the modules create stays; looking for garbage among it takes a sixth of the
    # time that they take to load. The command starts collections again.
    gc.disable()
    # The HTTP client's library loads the machine's certificate store when it is
    # imported: 80 of 430 ms of processor time at each start (`time` of the import, with
    # and without). All connections here are without TLS.
    for name in CERTIFICATES:
        os.environ.setdefault(name, os.devnull)
    importlib.import_module("cassiaquay_daemon.command").run()


if __name__ == "__main__":
    run()

"""Entry point of a daemon; other modules are imported once SIGHUP is ignored."""

import gc
import importlib
import os
import signal
import sys

from . import early_bind

# Variables from which OpenSSL takes the certificate store.
CERTIFICATE_VARIABLES = ("SSL_CERT_FILE", "SSL_CERT_DIR")


def run() -> None:
    """Run the daemon's command line."""
    # Importing the modules takes a third of a second. A SIGHUP (reload) meanwhile would
    # kill the process, as its handler is not installed yet. It can be ignored: the
    # settings file is read after the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = early_bind.settings_path(sys.argv)
    if path:
        early_bind.listen_all(path)
    # Objects created by imports persist, and garbage collections would take a sixth of
    # the import time. The command enables collections again.
    gc.disable()
    # The HTTP client library loads the machine's certificate store when it is imported,
    # which takes 80 of the 430 ms of CPU time of a start. No connection uses TLS. Many
    # environments set these variables.
    for name in CERTIFICATE_VARIABLES:
        os.environ[name] = os.devnull
    importlib.import_module("cassiaquay_daemon.command").run()


if __name__ == "__main__":
    run()

"""The command ``cassiaquayd``: run one instance from its settings file."""

import gc
import pathlib
import sys

import uvloop

from cassiaquay_schema import exceptions as schema_exceptions
from cassiaquay_schema import texts

from . import daemon, early_bind, logs, names, reloading
from .platform import documents, store

# Imported for what they register.
ADAPTERS = (documents, store)

BAD_SETTINGS = 2


def serve(settings: str) -> None:
    """Run one instance until it is told to stop.

    Parameters
    ----------
    settings : str
        Path of its settings, a TOML file; docs/CONFIGURATION.md lists the keys.
    """
    path = pathlib.Path(settings)
    try:
        found = texts.read_settings(path.read_text())
        names.check_settings(found)
    except (OSError, schema_exceptions.SchemaError) as error:
        print(f"cassiaquayd: {settings}: {error}", file=sys.stderr)
        raise SystemExit(BAD_SETTINGS) from error
    logs.set_up(found)

    # A full collection goes over every object and stops all streams meanwhile; what was
    # loaded until here lives as long as the process and need not be looked at.
    gc.collect()
    gc.freeze()
    gc.enable()

    async def run() -> None:
        await daemon.Daemon(found, reloading.Reloading(path, found)).run()

    uvloop.run(run())


def run() -> None:
    """Read the command line."""
    path = early_bind.settings_path(sys.argv)
    if path:
        serve(path)
        return
    # Loaded only here: it takes a fifth of a start, and callers wait for that.
    import fire

    fire.Fire(serve, name="cassiaquayd")

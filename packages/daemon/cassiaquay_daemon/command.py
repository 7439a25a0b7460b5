"""The command ``cassiaquayd``: run one instance from its settings file."""

import gc
import pathlib
import sys

import uvloop

from cassiaquay_schema import exceptions as schema_exceptions
from cassiaquay_schema import texts

from . import daemon, early_bind, logs, names, reloading
from .platform import documents, store

# Imported because they register adapters.
ADAPTERS = (documents, store)

BAD_SETTINGS = 2


def serve(settings: str) -> None:
    """Run one instance until it is stopped by a signal or a drain.

    Parameters
    ----------
    settings : str
        Path of its settings, a TOML file; docs/CONFIGURATION.md lists the keys.
    """
    path = pathlib.Path(settings)
    try:
        parsed_settings = texts.read_settings(path.read_text())
        names.check_settings(parsed_settings)
    except (OSError, schema_exceptions.SchemaError) as error:
        print(f"cassiaquayd: {settings}: {error}", file=sys.stderr)
        raise SystemExit(BAD_SETTINGS) from error
    logs.set_up(parsed_settings)

    # A full garbage collection stops all streams while it traverses every object.
    # Objects created by now live as long as the process, so they are excluded.
    gc.collect()
    gc.freeze()
    gc.enable()

    async def run() -> None:
        await daemon.Daemon(
            parsed_settings, reloading.Reloading(path, parsed_settings)
        ).run()

    uvloop.run(run())


def run() -> None:
    """Parse the command line and run the daemon."""
    path = early_bind.settings_path(sys.argv)
    if path:
        serve(path)
        return
    # Imported only when needed: it takes a fifth of the startup time, during which
    # callers wait.
    import fire

    fire.Fire(serve, name="cassiaquayd")

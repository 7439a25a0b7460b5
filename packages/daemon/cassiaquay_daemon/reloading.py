"""Applies changes of the settings file while serving, on SIGHUP or by polling.

No request is interrupted: components registered for changes get the new settings.
Settings that are fixed at startup, such as addresses, keep their value until a restart.
"""

import asyncio
import collections.abc
import pathlib

from cassiaquay_schema import exceptions as schema_exceptions
from cassiaquay_schema import settings as settings_schema
from cassiaquay_schema import texts

from . import logs, names

# Polling interval of the settings file, for changes without a signal.
POLL_INTERVAL_SECONDS = 2.0
# Settings whose changes take effect only after a restart.
RESTART_ONLY = (
    "instance",
    "domain",
    "host",
    "peer_listen",
    "admin_port",
    "platform",
    "capacity",
)

Adopt = collections.abc.Callable[[settings_schema.Settings], None]


class Reloading:
    """Watches one settings file.

    Parameters
    ----------
    path : Path
        The file.
    settings : Settings
        The settings read at startup.
    """

    def __init__(self, path: pathlib.Path, settings: settings_schema.Settings):
        self._path = path
        self._settings = settings
        self._text = ""
        self._check_requested = asyncio.Event()
        self._adopters: list[Adopt] = []

    def on_change(self, adopt: Adopt) -> None:
        """Call ``adopt`` with the settings after each change."""
        self._adopters.append(adopt)

    def request_check(self) -> None:
        """Request a check of the file now, as the signal handler does."""
        logs.event("reload_asked")
        self._check_requested.set()

    async def run(self) -> None:
        """Check the file periodically and on request until cancelled."""
        while True:
            self.reload_if_changed()
            try:
                async with asyncio.timeout(POLL_INTERVAL_SECONDS):
                    await self._check_requested.wait()
            except TimeoutError:
                continue
            self._check_requested.clear()

    def reload_if_changed(self) -> None:
        """Apply the file if it has changed; keep the old settings if it is invalid."""
        try:
            text = self._path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            logs.trouble("settings_unreadable", cause=str(error))
            return
        if text == self._text:
            return
        self._text = text
        try:
            settings = texts.read_settings(text)
            names.check_settings(settings)
        except schema_exceptions.SchemaError as error:
            # A half-written file must not stop a serving process.
            logs.trouble("settings_rejected", cause=str(error))
            return
        if settings == self._settings:
            return
        fixed = []
        for name in RESTART_ONLY:
            if getattr(settings, name) != getattr(self._settings, name):
                fixed.append(name)
        logs.event("settings_changed", need_restart=",".join(fixed) or None)
        self._settings = settings
        for adopt in self._adopters:
            adopt(settings)

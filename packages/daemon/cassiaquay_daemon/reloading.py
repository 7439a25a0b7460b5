"""Changes of the settings file, with or without a signal, taken in while serving.

Nothing is cut off: parts that look at their settings each time get the new ones. What
is fixed when a process starts, such as addresses, keeps its value until the next start.
"""

import asyncio
import collections.abc
import pathlib

from cassiaquay_schema import exceptions as schema_exceptions
from cassiaquay_schema import settings as settings_schema
from cassiaquay_schema import texts

from . import logs, names

# A changed file is noticed within this time when nobody sends a signal.
LOOK_SECONDS = 2.0
FIXED = ("instance", "domain", "host", "peer_listen", "admin_port", "platform")

Adopt = collections.abc.Callable[[settings_schema.Settings], None]


class Reloading:
    """Watches one settings file.

    Parameters
    ----------
    path : Path
        The file.
    settings : Settings
        As read at the start.
    """

    def __init__(self, path: pathlib.Path, settings: settings_schema.Settings):
        self._path = path
        self._settings = settings
        self._text = ""
        self._asked = asyncio.Event()
        self._adopters: list[Adopt] = []

    def on_change(self, adopt: Adopt) -> None:
        """Call ``adopt`` with settings that have changed."""
        self._adopters.append(adopt)

    def ask(self) -> None:
        """Look at the file now, as a signal asks."""
        logs.event("reload_asked")
        self._asked.set()

    async def run(self) -> None:
        """Look at the file for ever."""
        while True:
            self.look()
            try:
                async with asyncio.timeout(LOOK_SECONDS):
                    await self._asked.wait()
            except TimeoutError:
                continue
            self._asked.clear()

    def look(self) -> None:
        """Take the file in when it has changed; keep the old settings when unsound."""
        try:
            text = self._path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            logs.trouble("settings_unreadable", cause=str(error))
            return
        if text == self._text:
            return
        self._text = text
        try:
            found = texts.read_settings(text)
            names.check_settings(found)
        except schema_exceptions.SchemaError as error:
            # A half-written file must not stop a process that serves.
            logs.trouble("settings_rejected", cause=str(error))
            return
        if found == self._settings:
            return
        fixed = []
        for name in FIXED:
            if getattr(found, name) != getattr(self._settings, name):
                fixed.append(name)
        logs.event("settings_changed", need_restart=",".join(fixed) or None)
        self._settings = found
        for adopt in self._adopters:
            adopt(found)

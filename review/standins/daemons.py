"""Starts and stops instances with the command of the deploy file."""

import asyncio
import asyncio.subprocess
import json
import os
import pathlib
import re
import socket
import tomllib
import typing

from . import http

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_SECONDS = 15.0
# As the sheet of Brindley Lane Tutors gives them.
BOUNDS = {
    "contact-ms": 3000,
    "drain-ms": 2000,
    "grace-s": 8,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "quota-window-s": 8,
    "quota-excess": 0.25,
    "quota-slack": 140000,
    "retry-budget": 0.2,
    "budget-window-s": 10,
    "budget-extra": 58,
}
PORT_NAMES = ("front", "ready", "control", "directory", "relay")
_SECTION = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([^#/^}]+)\}\}")


class Instance:
    """One process of the system.

    Parameters
    ----------
    name, host : str
        Name and loopback address of its machine.
    folder : Path
        Temporary folder for its settings and its log.
    """

    def __init__(self, name: str, host: str, folder: pathlib.Path):
        self.name = name
        self.host = host
        self.ports = dict(zip(PORT_NAMES, _free_ports(host), strict=True))
        self.process: asyncio.subprocess.Process | None = None
        self._folder = folder
        self._settings_path = folder / f"{name}.toml"

    def address(self, listener: str) -> str:
        """Return the address of one of its listeners."""
        return f"{self.host}:{self.ports[listener]}"

    async def start(
        self, store: str, seeds: list[str], is_first: bool, **bounds: typing.Any
    ) -> None:
        """Start the process with settings as the platform fills them in."""
        values = {
            "node": self.name,
            "zone": "midlands-a",
            "region": "midlands",
            "ip": self.host,
            "bootstrap": is_first,
            "seeds": seeds,
            "port-range": [self.ports["relay"], self.ports["relay"]],
            "listen": {name: self.address(name) for name in PORT_NAMES},
            "limits": {"cpu-share": 0.537, "link-mbps": 1000.0},
            "bounds": BOUNDS | bounds,
            "provider": {"addr": store},
        }
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["cassiaquayd"]
        template = (ROOT / role["template"]).read_text()
        self._settings_path.write_text(_render(template, values))
        words = role["run"].split()
        words[-1] = str(self._settings_path)
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CASSIAQUAY_NODE_FILE": str(self._settings_path),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self) -> None:
        """Return when its readiness check succeeds."""
        async with asyncio.timeout(READY_SECONDS):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Return whether its readiness check succeeds."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ports["ready"]
            )
        except OSError:
            return False
        try:
            asked = http.request("GET", "/cassiaquay/ready", b"", {"Host": self.host})
            writer.write(asked)
            async with asyncio.timeout(1.0):
                return (await http.read(reader)).status == 200
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process, if it still runs."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


def _free_ports(host: str) -> list[int]:
    """Return ports that nothing listens on."""
    bound = []
    for _ in PORT_NAMES:
        holder = socket.socket()
        holder.bind((host, 0))
        bound.append(holder)
    ports = [holder.getsockname()[1] for holder in bound]
    for holder in bound:
        holder.close()
    return ports


def _render(template: str, values: dict[str, typing.Any]) -> str:
    """Fill the platform's values into a template of settings."""

    def fill_section(found: re.Match[str]) -> str:
        value = _find(values, found[1])
        if isinstance(value, list):
            parts = []
            for item in value:
                part = found[2].replace("{{.}}", str(item))
                is_last = item is value[-1]
                parts.append(part.replace("{{,}}", "" if is_last else ","))
            return "".join(parts)
        if value is None:
            return ""
        return found[2].replace("{{.}}", str(value))

    def fill_value(found: re.Match[str]) -> str:
        value = _find(values, found[1])
        return json.dumps(value) if isinstance(value, bool) else str(value)

    return _VALUE.sub(fill_value, _SECTION.sub(fill_section, template))


def _find(values: dict[str, typing.Any], path: str) -> typing.Any:
    found: typing.Any = values
    for name in path.split("."):
        if isinstance(found, list):
            found = found[int(name)]
        else:
            found = found.get(name)
        if found is None:
            return None
    return found

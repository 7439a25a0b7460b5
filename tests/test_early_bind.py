"""Sockets of a starting process that listen before its modules are imported.

When all instances are killed and restart at once, a caller that connects meanwhile must
not be refused by all of them, as it would give up.
"""

import pathlib
import socket
import subprocess
import sys

from cassiaquay_daemon import early_bind

TEXT = """
peer_listen = "127.0.0.1:{peers}"
[gateway]
front = "127.0.0.1:{front}"
ready = ""
"""
START = """
import socket, sys, types
import cassiaquay_daemon.main as entry

class Command(types.ModuleType):
    def run(self):
        heavy = {{"uvloop", "aiohttp", "msgspec"}} & set(sys.modules)
        caller = socket.create_connection(("127.0.0.1", {front}), timeout=5.0)
        from cassiaquay_daemon import early_bind
        found = early_bind.take("127.0.0.1:{front}")
        found.settimeout(5.0)
        print(len(heavy), found.accept()[1] == caller.getsockname())

sys.modules["cassiaquay_daemon.command"] = Command("command")
sys.argv = ["cassiaquayd", "--settings", {path!r}]
entry.run()
"""


def _free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as bound:
        return int(bound.getsockname()[1])


def _settings(folder: pathlib.Path) -> tuple[pathlib.Path, int, int]:
    front, peers = _free_port(), _free_port()
    path = folder / "settings.toml"
    path.write_text(TEXT.format(front=front, peers=peers))
    return path, front, peers


def test_a_caller_connects_before_the_modules_are_imported(
    tmp_path: pathlib.Path,
) -> None:
    """A caller connects while a killed process restarts.

    The early socket queues its connection, which the gateway later accepts and serves.
    """
    path, front, _ = _settings(tmp_path)
    program = START.format(front=front, path=str(path))
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert done.stdout.split() == ["0", "True"]


def test_unclaimed_sockets_are_closed(tmp_path: pathlib.Path) -> None:
    """The settings contain an address that this process then does not serve.

    A caller must be refused there instead of waiting forever.
    """
    path, front, peers = _settings(tmp_path)
    early_bind.listen_all(str(path))
    early_bind.take(f"127.0.0.1:{front}").close()
    with socket.create_connection(("127.0.0.1", peers), timeout=5.0):
        pass
    early_bind.close_unclaimed()
    try:
        socket.create_connection(("127.0.0.1", peers), timeout=5.0)
    except ConnectionRefusedError:
        return
    raise AssertionError("the unclaimed address still accepts connections")


def test_unreadable_settings_bind_no_socket(tmp_path: pathlib.Path) -> None:
    """The file is half written; the command reports that later."""
    path = tmp_path / "settings.toml"
    for text in ("front = ", 'gateway = 3\npeer_listen = "nowhere"'):
        path.write_text(text)
        early_bind.listen_all(str(path))
    early_bind.listen_all(str(tmp_path / "missing.toml"))
    early_bind.close_unclaimed()

"""Settings files that change while the process serves."""

import pathlib
import subprocess
import sys

from cassiaquay_daemon import reloading
from cassiaquay_daemon.keepers import keeper
from cassiaquay_daemon.platform import store
from cassiaquay_schema import settings as settings_schema
from cassiaquay_schema import texts

# Imported because they register policies and adapters.
REGISTERED = (keeper, store)

TEXT = """
instance = "cq-1"
domain = "a"
keys = ["key"]
seeds = ["10.0.0.1:1"]
[platform]
configuration = "10.0.0.9:80"
instances = "10.0.0.9:80"
[gateway]
retry_share = 0.2
"""


def _start(path: pathlib.Path) -> tuple[reloading.Reloading, list]:
    path.write_text(TEXT)
    file = reloading.Reloading(path, texts.read_settings(TEXT))
    applied: list[settings_schema.Settings] = []
    file.on_change(applied.append)
    file.reload_if_changed()
    return file, applied


def test_changed_settings_are_applied(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.toml"
    file, applied = _start(path)
    assert not applied
    path.write_text(TEXT.replace("0.2", "0.3"))
    file.reload_if_changed()
    assert [found.gateway.retry_share for found in applied] == [0.3]
    file.reload_if_changed()
    assert len(applied) == 1


def test_a_half_written_file_changes_nothing(tmp_path: pathlib.Path) -> None:
    """The process reads the file while the platform is rewriting it."""
    path = tmp_path / "settings.toml"
    file, applied = _start(path)
    path.write_text(TEXT[:60])
    file.reload_if_changed()
    path.unlink()
    file.reload_if_changed()
    assert not applied
    path.write_text(TEXT.replace("10.0.0.1:1", "10.0.0.2:1"))
    file.reload_if_changed()
    assert [found.seeds for found in applied] == [["10.0.0.2:1"]]


EARLY = """
import signal, sys, types
signal.signal(signal.SIGHUP, signal.SIG_DFL)
import cassiaquay_daemon.main as entry

class Command(types.ModuleType):
    def run(self):
        print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)

heavy = [name for name in ("uvloop", "aiohttp", "msgspec") if name in sys.modules]
print(heavy)
print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
sys.modules["cassiaquay_daemon.command"] = Command("command")
entry.run()
"""


def test_a_reload_asked_for_while_the_modules_load_ends_nothing() -> None:
    """The settings change while a process restarts.

    SIGHUP arrives before its handler is installed. By default it would kill the
    process, and callers that were just sent there would be refused.
    """
    done = subprocess.run(
        [sys.executable, "-c", EARLY], capture_output=True, text=True, check=True
    )
    assert done.stdout.split() == ["[]", "False", "True"]

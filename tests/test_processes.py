"""Child processes of tests and experiments."""

import asyncio
import pathlib
import re

import pytest

from cassiaquay_dev.network import processes


def test_process_that_is_not_ready_in_time_reports_what_it_waits_for(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A failed start left no trace of memory, page faults or processor time."""
    monkeypatch.setattr(processes, "START_SECONDS", 0.1)

    async def start() -> None:
        late = processes.Process(
            "late", ["-c", "import time; time.sleep(60)"], tmp_path
        )
        await late.start()
        try:
            await late.wait_for(lambda lines: bool(lines))
        finally:
            await late.kill()

    with pytest.raises(processes.StartError) as raised:
        asyncio.run(start())
    message = str(raised.value)
    for name in ("processor_s", "major_faults", "memory_available_kb"):
        assert re.search(rf"{name}=[0-9.]+", message)

"""Kernel state of a process that is late, for messages of failed starts."""

import os
import pathlib

PROC = pathlib.Path("/proc")
# Places in /proc/PID/stat after the name, counted from the state.
STATE, MAJOR_FAULTS, USER_TICKS, SYSTEM_TICKS = 0, 9, 11, 12


def describe(pid: int) -> str:
    """Return the state, times and faults of a process, and the memory that is left."""
    try:
        # The name stands in parentheses and may contain blanks.
        fields = (PROC / str(pid) / "stat").read_text().rpartition(")")[2].split()
        memory = (PROC / "meminfo").read_text().splitlines()
        load = (PROC / "loadavg").read_text().split()[0]
    except OSError as error:
        return f"no state: {error}"
    ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
    available = ""
    for line in memory:
        if line.startswith("MemAvailable:"):
            available = line.split()[1]
    pairs = {
        "state": fields[STATE],
        "processor_s": ticks / os.sysconf("SC_CLK_TCK"),
        "major_faults": fields[MAJOR_FAULTS],
        "memory_available_kb": available,
        "load": load,
    }
    return " ".join(f"{name}={value}" for name, value in pairs.items())

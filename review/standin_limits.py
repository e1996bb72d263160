"""The memory limit of the platform: a process above it is killed and started again."""

import asyncio
import re
import signal

RESTART_DELAY_S = 0.5
SAMPLE_S = 0.01


def read_memory_mb(pid):
    """Return the memory that only this process uses, 0 if it has ended.

    Files of programs and libraries that the kernel maps are left out, and swapped
    memory is included.
    """
    try:
        with open(f"/proc/{pid}/status") as file:
            text = file.read()
    except OSError:
        return 0.0
    sizes = re.findall(r"(?:RssAnon|VmSwap):\s+(\d+) kB", text)
    return sum(int(size) for size in sizes) / 1024


class MemoryLimit:
    """Watch processes of a fleet; kill those above the limit and start them again."""

    def __init__(self, fleet, names, limit_mb, record):
        self._fleet = fleet
        self._names = names
        self._limit_mb = limit_mb
        self._record = record
        # The largest size seen, and how often a process was killed, by name.
        self.peaks_mb = dict.fromkeys(names, 0.0)
        self.kills = dict.fromkeys(names, 0)

    async def run(self):
        await asyncio.gather(*(self._watch(name) for name in self._names))

    async def _watch(self, name):
        while True:
            await asyncio.sleep(SAMPLE_S)
            process = self._fleet.processes[name]
            size = read_memory_mb(process.pid)
            self.peaks_mb[name] = max(self.peaks_mb[name], size)
            if size <= self._limit_mb:
                continue
            self.kills[name] += 1
            self._record(f"platform kills {name}, which uses {size:.0f} MB")
            process.send_signal(signal.SIGKILL)
            process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            self._fleet.start(name)

"""Measure the resident memory of one mechanism in a new process.

``python -m benchmarks._process_memory NAME COUNT`` prints JSON, memory in MB. Modules
are imported inside the functions: the measurement `process` imports them after its
first reading, so that its differences include the imports.
"""

import asyncio
import json
import os
import sys
import tempfile
from typing import Any

SETTINGS = {
    "id": "region-00-0000",
    "data_centre": "dc-00",
    "region": "region-00",
    "http": "127.0.0.1:18101",
    "peer": "127.0.0.1:19101",
    "control": [{"id": "region-00-0000", "address": "127.0.0.1:19101"}],
    "peer_secret": "0123456789abcdef",
    "operator_token_sha256": "a" * 64,
    "target_token_sha256": "b" * 64,
}


def read_rss_mb() -> float:
    """Return the resident memory of this process in MB."""
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def measure_process(count: int) -> dict[str, float]:
    """Return the memory of bare Python, with imported libraries, and of an instance."""
    bare = read_rss_mb()
    import aiohttp.web  # noqa: F401

    with_aiohttp = read_rss_mb()
    from toucanwood.server import Instance
    from toucanwood.settings import Settings

    with_toucanwood = read_rss_mb()

    async def build() -> float:
        with tempfile.TemporaryDirectory() as directory:
            settings = Settings.from_config({**SETTINGS, "data_dir": directory})
            _instance = Instance(settings)
            return read_rss_mb()

    with_instance = asyncio.run(build())
    return {
        "bare_python": bare,
        "with_aiohttp": with_aiohttp,
        "with_toucanwood": with_toucanwood,
        "instance": with_instance,
    }


def measure_members(count: int) -> dict[str, float]:
    """Return the memory of a member table with `count` members."""
    from benchmarks._control_fixtures import build_member
    from toucanwood.membership import MemberTable

    before = read_rss_mb()
    table = MemberTable(build_member(0))
    for index in range(1, count):
        table.merge(build_member(index), 0.0)
    return {"mb": read_rss_mb() - before}


def measure_keys(count: int) -> dict[str, float]:
    """Return the memory of a catalog with `count` keys."""
    from benchmarks._control_fixtures import add_keys
    from toucanwood.state import Catalog

    before = read_rss_mb()
    catalog = Catalog()
    add_keys(catalog, count)
    return {"mb": read_rss_mb() - before}


def measure_operations(count: int) -> dict[str, float]:
    """Return the memory of a catalog with `count` finished operations."""
    from benchmarks._control_fixtures import add_operations
    from toucanwood.state import Catalog

    before = read_rss_mb()
    catalog = Catalog()
    add_operations(catalog, count)
    return {"mb": read_rss_mb() - before}


def measure_declaration(count: int) -> dict[str, float]:
    """Return the memory of a declaration with client blocks, and of its mapping."""
    import random

    from benchmarks._control_fixtures import build_config
    from benchmarks.blocks import draw_blocks
    from toucanwood.declaration import Declaration

    before = read_rss_mb()
    config = build_config(blocks=draw_blocks(count, random.Random(1)))
    with_mapping = read_rss_mb()
    declaration = Declaration.from_config(config)
    with_declaration = read_rss_mb()
    assert len(declaration.client_blocks) == count
    return {"mapping_mb": with_mapping - before, "mb": with_declaration - with_mapping}


def measure_connections(count: int) -> dict[str, float]:
    """Return the costs of one end of `count` idle connections."""
    return asyncio.run(_hold_connections(count))


async def _hold_connections(count: int) -> dict[str, float]:
    import resource
    import time

    import structlog

    from toucanwood.peering import PeerNetwork

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, 4096))
    secret = b"0123456789abcdef"
    hub = PeerNetwork(instance_id="hub", address="127.0.0.1:19300", secret=secret)
    peer = PeerNetwork(instance_id="peer", address="127.0.0.1:19301", secret=secret)
    await peer.start()
    clients = [
        PeerNetwork(instance_id=f"p{index}", address="127.0.0.1:1", secret=secret)
        for index in range(count)
    ]
    before = read_rss_mb()
    for network in clients:
        network.set_address("peer", "127.0.0.1:19301")
        await network._connect("peer", 5.0)
    await asyncio.sleep(0.6)
    memory = read_rss_mb() - before
    started = time.monotonic(), time.process_time(), sum(peer.count_bytes())
    await asyncio.sleep(3.0)
    elapsed = time.monotonic() - started[0]
    cpu = time.process_time() - started[1]
    transferred = sum(peer.count_bytes()) - started[2]
    for network in [*clients, peer, hub]:
        await network.stop()
    return {
        "mb": memory / 2,
        "cpu_ms_per_s": cpu / elapsed / 2 * 1e3,
        "bytes_per_s": transferred / elapsed,
    }


MEASUREMENTS: dict[str, Any] = {
    "process": measure_process,
    "members": measure_members,
    "keys": measure_keys,
    "operations": measure_operations,
    "declaration": measure_declaration,
    "connections": measure_connections,
}

if __name__ == "__main__":
    print(json.dumps(MEASUREMENTS[sys.argv[1]](int(sys.argv[2]))))

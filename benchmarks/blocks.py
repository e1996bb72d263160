"""Memory and lookup time of the client block table."""

import json
import random
import resource
import socket
import time
from typing import Annotated

import attrs
import typer

from toucanwood.steering import ClientBlocks

LOOKUPS = 100_000
REGIONS = 11
MIN_PREFIX_LENGTH = 24


@attrs.frozen
class Block:
    """A client block with the fields that it has in a declaration."""

    block: str
    region: str


def measure_blocks(
    counts: Annotated[str, typer.Option(help="Comma-separated numbers of blocks.")] = (
        "10000,100000,1000000,3600000"
    ),
    seed: int = 1,
) -> None:
    """Print memory and build time per block, and lookup time relative to a dict."""
    for count in map(int, counts.split(",")):
        print(json.dumps(measure_table(count, seed)), flush=True)


def measure_table(count: int, seed: int) -> dict[str, float]:
    """Build a table of adjacent blocks with random regions, and look up addresses."""
    rng = random.Random(seed)
    started = time.perf_counter()
    table = ClientBlocks.from_config(draw_blocks(count, rng))
    build_s = time.perf_counter() - started
    addresses = [draw_address(count, rng) for _ in range(LOOKUPS)]
    lookup = time_calls(table.locate, addresses)
    regions_by_address = dict.fromkeys(addresses, "r0")
    baseline = time_calls(regions_by_address.get, addresses)
    return {
        "blocks": count,
        "bytes_per_block": table.count_bytes() / count,
        "build_us_per_block": build_s / count * 1e6,
        "lookup_us": lookup * 1e6,
        "lookup_over_dict_get": lookup / baseline,
        "peak_process_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    }


def draw_blocks(count, rng):
    """Yield `count` adjacent blocks, whose prefix length depends on the count."""
    prefix_length = get_prefix_length(count)
    for index in range(count):
        packed = (index << (32 - prefix_length)).to_bytes(4)
        region = f"r{rng.randrange(REGIONS)}"
        yield Block(f"{socket.inet_ntoa(packed)}/{prefix_length}", region)


def draw_address(count, rng):
    """Return a random address in one of the blocks."""
    number = rng.randrange(count << (32 - get_prefix_length(count)))
    return socket.inet_ntoa(number.to_bytes(4))


def get_prefix_length(count):
    """Return the prefix length with which `count` blocks fit into IPv4."""
    return max(MIN_PREFIX_LENGTH, (count - 1).bit_length())


def time_calls(function, arguments):
    """Return the mean time of a call in seconds."""
    started = time.perf_counter()
    for argument in arguments:
        function(argument)
    return (time.perf_counter() - started) / len(arguments)

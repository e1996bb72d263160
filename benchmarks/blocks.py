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
BLOCK_BITS = 24


@attrs.frozen
class Block:
    """Describe one block as the declaration does."""

    block: str
    region: str


def measure_blocks(
    counts: Annotated[str, typer.Option(help="Comma-separated numbers of blocks.")] = (
        "10000,100000,1000000,3600000"
    ),
    seed: int = 1,
) -> None:
    """Print bytes and time per block, and time per lookup against a dict lookup."""
    for count in map(int, counts.split(",")):
        print(json.dumps(measure(count, seed)), flush=True)


def measure(count: int, seed: int) -> dict[str, float]:
    """Build a table of adjacent blocks with random regions and look addresses up."""
    rng = random.Random(seed)
    started = time.perf_counter()
    table = ClientBlocks.from_config(draw_blocks(count, rng))
    built = time.perf_counter() - started
    addresses = [draw_address(count, rng) for _ in range(LOOKUPS)]
    lookup = time_calls(table.locate, addresses)
    exact = dict.fromkeys(addresses, "r0")
    baseline = time_calls(exact.get, addresses)
    return {
        "blocks": count,
        "bytes_per_block": table.count_bytes() / count,
        "build_us_per_block": built / count * 1e6,
        "lookup_us": lookup * 1e6,
        "lookup_over_dict_get": lookup / baseline,
        "peak_process_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    }


def draw_blocks(count, rng):
    """Yield adjacent blocks; the prefix length follows from the count."""
    bits = block_bits(count)
    for index in range(count):
        packed = (index << (32 - bits)).to_bytes(4)
        region = f"r{rng.randrange(REGIONS)}"
        yield Block(f"{socket.inet_ntoa(packed)}/{bits}", region)


def draw_address(count, rng):
    """Return an address in a random block."""
    number = rng.randrange(count << (32 - block_bits(count)))
    return socket.inet_ntoa(number.to_bytes(4))


def block_bits(count):
    """Return the prefix length that fits `count` blocks into IPv4."""
    return max(BLOCK_BITS, (count - 1).bit_length())


def time_calls(function, arguments):
    """Return the mean time of a call in seconds."""
    started = time.perf_counter()
    for argument in arguments:
        function(argument)
    return (time.perf_counter() - started) / len(arguments)

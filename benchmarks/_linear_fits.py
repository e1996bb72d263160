"""Linear fits of measured costs, and helpers that measure CPU time and bytes."""

import math
import statistics
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgpack

from toucanwood.peering import decode_message, encode_message

REPEATS = 3
# Size of a frame header: length, version, kind and call id.
FRAME_BYTES = 9


def fit_line(points: Iterable[tuple[float, float]], at: float) -> dict[str, Any]:
    """Return the least-squares line through the points and its value at `at`."""
    pairs = list(points)
    xs, ys = zip(*pairs, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    residual = max(abs(y - slope * x - intercept) for x, y in pairs)
    return {
        "points": [[x, round_significant(y)] for x, y in pairs],
        "slope": round_significant(slope),
        "intercept": round_significant(intercept),
        "largest_residual": round_significant(residual),
        "at": at,
        "value": round_significant(slope * at + intercept),
    }


def round_significant(value: float) -> float:
    """Round to four significant digits."""
    return float(f"{value:.4g}") if math.isfinite(value) else value


def measure_cpu_us(function: Callable[[], Any], calls: int) -> float:
    """Return the CPU time of one call in microseconds, the minimum of the repeats."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(calls):
            function()
        times.append(time.process_time() - started)
    return min(times) / calls * 1e6


def encode(body: Any) -> bytes:
    """Encode a message as the body of a frame."""
    return msgpack.packb(encode_message(body))


def decode(encoded: bytes) -> Any:
    """Decode the message in the body of a frame."""
    return decode_message(msgpack.unpackb(encoded, strict_map_key=False))


def count_bytes(body: Any) -> int:
    """Return the size of a message on a connection, with its frame header."""
    return len(encode(body)) + FRAME_BYTES

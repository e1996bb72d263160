"""Linear fits of measured costs and the measuring helpers."""

import math
import statistics
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgpack

from toucanwood.peering import decode_message, encode_message

REPEATS = 3
# Length, version, kind and call id of a frame.
FRAME_BYTES = 9


def fit(points: Iterable[tuple[float, float]], at: float) -> dict[str, Any]:
    """Return slope, intercept, largest residual and the value of the line at `at`."""
    pairs = list(points)
    xs, ys = zip(*pairs, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    residual = max(abs(y - slope * x - intercept) for x, y in pairs)
    return {
        "points": [[x, round_figure(y)] for x, y in pairs],
        "slope": round_figure(slope),
        "intercept": round_figure(intercept),
        "largest_residual": round_figure(residual),
        "at": at,
        "value": round_figure(slope * at + intercept),
    }


def round_figure(value: float) -> float:
    """Round to four significant digits."""
    return float(f"{value:.4g}") if math.isfinite(value) else value


def measure_cpu(function: Callable[[], Any], calls: int) -> float:
    """Return the least process time of a call in microseconds over the repeats."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(calls):
            function()
        times.append(time.process_time() - started)
    return min(times) / calls * 1e6


def encode(body: Any) -> bytes:
    """Return a message as the body of a frame."""
    return msgpack.packb(encode_message(body))


def decode(encoded: bytes) -> Any:
    """Return the message of a frame body."""
    return decode_message(msgpack.unpackb(encoded, strict_map_key=False))


def count_bytes(body: Any) -> int:
    """Return the bytes of a message on a connection."""
    return len(encode(body)) + FRAME_BYTES

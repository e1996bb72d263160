"""Validation of the announcements of targets, before they reach the fleet state."""

import ipaddress
import math
from typing import Any

from toucanwood.fleet._target import Target
from toucanwood.utils import check_range

# Maximum length of an id, a name or a version, in characters.
MAX_TEXT_LENGTH = 256
MAX_PORT = 65_535
MAX_SLOTS = 100_000
# Maximum remaining duration of a cold start, in seconds.
MAX_COLD_START_S = 3600.0
# Maximum of a start time in milliseconds and of a sequence number.
MAX_COUNT = 2**63 - 1


def check_target(target: Target) -> None:
    """Raise ValueError unless a target can be stored and connected to."""
    for name in ("id", "service", "data_centre", "software"):
        _check_text(name, getattr(target, name))
    _check_address(target.address)
    check_range("slots", target.slots, low=1, high=MAX_SLOTS)
    check_range("sequence", target.sequence, low=0, high=MAX_COUNT)
    check_range("start_time_ms", target.start_time_ms, low=0, high=MAX_COUNT)
    if math.isnan(target.remaining_cold_start_s):
        raise ValueError("remaining_cold_start_s must be a number, got nan")
    check_range(
        "remaining_cold_start_s",
        target.remaining_cold_start_s,
        low=0.0,
        high=MAX_COLD_START_S,
    )


def _check_text(name: str, value: str) -> None:
    is_required = name != "software"
    if not is_required <= len(value) <= MAX_TEXT_LENGTH:
        raise ValueError(
            f"{name} must have {int(is_required)} to {MAX_TEXT_LENGTH} characters, "
            f"got {len(value)}"
        )
    if not value.isprintable():
        raise ValueError(f"{name} must be printable, got {_quote(value)}")


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError(f"address must be IP:PORT, got {_quote(address)}") from None
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(
            f"the port of address must be in [1, {MAX_PORT}], got {_quote(address)}"
        )


def _quote(value: Any) -> str:
    return ascii(value)[:MAX_TEXT_LENGTH]

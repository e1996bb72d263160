"""Decoding of JSON into values that messages and the replicated state can hold."""

import json
import math
from typing import Any, NoReturn

# Range of integers that msgpack can encode.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1


def decode_json(data: bytes) -> Any:
    """Decode JSON; raise ValueError for what is not JSON or does not fit.

    Numbers must be finite, integers between -2**63 and 2**64 - 1.
    """
    try:
        return json.loads(
            data,
            parse_int=_parse_integer,
            parse_float=_parse_float,
            parse_constant=_refuse_constant,
        )
    except RecursionError as error:
        raise ValueError("the nesting is too deep") from error


def _parse_integer(text: str) -> int:
    value = int(text)
    if not MIN_INTEGER <= value <= MAX_INTEGER:
        raise ValueError(
            f"integers must be in [{MIN_INTEGER}, {MAX_INTEGER}], got {text[:40]}"
        )
    return value


def _parse_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"numbers must be finite, got {text[:40]}")
    return value


def _refuse_constant(text: str) -> NoReturn:
    raise ValueError(f"numbers must be finite, got {text}")

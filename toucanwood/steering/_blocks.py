"""Lookup of the home region of a client address by longest prefix."""

import socket
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from typing import Protocol

import attrs

IPV4_BITS = 32
IPV6_BITS = 128
# Number of address bits in the IPv6 table. Longer prefixes are in one table of the
# lower 64 bits for each value of the upper 64 bits.
UPPER_BITS = 64
# Widths of the prefix length and of the region code in a packed key.
LENGTH_BITS = 8
CODE_BITS = 16
MAX_REGIONS = (1 << CODE_BITS) - 1
# Code of addresses that no block covers.
NO_REGION = 0
_IPV4_MAPPED_PREFIX = bytes(10) + b"\xff\xff"


class Block(Protocol):
    """A client block of the declaration."""

    @property
    def block(self) -> str:
        """Return the IP prefix, such as 10.1.0.0/16."""

    @property
    def region(self) -> str:
        """Return the home region of callers with an address in the block."""


@attrs.frozen
class PrefixTable:
    """Map addresses of one width to region codes by sorted, disjoint ranges.

    Each range begins at its item of `starts` and ends before the next one.
    """

    starts: array
    codes: array

    @classmethod
    def from_keys(cls, keys: list[int], width: int) -> "PrefixTable":
        """Build a table from packed keys; `width` is the address width in bits."""
        keys.sort()
        starts = array("I" if width == IPV4_BITS else "Q")
        codes = array("B" if _fits_bytes(keys) else "H")
        for start, code in _split_into_ranges(keys, width):
            if starts and starts[-1] == start:
                codes[-1] = code
            elif code != (codes[-1] if codes else NO_REGION):
                starts.append(start)
                codes.append(code)
        return cls(starts, codes)

    def find(self, address: int) -> int:
        """Return the region code of the longest prefix that covers the address."""
        index = bisect_right(self.starts, address) - 1
        return self.codes[index] if index >= 0 else NO_REGION

    def count_bytes(self) -> int:
        """Return the memory of the packed arrays in bytes."""
        per_range = self.starts.itemsize + self.codes.itemsize
        return len(self.starts) * per_range


class ClientBlocks:
    """Find the home region of a client address; the longest prefix wins."""

    def __init__(
        self,
        regions: tuple[str, ...],
        ipv4: PrefixTable,
        ipv6: PrefixTable,
        ipv6_long: dict[int, PrefixTable],
    ) -> None:
        self._regions = regions
        self._ipv4 = ipv4
        self._ipv6 = ipv6
        self._ipv6_long = ipv6_long

    @classmethod
    def from_config(cls, blocks: Iterable[Block]) -> "ClientBlocks":
        """Build the lookup tables.

        Raises ValueError for an invalid or repeated prefix.
        """
        return _Builder().build(blocks)

    def locate(self, address: str) -> str | None:
        """Return the home region of an address, or None if no block covers it.

        Raises ValueError if `address` is not an IP address.
        """
        packed = pack_address(address)
        if len(packed) == IPV4_BITS // 8:
            code = self._ipv4.find(int.from_bytes(packed))
        else:
            code = self._find_ipv6(int.from_bytes(packed))
        return self._regions[code - 1] if code != NO_REGION else None

    def count_bytes(self) -> int:
        """Return the memory of the packed arrays in bytes."""
        tables = [self._ipv4, self._ipv6, *self._ipv6_long.values()]
        return sum(table.count_bytes() for table in tables)

    def _find_ipv6(self, address: int) -> int:
        upper = address >> UPPER_BITS
        lower_table = self._ipv6_long.get(upper)
        if lower_table is not None:
            code = lower_table.find(address & ((1 << UPPER_BITS) - 1))
            if code != NO_REGION:
                return code
        return self._ipv6.find(upper)


class _Builder:
    """Collect the keys of blocks by table and build the tables."""

    def __init__(self) -> None:
        self._codes: dict[str, int] = {}
        self._ipv4: list[int] = []
        self._ipv6: list[int] = []
        self._ipv6_long: dict[int, list[int]] = {}

    def build(self, blocks: Iterable[Block]) -> ClientBlocks:
        """Return the lookup of all blocks."""
        for block in blocks:
            self._add(block.block, self._encode_region(block.region))
        long_tables = {
            upper: PrefixTable.from_keys(keys, UPPER_BITS)
            for upper, keys in self._ipv6_long.items()
        }
        return ClientBlocks(
            tuple(self._codes),
            PrefixTable.from_keys(self._ipv4, IPV4_BITS),
            PrefixTable.from_keys(self._ipv6, UPPER_BITS),
            long_tables,
        )

    def _encode_region(self, region: str) -> int:
        code = self._codes.setdefault(region, len(self._codes) + 1)
        if code > MAX_REGIONS:
            raise ValueError(f"regions must be at most {MAX_REGIONS}, got {code}")
        return code

    def _add(self, block: str, code: int) -> None:
        start, length, bits = parse_block(block)
        if bits == IPV4_BITS:
            self._ipv4.append(_pack_key(start, length, code))
        elif length <= UPPER_BITS:
            upper = start >> UPPER_BITS
            self._ipv6.append(_pack_key(upper, length, code))
        else:
            lower = start & ((1 << UPPER_BITS) - 1)
            key = _pack_key(lower, length - UPPER_BITS, code)
            self._ipv6_long.setdefault(start >> UPPER_BITS, []).append(key)


def parse_block(block: str) -> tuple[int, int, int]:
    """Return the first address, the prefix length and the address width in bits.

    Raises ValueError if `block` is not an IP prefix or has host bits set.
    """
    address, slash, length_text = block.partition("/")
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    try:
        packed = socket.inet_pton(family, address)
    except OSError:
        raise ValueError(f"block must be an IP prefix, got {block!r}") from None
    bits = len(packed) * 8
    length = int(length_text) if slash and length_text.isdecimal() else -1
    start = int.from_bytes(packed)
    if not 0 <= length <= bits or start & ((1 << (bits - length)) - 1):
        raise ValueError(
            f"block must end in /0 to /{bits} with no host bits set, got {block!r}"
        )
    return start, length, bits


def pack_address(address: str) -> bytes:
    """Return the bytes of an address, for an IPv4-mapped address its IPv4 bytes.

    Raises ValueError if `address` is not an IP address.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    try:
        packed = socket.inet_pton(family, address)
    except OSError:
        raise ValueError(f"address must be an IP address, got {address!r}") from None
    if packed.startswith(_IPV4_MAPPED_PREFIX):
        return packed[len(_IPV4_MAPPED_PREFIX) :]
    return packed


def _pack_key(start: int, length: int, code: int) -> int:
    return ((start << LENGTH_BITS) | length) << CODE_BITS | code


def _unpack_key(key: int) -> tuple[int, int, int]:
    prefix = key >> CODE_BITS
    return (
        prefix >> LENGTH_BITS,
        prefix & ((1 << LENGTH_BITS) - 1),
        key & MAX_REGIONS,
    )


def _fits_bytes(keys: list[int]) -> bool:
    return all(key & MAX_REGIONS < 256 for key in keys)


def _split_into_ranges(keys: list[int], width: int) -> Iterator[tuple[int, int]]:
    """Yield the start and the region code of each range, in order of the starts.

    Where starts are equal, the last code applies. `keys` must be sorted.
    """
    # Ends and codes of the prefixes that cover the current address, longest last.
    covering: list[tuple[int, int]] = []
    previous = None
    for key in keys:
        start, length, code = _unpack_key(key)
        if (start, length) == previous:
            raise ValueError(f"block must be unique, got /{length} twice at {start:#x}")
        previous = start, length
        yield from _end_prefixes(covering, start)
        covering.append((start + (1 << (width - length)), code))
        yield start, code
    yield from _end_prefixes(covering, 1 << width)


def _end_prefixes(
    covering: list[tuple[int, int]], until: int
) -> Iterator[tuple[int, int]]:
    """Remove the prefixes that end at or before `until`.

    Yields the start and the code of the range that follows each of them.
    """
    while covering and covering[-1][0] <= until:
        end, _ = covering.pop()
        if end < until:
            yield end, covering[-1][1] if covering else NO_REGION

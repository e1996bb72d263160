"""Tests of the lookup of home regions by client address."""

import ipaddress

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from toucanwood.steering import ClientBlocks

REGIONS = ["norte", "occidente", "sureste"]


@attrs.frozen
class Block:
    block: str
    region: str


def build(*items):
    return ClientBlocks.from_config([Block(*item) for item in items])


@st.composite
def draw_blocks(draw, bits, high):
    # With few distinct high bits, many prefixes are nested or adjacent, or share their
    # start or end.
    make = ipaddress.IPv4Network if bits == 32 else ipaddress.IPv6Network
    networks = {}
    for _ in range(draw(st.integers(0, 12))):
        length = draw(st.integers(0, bits))
        address = draw(st.sampled_from(high)) | draw(st.integers(0, 7)) << (bits - 3)
        network = make((address >> (bits - length) << (bits - length), length))
        networks[network] = draw(st.sampled_from(REGIONS))
    return networks


def check_longest_prefix(networks, width):
    table = build(*((str(network), name) for network, name in networks.items()))
    edges = {int(network[0]) for network in networks}
    edges |= {int(network[-1]) for network in networks}
    near = {edge + step for edge in edges for step in (-1, 0, 1)} | {0}
    make = ipaddress.IPv4Address if width == 32 else ipaddress.IPv6Address
    for number in near:
        if not 0 <= number < 1 << width or number >> 32 == 0xFFFF:
            continue
        address = make(number)
        covering = [network for network in networks if address in network]
        longest = max(covering, key=lambda network: network.prefixlen, default=None)
        expected = networks[longest] if longest is not None else None
        assert table.locate(str(address)) == expected, address


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(draw_blocks(32, [0, 1, 0x0A000000, 0x0A000080, 0xFFFFFFFF]))
def test_ipv4_longest_prefix_wins(networks):
    # Guards against a nested prefix that hides the range after it, or that is hidden by
    # the outer prefix.
    check_longest_prefix(networks, 32)


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(draw_blocks(128, [0, 1 << 64, (1 << 64) - 1, 5 << 60, 5, (1 << 128) - 1]))
def test_ipv6_longest_prefix_wins(networks):
    # Guards against errors at the boundary between the upper and the lower 64 bits.
    check_longest_prefix(networks, 128)


def test_ipv4_mapped_address_is_found_as_ipv4():
    # Guards against a caller without a home region because a dual-stack socket reports
    # an IPv4-mapped address.
    assert build(("10.0.0.0/8", "norte")).locate("::ffff:10.1.2.3") == "norte"


def test_invalid_and_repeated_blocks_are_refused():
    # Guards against a typing error in the declaration that silently assigns callers to
    # another region.
    for bad in ("10.0.0.1/8", "10.0.0.0", "10.0.0.0/33", "x/8", "10.0.0.0/-1"):
        try:
            build((bad, "norte"))
        except ValueError as error:
            assert bad in str(error)
        else:
            raise AssertionError(f"{bad} must be refused")
    try:
        build(("10.0.0.0/8", "norte"), ("10.0.0.0/8", "sureste"))
    except ValueError as error:
        assert "unique" in str(error)
    else:
        raise AssertionError("a repeated block must be refused")


def test_adjacent_blocks_need_five_bytes_each():
    # Guards against a table that needs too much memory on an instance.
    blocks = [(f"10.{i >> 8}.{i & 255}.0/24", REGIONS[i % 3]) for i in range(10_000)]
    assert build(*blocks).count_bytes() <= 5 * 10_000 + 5

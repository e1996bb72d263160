"""Reading and validation of the settings of an instance."""

import ipaddress
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs

from toucanwood.utils import FieldError, MappingReader, ValidationError, load_yaml

MIN_SECRET_CHARACTERS = 16
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
MIN_LOOKUP_TTL_S = 0.1
MAX_LOOKUP_TTL_S = 60.0
MAX_STOP_TIMEOUT_S = 86400.0


@attrs.frozen
class PeerAddress:
    """Id and peer address (`ip:port`) of an instance."""

    id: str
    address: str


@attrs.frozen(kw_only=True)
class Settings:
    """Settings of one instance; times are in seconds, addresses are `ip:port`."""

    id: str
    data_centre: str
    region: str
    http: str
    peer: str
    peer_secret: str = attrs.field(repr=False)
    operator_token_sha256: str = attrs.field(repr=False)
    target_token_sha256: str = attrs.field(repr=False)
    peers: tuple[PeerAddress, ...] = ()
    control: tuple[PeerAddress, ...] = ()
    data_dir: Path | None = None
    statsd: str | None = None
    lookup_ttl: float = 2.0
    stop_timeout: float = 3600.0
    seed: int | None = None

    @classmethod
    def from_config(
        cls, mapping: Any, lines: Mapping[str, int] | None = None
    ) -> "Settings":
        """Build settings; raise a ValidationError with every error."""
        errors: list[FieldError] = []
        fields = _read_settings(MappingReader(mapping, "", errors, lines))
        if errors:
            raise ValidationError(errors)
        return cls(**fields)

    @classmethod
    def from_file(cls, path: Path) -> "Settings":
        """Read settings from a YAML file; raise ValidationError or OSError."""
        mapping, lines = load_yaml(path.read_text())
        return cls.from_config(mapping, lines)


def _read_settings(reader: MappingReader) -> dict[str, Any]:
    data_dir = reader.read("data_dir", str, None)
    fields = {
        "id": reader.read("id", str),
        "data_centre": reader.read("data_centre", str),
        "region": reader.read("region", str),
        "http": _read_address(reader, "http"),
        "peer": _read_address(reader, "peer"),
        "peer_secret": _read_secret(reader),
        "operator_token_sha256": _read_hash(reader, "operator_token_sha256"),
        "target_token_sha256": _read_hash(reader, "target_token_sha256"),
        "peers": _read_peers(reader, "peers", []),
        "control": _read_peers(reader, "control"),
        "data_dir": Path(data_dir) if data_dir else None,
        "statsd": _read_address(reader, "statsd", None),
        "lookup_ttl": reader.read_number(
            "lookup_ttl", 2.0, low=MIN_LOOKUP_TTL_S, high=MAX_LOOKUP_TTL_S
        ),
        "stop_timeout": reader.read_number(
            "stop_timeout", 3600.0, low=0, high=MAX_STOP_TIMEOUT_S
        ),
        "seed": reader.read_number("seed", None, low=0, integer=True),
    }
    reader.report_unknown_fields()
    return fields


def _read_peers(
    reader: MappingReader, name: str, *default: Any
) -> tuple[PeerAddress, ...]:
    peers = []
    for item in reader.read_items(name, *default):
        peers.append(PeerAddress(item.read("id", str), _read_address(item, "address")))
        item.report_unknown_fields()
    return tuple(peers)


def _read_address(reader: MappingReader, name: str, *default: Any) -> Any:
    address = reader.read(name, str, *default)
    if address is not None and not is_address(address):
        reader.add_error(name, address, "an IP address and port such as 127.0.0.1:8101")
    return address


def is_address(address: str) -> bool:
    """Return whether a text is an IP address and a port."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        return 0 < int(port) < 65536
    except ValueError:
        return False


def _read_secret(reader: MappingReader) -> Any:
    secret = reader.read("peer_secret", str)
    if secret is not None and len(secret) < MIN_SECRET_CHARACTERS:
        # The message must not contain the secret.
        got = f"{len(secret)} characters"
        reader.add_error("peer_secret", got, f"at least {MIN_SECRET_CHARACTERS}")
    return secret


def _read_hash(reader: MappingReader, name: str) -> Any:
    value = reader.read(name, str)
    if value is not None and not SHA256_PATTERN.fullmatch(value):
        got = f"{len(value)} characters"
        reader.add_error(name, got, "a SHA-256 as 64 lower-case hexadecimal digits")
    return value

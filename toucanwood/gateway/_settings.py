"""The settings of an entry."""

from collections.abc import Mapping
from typing import Any

import attrs

from toucanwood.httpd import DEFAULT_BODY_MEMORY_BYTES
from toucanwood.utils import FieldError, MappingReader, ValidationError


@attrs.frozen
class GatewaySettings:
    """Settings of one entry process; times are in seconds."""

    id: str
    data_centre: str
    region: str
    listen: str
    ready: str
    ready_path: str
    peer: str
    peer_port: int
    controllers: tuple[str, ...]
    region_by_data_centre: Mapping[str, str]
    link_bytes_per_s: float
    stop_grace_s: float = 6.0
    retry_fraction: float = 0.1
    retry_slack: float = 10.0
    retry_window_s: float = 10.0
    shift_fraction: float = 1.0
    shift_window_s: float = 2.0
    # Port of the relays on the controllers' machines; None uses no relays.
    relay_port: int | None = None
    # While the fleet state has not been proven current for longer than this, a request
    # with an unknown route or key gets a retryable error instead of a final one.
    max_state_age_s: float = 1.5
    # Memory that the bodies of requests in progress may take.
    body_memory_bytes: int = DEFAULT_BODY_MEMORY_BYTES
    # Files that the process may open; None uses the limit of the system.
    max_open_files: int | None = None
    # Address of the metrics server as `ip:port`; None starts no metrics server.
    metrics: str | None = None

    @classmethod
    def from_config(
        cls, mapping: Mapping[str, Any], lines: Mapping[str, int] | None = None
    ) -> "GatewaySettings":
        """Build the settings; raise a ValidationError that lists all errors."""
        errors: list[FieldError] = []
        reader = MappingReader(mapping, "", errors, lines)
        values: dict[str, Any] = {
            name: reader.read(name, str)
            for name in ("id", "data_centre", "region", "listen", "ready", "peer")
        }
        values["relay_port"] = reader.read_number(
            "relay_port", None, low=1, integer=True
        )
        values["max_open_files"] = reader.read_number(
            "max_open_files", None, low=1, integer=True
        )
        values["metrics"] = reader.read("metrics", str, None)
        values["ready_path"] = reader.read("ready_path", str, "/ready")
        values["peer_port"] = reader.read_number("peer_port", low=1, integer=True)
        values["controllers"] = tuple(reader.read("controllers", list) or ())
        values["region_by_data_centre"] = reader.read("region_by_data_centre", Mapping)
        values["link_bytes_per_s"] = reader.read_number("link_bytes_per_s", low=1)
        for field in attrs.fields(cls):
            if field.name not in values:
                is_integer = isinstance(field.default, int)
                values[field.name] = reader.read_number(
                    field.name, field.default, low=0, integer=is_integer
                )
        if errors:
            raise ValidationError(errors)
        return cls(**values)

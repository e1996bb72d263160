"""The settings of a controller."""

from collections.abc import Mapping
from typing import Any

import attrs

from toucanwood.utils import FieldError, MappingReader, ValidationError


@attrs.frozen
class ControllerSettings:
    """Hold what one control process needs to know; times are in seconds.

    `founders` are the controllers that form the first group; it is empty on every
    start but the first of the whole system.
    """

    id: str
    data_centre: str
    region: str
    control: str
    directory: str
    peer: str
    peer_port: int
    controllers: tuple[str, ...]
    founders: tuple[str, ...]
    region_by_data_centre: Mapping[str, str]
    data_dir: str
    lookup_ttl_s: float = 2.0
    # The port on which large responses are relayed; None relays none.
    relay_port: int | None = None
    # Where the metrics are read, as `ip:port`; None serves none.
    metrics: str | None = None

    @classmethod
    def from_config(cls, mapping: Mapping[str, Any]) -> "ControllerSettings":
        """Build the settings; raise ValidationError that lists every error."""
        errors: list[FieldError] = []
        reader = MappingReader(mapping, "", errors)
        names = ("id", "data_centre", "region", "control", "directory", "peer")
        values: dict[str, Any] = {name: reader.read(name, str) for name in names}
        values["data_dir"] = reader.read("data_dir", str)
        values["relay_port"] = reader.read_number(
            "relay_port", None, low=1, integer=True
        )
        values["metrics"] = reader.read("metrics", str, None)
        values["peer_port"] = reader.read_number("peer_port", low=1, integer=True)
        for name in ("controllers", "founders"):
            values[name] = tuple(reader.read(name, list) or ())
        values["region_by_data_centre"] = reader.read("region_by_data_centre", Mapping)
        default_ttl = attrs.fields(cls).lookup_ttl_s.default
        values["lookup_ttl_s"] = reader.read_number("lookup_ttl_s", default_ttl, low=0)
        if errors:
            raise ValidationError(errors)
        return cls(**values)

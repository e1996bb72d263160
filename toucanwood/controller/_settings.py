"""The settings of a controller."""

from collections.abc import Mapping
from typing import Any

import attrs

from toucanwood.httpd import DEFAULT_BODY_MEMORY_BYTES
from toucanwood.utils import FieldError, MappingReader, ValidationError


@attrs.frozen
class ControllerSettings:
    """Hold the settings of one controller process.

    `founders` are the controllers that form the initial consensus group. It is empty
    except at the first start of the whole system.
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
    # The port of the relay for large responses; None disables the relay.
    relay_port: int | None = None
    # Time in seconds that a planned stop may take.
    stop_grace_s: float = 6.0
    # Time in seconds without a sign of life after which another controller may take the
    # place of one in the control group.
    gone_after_s: float = 10.0
    # Memory that the bodies of requests in progress may take.
    body_memory_bytes: int = DEFAULT_BODY_MEMORY_BYTES
    # Files that the process may open; None uses the limit of the system.
    max_open_files: int | None = None
    # The `ip:port` on which metrics are served; None disables them.
    metrics: str | None = None

    @classmethod
    def from_config(
        cls, mapping: Mapping[str, Any], lines: Mapping[str, int] | None = None
    ) -> "ControllerSettings":
        """Build the settings; raise ValidationError with a list of all faults."""
        errors: list[FieldError] = []
        reader = MappingReader(mapping, "", errors, lines)
        names = ("id", "data_centre", "region", "control", "directory", "peer")
        values: dict[str, Any] = {name: reader.read(name, str) for name in names}
        values["data_dir"] = reader.read("data_dir", str)
        values["relay_port"] = reader.read_number(
            "relay_port", None, low=1, integer=True
        )
        values["max_open_files"] = reader.read_number(
            "max_open_files", None, low=1, integer=True
        )
        values["metrics"] = reader.read("metrics", str, None)
        values["peer_port"] = reader.read_number("peer_port", low=1, integer=True)
        for name in ("controllers", "founders"):
            values[name] = tuple(reader.read(name, list) or ())
        values["region_by_data_centre"] = reader.read("region_by_data_centre", Mapping)
        values["body_memory_bytes"] = reader.read_number(
            "body_memory_bytes", DEFAULT_BODY_MEMORY_BYTES, low=0, integer=True
        )
        for name in ("lookup_ttl_s", "stop_grace_s", "gone_after_s"):
            default = getattr(attrs.fields(cls), name).default
            values[name] = reader.read_number(name, default, low=0)
        if errors:
            raise ValidationError(errors)
        return cls(**values)

"""The settings of a controller."""

from collections.abc import Mapping
from typing import Any

import attrs

from toucanwood.utils import Fault, Reader, ValidationError


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
    lost_disks: int = 1
    stop_grace_s: float = 6.0
    metrics: str = ""

    @classmethod
    def from_config(cls, mapping: Mapping[str, Any]) -> "ControllerSettings":
        """Build the settings; raise ValidationError that lists every fault."""
        faults: list[Fault] = []
        reader = Reader(mapping, "", faults)
        names = ("id", "data_centre", "region", "control", "directory", "peer")
        values: dict[str, Any] = {name: reader.read(name, str) for name in names}
        values["data_dir"] = reader.read("data_dir", str)
        values["peer_port"] = reader.read_number("peer_port", low=1, integer=True)
        for name in ("controllers", "founders"):
            values[name] = tuple(reader.read(name, list) or ())
        values["region_by_data_centre"] = reader.read("region_by_data_centre", Mapping)
        values["metrics"] = reader.read("metrics", str, "")
        for name in ("lookup_ttl_s", "stop_grace_s"):
            default = getattr(attrs.fields(cls), name).default
            values[name] = reader.read_number(name, default, low=0)
        values["lost_disks"] = reader.read_number("lost_disks", 1, low=0, integer=True)
        if faults:
            raise ValidationError(faults)
        return cls(**values)

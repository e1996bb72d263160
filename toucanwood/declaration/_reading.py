"""Reading and validation of the fields of a declaration."""

import ipaddress
from collections.abc import Mapping
from typing import Any

from toucanwood.utils import FieldError, MappingReader

MAX_RATE_PER_S = 1e6
MAX_BURST = 1e7
MIN_DEADLINE_S = 0.01
MAX_DEADLINE_S = 3600.0
MIN_SHIFT_INTERVAL_S = 1.0
MAX_SHIFT_INTERVAL_S = 86400.0
RESERVED_PREFIX = "/.toucanwood/"
ACCESS_KINDS = ("keyed", "open")


def read_declaration(
    mapping: Any, errors: list[FieldError], lines: Mapping[str, int] | None
) -> dict[str, Any]:
    """Return the validated fields and append every error to `errors`."""
    reader = MappingReader(mapping, "", errors, lines)
    blocks = reader.read_items("client_blocks", [])
    fields: dict[str, Any] = {
        "regions": [_read_region(item) for item in reader.read_items("regions")],
        "organisations": [
            _read_organisation(item) for item in reader.read_items("organisations", [])
        ],
        "services": [_read_service(item) for item in reader.read_items("services", [])],
        "drains": _read_drains(reader.read_mapping("drains")),
        "links": [_read_link(item) for item in reader.read_items("links", [])],
        "blocks": [_read_block(item) for item in blocks],
    }
    reader.read("control_voters", list, [])
    reader.report_unknown_fields()
    _check_unique(reader, fields)
    _check_references(reader, fields)
    return fields


def _read_region(reader: MappingReader) -> dict[str, Any]:
    fields = {
        "name": reader.read("name", str),
        "data_centres": _read_names(reader, "data_centres"),
    }
    if not fields["data_centres"]:
        reader.add_error("data_centres", [], "at least one data centre")
    reader.report_unknown_fields()
    return fields


def _read_organisation(reader: MappingReader) -> dict[str, Any]:
    fields = {
        "name": reader.read("name", str),
        "rate": reader.read_number("rate", low=0, high=MAX_RATE_PER_S),
        "burst": reader.read_number("burst", low=1, high=MAX_BURST),
    }
    reader.report_unknown_fields()
    return fields


def _read_service(reader: MappingReader) -> dict[str, Any]:
    fields = {
        "name": reader.read("name", str),
        "routes": [_read_route(item) for item in reader.read_items("routes")],
        "idempotent": reader.read("idempotent", bool, True),
        "deadline": reader.read_number(
            "deadline", 2.0, low=MIN_DEADLINE_S, high=MAX_DEADLINE_S
        ),
        "shed_statuses": _read_statuses(reader),
        "shift_cap": _read_shift_cap(reader.read_mapping("shift_cap")),
        "weight_by_region": _read_weights(reader),
    }
    reader.report_unknown_fields()
    return fields


def _read_route(reader: MappingReader) -> dict[str, Any]:
    prefix = reader.read("prefix", str)
    if prefix is not None and not prefix.startswith("/"):
        reader.add_error("prefix", prefix, "a path that starts with /")
    if prefix is not None and prefix.startswith(RESERVED_PREFIX):
        reader.add_error("prefix", prefix, f"a path outside {RESERVED_PREFIX}")
    access = reader.read_choice("access", ACCESS_KINDS, "keyed")
    reader.report_unknown_fields()
    return {"prefix": prefix, "access": access}


def _read_statuses(reader: MappingReader) -> list[int]:
    shed_statuses = reader.read("shed_statuses", list, [])
    for status in shed_statuses:
        if not isinstance(status, int) or not 400 <= status <= 599:
            reader.add_error("shed_statuses", status, "HTTP statuses in [400, 599]")
            return []
    return shed_statuses


def _read_shift_cap(reader: MappingReader) -> dict[str, Any]:
    fields = {
        "fraction": reader.read_number("fraction", 1.0, low=0, high=1),
        "interval": reader.read_number(
            "interval", 30.0, low=MIN_SHIFT_INTERVAL_S, high=MAX_SHIFT_INTERVAL_S
        ),
    }
    reader.report_unknown_fields()
    return fields


def _read_weights(reader: MappingReader) -> dict[str, float]:
    weights = reader.read("weight_by_region", Mapping, {})
    for region, weight in weights.items():
        if not isinstance(weight, (int, float)) or not 0 <= weight <= 1:
            reader.add_error(f"weight_by_region.{region}", weight, "a number in [0, 1]")
    return dict(weights)


def _read_drains(reader: MappingReader) -> dict[str, Any]:
    fields = {
        "regions": _read_names(reader, "regions"),
        "data_centres": _read_names(reader, "data_centres"),
    }
    reader.report_unknown_fields()
    return fields


def _read_link(reader: MappingReader) -> dict[str, Any]:
    regions = _read_names(reader, "regions")
    if len(regions) != 2:
        reader.add_error("regions", regions, "two region names")
    fields = {
        "regions": regions,
        "capacity_mbit": reader.read_number("capacity_mbit", low=1, high=1e7),
        "bulk_share": reader.read_number("bulk_share", 0.5, low=0.01, high=1),
    }
    reader.report_unknown_fields()
    return fields


def _read_block(reader: MappingReader) -> dict[str, Any]:
    block = reader.read("block", str)
    try:
        ipaddress.ip_network(block or "")
    except ValueError:
        if block is not None:
            reader.add_error("block", block, "an IP prefix such as 10.0.0.0/8")
    region = reader.read("region", str)
    reader.report_unknown_fields()
    return {"block": block, "region": region}


def _read_names(reader: MappingReader, name: str) -> list[str]:
    names = reader.read(name, list, []) or []
    if not all(isinstance(item, str) for item in names):
        reader.add_error(name, names, "a list of names")
        return []
    return names


def _check_unique(reader: MappingReader, fields: dict[str, Any]) -> None:
    for section in ("regions", "organisations", "services"):
        _report_duplicates(reader, section, [item["name"] for item in fields[section]])
    data_centres = [dc for region in fields["regions"] for dc in region["data_centres"]]
    _report_duplicates(reader, "regions", data_centres)
    prefixes = [
        route["prefix"] for item in fields["services"] for route in item["routes"]
    ]
    _report_duplicates(reader, "services", prefixes)
    _report_duplicates(
        reader, "client_blocks", [item["block"] for item in fields["blocks"]]
    )


def _report_duplicates(reader: MappingReader, section: str, names: list[Any]) -> None:
    seen = set()
    for name in names:
        if name is not None and name in seen:
            reader.add_error(section, name, "unique names, prefixes and blocks")
        seen.add(name)


def _check_references(reader: MappingReader, fields: dict[str, Any]) -> None:
    regions = {item["name"] for item in fields["regions"]}
    data_centres = {dc for region in fields["regions"] for dc in region["data_centres"]}
    known_regions = "one of the regions " + ", ".join(sorted(map(str, regions)))
    known_data_centres = "one of the data centres " + ", ".join(
        sorted(map(str, data_centres))
    )
    for name in fields["drains"]["regions"]:
        if name not in regions:
            reader.add_error("drains.regions", name, known_regions)
    for name in fields["drains"]["data_centres"]:
        if name not in data_centres:
            reader.add_error("drains.data_centres", name, known_data_centres)
    for index, link in enumerate(fields["links"]):
        for name in link["regions"]:
            if name not in regions:
                reader.add_error(f"links[{index}].regions", name, known_regions)
    for index, block in enumerate(fields["blocks"]):
        if block["region"] is not None and block["region"] not in regions:
            path = f"client_blocks[{index}].region"
            reader.add_error(path, block["region"], known_regions)
    for index, service in enumerate(fields["services"]):
        for name in service["weight_by_region"]:
            if name not in regions:
                path = f"services[{index}].weight_by_region"
                reader.add_error(path, name, known_regions)

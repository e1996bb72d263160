"""Write the settings and declarations of the two example deployments.

The files are committed; run this again after a change of the settings format.
"""

import hashlib
import pathlib
from collections.abc import Sequence
from typing import Any

import attrs
import yaml

ROOT = pathlib.Path(__file__).resolve().parent
# Example values only; a real deployment sets its own.
PEER_SECRET = "example-peer-secret-change-me"
OPERATOR_TOKEN = "example-operator-token"
TARGET_TOKEN = "example-target-token"
LINK_MBIT = 4000
PEER_PORT_OFFSET = 1000
ENTRIES_BY_REGION = (("1-a", "1-b", "2-a"), ("1-a", "1-b", "2-a"), ("1-a", "2-a"))
ORGANISATION_SIZES = (("large", 2, 120, 240), ("small", 6, 20, 60))


@attrs.frozen
class Workers:
    """Describe the targets of one service."""

    service: str
    count: int
    slots: int
    idempotent: bool
    deadline: float


@attrs.frozen
class Deployment:
    """Describe one example deployment."""

    name: str
    regions: tuple[str, str, str]
    workers: tuple[Workers, ...]
    first_port: int


DEPLOYMENTS = (
    Deployment(
        "measuring",
        ("norte", "occidente", "sureste"),
        (
            Workers("buscador", 14, 6, True, 2.0),
            Workers("reembolsos", 12, 4, False, 5.0),
            Workers("expedientes", 12, 3, True, 120.0),
        ),
        8101,
    ),
    Deployment(
        "ordering",
        ("ost", "west", "sued"),
        (
            Workers("katalog", 14, 6, True, 1.0),
            Workers("kasse", 12, 4, False, 5.0),
            Workers("archiv", 12, 3, True, 120.0),
        ),
        8201,
    ),
)


def list_entries(deployment: Deployment) -> list[tuple[str, str, str]]:
    """Return id, data centre and region of each of the 8 entries."""
    return [
        (f"{region}-{suffix}", f"{region}-{suffix[0]}", region)
        for region, suffixes in zip(deployment.regions, ENTRIES_BY_REGION, strict=True)
        for suffix in suffixes
    ]


def build_settings(
    deployment: Deployment, ports: Sequence[int] | None = None
) -> list[dict[str, Any]]:
    """Return the settings of each entry; the first of each region has a disk.

    `ports` gives two ports for each entry, first all HTTP ports, then all peer ports.
    """
    entries = list_entries(deployment)
    count = len(entries)
    if ports is None:
        first = deployment.first_port
        ports = [
            *range(first, first + count),
            *range(first + 1000, first + 1000 + count),
        ]
    peer_by_id = {
        entry_id: f"127.0.0.1:{ports[count + index]}"
        for index, (entry_id, _, _) in enumerate(entries)
    }
    control = [
        {"id": f"{region}-1-a", "address": peer_by_id[f"{region}-1-a"]}
        for region in deployment.regions
    ]
    return [
        {
            "id": entry_id,
            "data_centre": data_centre,
            "region": region,
            "http": f"127.0.0.1:{ports[index]}",
            "peer": peer_by_id[entry_id],
            "peers": control,
            "control": control,
            **({"data_dir": f"data/{entry_id}"} if entry_id.endswith("-1-a") else {}),
            "peer_secret": PEER_SECRET,
            "operator_token_sha256": hash_token(OPERATOR_TOKEN),
            "target_token_sha256": hash_token(TARGET_TOKEN),
        }
        for index, (entry_id, data_centre, region) in enumerate(entries)
    ]


def build_declaration(deployment: Deployment) -> dict[str, Any]:
    """Return the declaration of a deployment."""
    first, second, third = deployment.regions
    pairs = [[first, second], [first, third], [second, third]]
    return {
        "regions": [
            {"name": region, "data_centres": [f"{region}-1", f"{region}-2"]}
            for region in deployment.regions
        ],
        "organisations": [
            {"name": f"{size}-{number}", "rate": rate, "burst": burst}
            for size, count, rate, burst in ORGANISATION_SIZES
            for number in range(1, count + 1)
        ],
        "services": [build_service(workers) for workers in deployment.workers],
        "links": [
            {"regions": pair, "capacity_mbit": LINK_MBIT, "bulk_share": 0.5}
            for pair in pairs
        ],
        "client_blocks": [
            {"block": f"127.0.{number}.0/24", "region": region}
            for number, region in enumerate(deployment.regions, start=1)
        ],
    }


def build_service(workers: Workers) -> dict[str, Any]:
    """Return the declaration of one service."""
    return {
        "name": workers.service,
        "routes": [
            {"prefix": f"/{workers.service}/", "access": "keyed"},
            {"prefix": f"/{workers.service}/status", "access": "open"},
        ],
        "idempotent": workers.idempotent,
        "deadline": workers.deadline,
        "shed_statuses": [503],
        "shift_cap": {"fraction": 0.2, "interval": 10},
    }


def hash_token(token: str) -> str:
    """Return the SHA-256 that the settings hold."""
    return hashlib.sha256(token.encode()).hexdigest()


def main() -> None:
    """Write the files of every deployment."""
    for deployment in DEPLOYMENTS:
        folder = ROOT / deployment.name
        (folder / "settings").mkdir(parents=True, exist_ok=True)
        for settings in build_settings(deployment):
            path = folder / "settings" / f"{settings['id']}.yaml"
            path.write_text(yaml.safe_dump(settings, sort_keys=False))
        declaration = yaml.safe_dump(build_declaration(deployment), sort_keys=False)
        (folder / "declaration.yaml").write_text(declaration)


if __name__ == "__main__":
    main()

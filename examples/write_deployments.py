"""Write the settings and declarations of the two example deployments.

The files are committed; run this module again after a change of the settings format.
"""

import hashlib
import pathlib
from collections.abc import Sequence
from typing import Any

import attrs
import yaml

ROOT = pathlib.Path(__file__).resolve().parent
# Secrets for the examples only; a real deployment must set its own.
PEER_SECRET = "example-peer-secret-change-me"
OPERATOR_TOKEN = "example-operator-token"
TARGET_TOKEN = "example-target-token"
LINK_CAPACITY_MBIT = 4000
PEER_PORT_OFFSET = 1000
# Data centre and instance of each entry, for the three regions of a deployment.
ENTRY_SUFFIXES_BY_REGION = (
    ("1-a", "1-b", "2-a"),
    ("1-a", "1-b", "2-a"),
    ("1-a", "2-a"),
)
# Name, number of organisations, rate and burst of each class of organisations.
ORGANISATION_CLASSES = (("large", 2, 120, 240), ("small", 6, 20, 60))


@attrs.frozen
class ServiceTargets:
    """Number and size of the targets of one service, and properties of the service."""

    service: str
    count: int
    slots: int
    idempotent: bool
    deadline: float


@attrs.frozen
class Deployment:
    """Regions, services and ports of one example deployment."""

    name: str
    regions: tuple[str, str, str]
    targets: tuple[ServiceTargets, ...]
    first_port: int


DEPLOYMENTS = (
    Deployment(
        "measuring",
        ("norte", "occidente", "sureste"),
        (
            ServiceTargets("buscador", 14, 6, True, 2.0),
            ServiceTargets("reembolsos", 12, 4, False, 5.0),
            ServiceTargets("expedientes", 12, 3, True, 120.0),
        ),
        8101,
    ),
    Deployment(
        "ordering",
        ("ost", "west", "sued"),
        (
            ServiceTargets("katalog", 14, 6, True, 1.0),
            ServiceTargets("kasse", 12, 4, False, 5.0),
            ServiceTargets("archiv", 12, 3, True, 120.0),
        ),
        8201,
    ),
)


def list_entries(deployment: Deployment) -> list[tuple[str, str, str]]:
    """Return the id, data centre and region of each of the 8 entries."""
    return [
        (f"{region}-{suffix}", f"{region}-{suffix[0]}", region)
        for region, suffixes in zip(
            deployment.regions, ENTRY_SUFFIXES_BY_REGION, strict=True
        )
        for suffix in suffixes
    ]


def build_settings(
    deployment: Deployment, ports: Sequence[int] | None = None
) -> list[dict[str, Any]]:
    """Return the settings of each entry; the first of each region stores data.

    `ports` has two ports for each entry: first all HTTP ports, then all peer ports.
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
            for size, count, rate, burst in ORGANISATION_CLASSES
            for number in range(1, count + 1)
        ],
        "services": [build_service(targets) for targets in deployment.targets],
        "links": [
            {"regions": pair, "capacity_mbit": LINK_CAPACITY_MBIT, "bulk_share": 0.5}
            for pair in pairs
        ],
        "client_blocks": [
            {"block": f"127.0.{number}.0/24", "region": region}
            for number, region in enumerate(deployment.regions, start=1)
        ],
    }


def build_service(targets: ServiceTargets) -> dict[str, Any]:
    """Return the declaration of one service."""
    return {
        "name": targets.service,
        "routes": [
            {"prefix": f"/{targets.service}/", "access": "keyed"},
            {"prefix": f"/{targets.service}/status", "access": "open"},
        ],
        "idempotent": targets.idempotent,
        "deadline": targets.deadline,
        "shed_statuses": [503],
        "shift_cap": {"fraction": 0.2, "interval": 10},
    }


def hash_token(token: str) -> str:
    """Return the SHA-256 digest of a token, which the settings contain."""
    return hashlib.sha256(token.encode()).hexdigest()


def main() -> None:
    """Write the settings and the declaration of each deployment."""
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

"""Fixtures that run one control mechanism alone, for the capacity benchmark."""

import asyncio
import hashlib
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from toucanwood.membership import Member, MemberTable
from toucanwood.peering._frames import pack_frame
from toucanwood.peering._messages import encode_message
from toucanwood.state import Catalog, encode_command

REGIONS = 11
DATA_CENTRES = 24
ORGANISATIONS = 8


def build_member(index: int) -> Member:
    """Return the member with this index; indices cycle through the data centres."""
    centre = index % DATA_CENTRES
    return Member(
        id=f"region-{centre % REGIONS:02}-{index:04}",
        data_centre=f"dc-{centre:02}",
        region=f"region-{centre % REGIONS:02}",
        http=f"10.{centre}.{index // 200}.{index % 200}:8101",
        peer=f"10.{centre}.{index // 200}.{index % 200}:9101",
        incarnation=1_764_000_000_000 + index,
    )


def build_config(
    *, blocks: Iterable[Any] = (), organisations: int = 8
) -> dict[str, Any]:
    """Return a declaration with three services, as the mapping that is parsed."""
    centres: dict[str, list[str]] = {}
    for index in range(DATA_CENTRES):
        member = build_member(index)
        centres.setdefault(member.region, []).append(member.data_centre)
    return {
        "regions": [
            {"name": name, "data_centres": items} for name, items in centres.items()
        ],
        "organisations": [
            {"name": f"organisation-{index}", "rate": 40, "burst": 80}
            for index in range(organisations)
        ],
        "services": [
            {"name": name, "routes": [{"prefix": f"/{name}/"}]}
            for name in ("buscador", "reembolsos", "expedientes")
        ],
        "client_blocks": [
            {"block": item.block, "region": f"region-{int(item.region[1:]):02}"}
            for item in blocks
        ],
    }


class CountingTransport:
    """Encode messages like a connection, count their bytes and send nothing."""

    def __init__(self, instance_id: str = "self") -> None:
        self.instance_id = instance_id
        self.handlers: dict[type, Callable[..., Any]] = {}
        self.sent_bytes = 0
        self.sent_messages = 0
        self.on_send: Callable[[str, Any], None] = lambda peer_id, body: None

    def register(self, message_type: type, handler: Callable[..., Any]) -> None:
        """Store the handler."""
        self.handlers[message_type] = handler

    def connected_peers(self) -> frozenset[str]:
        """Return no peers."""
        return frozenset()

    def send(self, peer_id: str, body: Any) -> bool:
        """Encode and drop a message."""
        self.sent_bytes += len(pack_frame([1, 3, 0, *encode_message(body)]))
        self.sent_messages += 1
        self.on_send(peer_id, body)
        return True

    async def call(self, peer_id: str, body: Any, *, timeout: float) -> Any:
        """Encode and drop a message, and wait for the timeout, as no reply comes."""
        self.send(peer_id, body)
        await asyncio.sleep(timeout)


@attrs.frozen
class StubReplica:
    """A replica that knows the leader and whose lease is always fresh."""

    def lease_age(self) -> float:
        """Return a small age in seconds."""
        return 0.1

    def leader(self) -> str:
        """Return the id of a fixed leader."""
        return "region-00-0000"


def build_table(count: int) -> MemberTable:
    """Return a member table of `count` instances that has no updates to gossip."""
    table = MemberTable(build_member(0))
    for index in range(1, count):
        table.merge(build_member(index), 0.0)
    while table.take_updates():
        pass
    return table


def encode_declaration(config: dict[str, Any], revision: int = 0) -> bytes:
    """Return the command that applies a declaration."""
    return encode_command(
        {
            "kind": "apply_declaration",
            "declaration": config,
            "base_revision": revision,
            "request_id": f"request-{revision}",
            "time": float(revision),
        }
    )


def add_keys(catalog: Catalog, count: int) -> None:
    """Issue `count` API keys."""
    for index in range(count):
        digest = hashlib.sha256(str(index).encode()).digest()
        command = {
            "kind": "issue_key",
            "key_id": digest.hex()[:16],
            "sha256": digest,
            "organisation": f"organisation-{index % ORGANISATIONS}",
            "request_id": "",
        }
        catalog.apply(index, encode_command(command))


def add_operations(catalog: Catalog, count: int) -> None:
    """Begin `count` operations and finish each with a short response."""
    for index in range(count):
        name = {
            "organisation": f"organisation-{index % ORGANISATIONS}",
            "key": f"{index:032x}",
            "attempt_id": f"{index:016x}",
        }
        digest = hashlib.sha256(str(index).encode()).digest()
        begin = {"kind": "begin_operation", **name, "digest": digest}
        finish = {"kind": "finish_operation", **name, "status": 200, "body": b"ok"}
        catalog.apply(2 * index, encode_command(begin))
        catalog.apply(2 * index + 1, encode_command(finish))

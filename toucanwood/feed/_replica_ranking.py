"""Rendezvous hashing."""

import hashlib
from collections.abc import Iterable


def rank_replicas(instance_id: str, replicas: Iterable[str]) -> list[str]:
    """Return the replicas in this instance's order of preference.

    Each instance has its own order, so the instances spread evenly, also when a replica
    fails (Thaler and Ravishankar, 1998). A replica prefers itself.
    """

    def score(replica_id: str) -> tuple[bool, bytes]:
        content = f"{len(instance_id)}:{instance_id}{replica_id}".encode()
        digest = hashlib.blake2b(content, digest_size=8).digest()
        return replica_id == instance_id, digest

    return sorted(set(replicas), key=score, reverse=True)

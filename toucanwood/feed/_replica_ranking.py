"""Ranking of replicas by rendezvous hashing."""

import hashlib
from collections.abc import Iterable


def rank_replicas(instance_id: str, replicas: Iterable[str]) -> list[str]:
    """Return the replicas in the order of preference of an instance.

    Each instance has a different order, so the instances are distributed evenly over
    the replicas, also if one fails (Thaler and Ravishankar, 1998). A replica ranks
    itself first.
    """

    def score(replica_id: str) -> tuple[bool, bytes]:
        content = f"{len(instance_id)}:{instance_id}{replica_id}".encode()
        digest = hashlib.blake2b(content, digest_size=8).digest()
        return replica_id == instance_id, digest

    return sorted(set(replicas), key=score, reverse=True)

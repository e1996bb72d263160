"""What a request needs of a target."""

import attrs


@attrs.frozen
class PlacementRequest:
    """Describe one request that is to be placed; times are in seconds.

    `objective_at` is when it would be late, `deadline_at` when it is of no more use.
    The lowest `priorities` are the most urgent. `regions` is None where every region is
    allowed.
    """

    service: str
    priorities: tuple[int, ...]
    arrived_at: float
    objective_at: float
    deadline_at: float
    kind: str = ""
    object_key: str | None = None
    regions: frozenset[str] | None = None
    excluded: frozenset[str] = frozenset()

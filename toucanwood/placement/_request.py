"""The request as seen by placement."""

import attrs


@attrs.frozen
class PlacementRequest:
    """A request that is to be placed on a target; times are in seconds.

    A response after `objective_at` is late, and one after `deadline_at` is useless.
    `priorities` are compared as a tuple, and the lowest is the most urgent. `kind`
    groups requests with similar response times. `regions` are the allowed regions, None
    for all. `excluded` holds the ids of targets that may not be chosen.
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

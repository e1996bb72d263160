"""Decision records: how and why each request was routed."""

from collections import OrderedDict
from typing import Any

import attrs

CAPACITY = 4096


@attrs.define
class Attempt:
    """Record of one attempt to send a request to a target; times are in seconds."""

    target: str
    address: str
    region: str
    started: float
    queued: float = 0.0
    elapsed: float = 0.0
    connected: bool = False
    written: bool = False
    reused: bool = False
    status: int | None = None
    outcome: str = "running"
    error: str = ""


@attrs.define
class Decision:
    """Record of one request: the inputs of each routing step and the result."""

    request_id: str
    method: str
    path: str
    arrived: float
    revision: int
    service: str = ""
    access: str = ""
    idempotent: bool = False
    organisation: str = ""
    home_region: str = ""
    region: str = ""
    freshness: float = 0.0
    deadline: float = 0.0
    token_wait: float = 0.0
    retry_credit: float = 0.0
    attempts: list[Attempt] = attrs.field(factory=list)
    operation: str = ""
    status: int = 0
    code: str = ""
    verdict: str = ""
    elapsed: float = 0.0

    def to_dict(self) -> dict[str, Any]:
        """Return the record as JSON-serialisable values."""
        return attrs.asdict(self)


class DecisionLog:
    """Latest decision records by request id, up to a fixed number."""

    def __init__(self, *, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._decisions: OrderedDict[str, Decision] = OrderedDict()

    def add(self, decision: Decision) -> None:
        """Add a decision record; drop the oldest record if the log is full."""
        self._decisions[decision.request_id] = decision
        if len(self._decisions) > self._capacity:
            self._decisions.popitem(last=False)

    def find(self, request_id: str) -> Decision | None:
        """Return the decision record of a request, or None if it was dropped."""
        return self._decisions.get(request_id)

    def __len__(self) -> int:
        return len(self._decisions)

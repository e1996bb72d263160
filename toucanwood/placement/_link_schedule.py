"""When large responses are asked for, so that the entry's own link stays short."""

import attrs

# A response that takes the link for less than this is not worth a schedule.
MIN_TRANSFER_S = 0.02
# The size of a large response before one was seen: what a target sends at once.
ASSUMED_BYTES = 64 * 1024.0
# Weight of the last response in the mean size of a kind.
SIZE_WEIGHT = 0.1


@attrs.define
class Transfer:
    """Hold the planned use of the link by one response; times are in seconds."""

    starts_at: float
    duration_s: float
    is_complete: bool = False


@attrs.define
class LinkSchedule:
    """Ask for large responses one after the other.

    A target sends a whole response at once, as fast as the windows of the connection
    allow, and the entry can't hold it back. The load that this answers is a slow link
    that several large responses reach together: every small response then waits behind
    all of them. A request for a large response is therefore sent when its response will
    find the link free of other large ones.
    """

    bytes_per_s: float
    _free_at: float = 0.0
    _pending: int = 0
    _sizes: dict[str, float] = attrs.field(factory=dict)
    # Kinds that are taken for large until a response was seen.
    _large: set[str] = attrs.field(factory=set)

    def assume_large(self, kind: str) -> None:
        """Take responses of a kind for large until one was seen."""
        self._large.add(kind)

    def is_large(self, kind: str) -> bool:
        """Return whether responses of a kind are scheduled."""
        return self._measure(kind) >= MIN_TRANSFER_S

    def reserve(self, kind: str, work_s: float, now: float) -> Transfer:
        """Plan a response that arrives `work_s` after its request is sent."""
        starts_at = max(self._free_at, now + work_s)
        transfer = Transfer(starts_at, self._measure(kind))
        self._free_at = starts_at + transfer.duration_s
        self._pending += 1
        return transfer

    def complete(self, transfer: Transfer, size: int | None, now: float) -> None:
        """Correct the plan by the size of the response; None where none came."""
        if transfer.is_complete:
            return
        transfer.is_complete = True
        self._pending -= 1
        actual = size / self.bytes_per_s if size is not None else 0.0
        self._free_at += actual - transfer.duration_s
        if not self._pending:
            # It came earlier than planned, and nothing is planned after it.
            self._free_at = min(self._free_at, now + actual)

    def record_size(self, kind: str, size: int) -> None:
        """Learn from the size of one response."""
        known = self._sizes.get(kind)
        step = 1.0 if known is None else SIZE_WEIGHT
        self._sizes[kind] = (known or 0.0) + step * (size - (known or 0.0))

    def _measure(self, kind: str) -> float:
        """Return for how long a response of a kind uses the link."""
        assumed = ASSUMED_BYTES if kind in self._large else 0.0
        return self._sizes.get(kind, assumed) / self.bytes_per_s

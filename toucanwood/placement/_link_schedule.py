"""When large requests are sent, so that their responses do not congest the link.

The link is the network link of the entry. A large request is one whose response is
large.
"""

import attrs

# Minimum time on the link for a response to be scheduled.
MIN_TRANSFER_S = 0.02
# Assumed size of a response of a large kind until a response of that kind has been
# received: the amount that a target sends at once.
ASSUMED_LARGE_BYTES = 64 * 1024.0
# Weight of the latest response in the moving average of the sizes of a kind.
SIZE_WEIGHT = 0.1


@attrs.define
class Transfer:
    """The planned time of one response on the link; times are in seconds."""

    starts_at: float
    duration_s: float
    is_complete: bool = False


@attrs.define
class LinkSchedule:
    """Plan large responses so that they use the link one after the other.

    A target sends a whole response at once, as fast as the TCP windows of the
    connection allow, and the entry cannot delay it. When several large responses reach
    a slow link together, every small response waits behind all of them. A request for
    a large response is therefore sent so late that the link is free of other large
    responses when its response arrives.
    """

    bytes_per_s: float
    _link_free_at: float = 0.0
    _pending_transfers: int = 0
    _mean_sizes: dict[str, float] = attrs.field(factory=dict)
    # Kinds whose responses are assumed to be large until one has been received.
    _assumed_large: set[str] = attrs.field(factory=set)

    def assume_large(self, kind: str) -> None:
        """Assume that responses of a kind are large until one has been received."""
        self._assumed_large.add(kind)

    def is_large(self, kind: str) -> bool:
        """Return whether responses of a kind are large enough to be scheduled."""
        return self._estimate_duration(kind) >= MIN_TRANSFER_S

    def reserve(self, kind: str, work_s: float, now: float) -> Transfer:
        """Reserve the link for a response.

        The response arrives `work_s` after its request is sent, and `now` is the
        earliest time to send it.
        """
        starts_at = max(self._link_free_at, now + work_s)
        transfer = Transfer(starts_at, self._estimate_duration(kind))
        self._link_free_at = starts_at + transfer.duration_s
        self._pending_transfers += 1
        return transfer

    def complete(self, transfer: Transfer, size: int | None, now: float) -> None:
        """Correct the plan by the actual size; None if no response was received."""
        if transfer.is_complete:
            return
        transfer.is_complete = True
        self._pending_transfers -= 1
        actual = size / self.bytes_per_s if size is not None else 0.0
        self._link_free_at += actual - transfer.duration_s
        if not self._pending_transfers:
            # No other response is planned, so the link is free once this one has been
            # received, even if that is earlier than planned.
            self._link_free_at = min(self._link_free_at, now + actual)

    def record_size(self, kind: str, size: int) -> None:
        """Update the mean size of a kind by the size of one response."""
        mean = self._mean_sizes.get(kind)
        weight = 1.0 if mean is None else SIZE_WEIGHT
        self._mean_sizes[kind] = (mean or 0.0) + weight * (size - (mean or 0.0))

    def _estimate_duration(self, kind: str) -> float:
        """Return the expected time in seconds of a response of a kind on the link."""
        assumed = ASSUMED_LARGE_BYTES if kind in self._assumed_large else 0.0
        return self._mean_sizes.get(kind, assumed) / self.bytes_per_s

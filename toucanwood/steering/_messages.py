"""Messages from entries to the leader."""

import attrs

from toucanwood.peering import message


@message(90)
@attrs.frozen
class DemandReport:
    """Report the demand at one entry in slots: `{service: {home region: slots}}`."""

    sequence: int
    demand: dict[str, dict[str, float]]

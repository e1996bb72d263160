"""The other controllers that a controller knows."""

from collections.abc import Callable, Iterable

import attrs

# Time without an announcement after which a controller is not counted as live.
CONTROLLER_TIMEOUT_S = 2.0


@attrs.define
class KnownControllers:
    """Track when each other controller last announced itself, and where it runs.

    `on_added` is called once with the id of each controller.
    """

    own_id: str
    own_data_centre: str
    on_added: Callable[[str], None]
    # Times of the last announcements; -inf before the first one.
    _announced_at: dict[str, float] = attrs.field(factory=dict)
    _data_centres: dict[str, str] = attrs.field(factory=dict)

    def add(self, controllers: Iterable[str]) -> None:
        """Add controllers that another instance or the settings name."""
        for controller in controllers:
            if controller != self.own_id and controller not in self._announced_at:
                self._announced_at[controller] = float("-inf")
                self.on_added(controller)

    def record_announcement(
        self, controller: str, data_centre: str, now: float
    ) -> None:
        """Record that a controller has announced itself."""
        self.add([controller])
        self._announced_at[controller] = now
        self._data_centres[controller] = data_centre

    def list_known(self) -> list[str]:
        """Return the sorted ids of the other controllers."""
        return sorted(self._announced_at)

    def list_live(self, now: float) -> list[str]:
        """Return the other controllers that have announced themselves lately."""
        oldest = now - CONTROLLER_TIMEOUT_S
        return [key for key, at in self._announced_at.items() if at > oldest]

    def list_in_data_centre(self, data_centre: str, now: float) -> list[str]:
        """Return the live controllers of a data centre, with this one."""
        own = [self.own_id] if self.own_data_centre == data_centre else []
        return own + [
            controller
            for controller in self.list_live(now)
            if self._data_centres.get(controller) == data_centre
        ]

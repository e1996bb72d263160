"""The controllers that an entry knows, and the search for one to poll."""

import asyncio
import itertools
from collections.abc import Callable, Iterable, Iterator

import structlog

from toucanwood.controller import FleetUpdate, PollFleet
from toucanwood.peering import PeerNetwork, PeerUnavailable

log = structlog.get_logger()

# Maximum age of a state that is accepted as proven current.
MAX_STATE_AGE_S = 1.0
# Number of controllers to which probes are sent at each interval, and the timeout of a
# probe.
PROBED_CONTROLLERS = 3
PROBE_TIMEOUT_S = 2.0
# Version in a probe. It is newer than that of any state, so no answer carries a state.
PROBE_VERSION = 2**62


def is_proven(update: FleetUpdate) -> bool:
    """Return whether the state of a controller was proven current lately."""
    return 0 <= update.age_s <= MAX_STATE_AGE_S


class ControllerSearch:
    """Probe several controllers at once and select the first usable one.

    `is_usable` decides by the answer to a probe.
    """

    def __init__(
        self,
        network: PeerNetwork,
        *,
        peer_port: int,
        is_usable: Callable[[FleetUpdate], bool],
    ) -> None:
        self._network = network
        self._peer_port = peer_port
        self._is_usable = is_usable
        self._current_index = 0
        # Versions of the controllers that answered a probe, by index.
        self._probed_versions: dict[int, int] = {}
        self.controllers: list[str] = []

    @property
    def current(self) -> str:
        """Return the selected controller, "" if none is known."""
        return self.controllers[self._current_index] if self.controllers else ""

    def add(self, controllers: Iterable[str]) -> None:
        """Add controllers that are not known yet."""
        for controller in controllers:
            if controller not in self.controllers:
                address = f"{controller}:{self._peer_port}"
                self._network.set_address(controller, address)
                self.controllers.append(controller)

    def skip_current(self) -> None:
        """Let the next search begin behind the selected controller."""
        self._current_index = (self._current_index + 1) % max(len(self.controllers), 1)

    def select_controller(self, controller: str) -> None:
        """Select a known controller."""
        self._current_index = self.controllers.index(controller)

    def select_newest(self) -> bool:
        """Select the controller with the highest version of those that were probed."""
        if not self._probed_versions:
            return False
        self._current_index = max(
            self._probed_versions, key=lambda index: self._probed_versions[index]
        )
        self._probed_versions.pop(self._current_index)
        return True

    async def select(
        self,
        build_probe: Callable[[int], PollFleet],
        *,
        interval_s: float,
        wait_s: float,
        on_interval: Callable[[], None] = lambda: None,
    ) -> bool:
        """Probe controllers until one is usable; return False after `wait_s` seconds.

        Probes go to a few further controllers at each interval, in the order of the
        list. Earlier probes stay pending, since a reply may be slow on a busy link. The
        answers to probes carry no state: several copies would delay each other.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        probes: dict[asyncio.Task[bool], int] = {}
        numbers = itertools.count(self._current_index)
        try:
            while loop.time() < deadline:
                self._start_probes(probes, numbers, build_probe(PROBE_VERSION))
                if await self._wait_for_usable(probes, loop.time() + interval_s):
                    return True
                on_interval()
            self._current_index = next(numbers) % len(self.controllers)
            return False
        finally:
            for probe in probes:
                probe.cancel()

    def _start_probes(
        self,
        probes: dict[asyncio.Task[bool], int],
        numbers: Iterator[int],
        request: PollFleet,
    ) -> None:
        """Probe the next controllers that no probe is pending for."""
        known = len(self.controllers)
        for number in itertools.islice(numbers, min(PROBED_CONTROLLERS, known)):
            index = number % known
            if index not in probes.values():
                probe = asyncio.ensure_future(self._probe(index, request))
                probes[probe] = index

    async def _wait_for_usable(
        self, probes: dict[asyncio.Task[bool], int], until: float
    ) -> bool:
        """Wait until a probe finds a usable controller, and select it."""
        loop = asyncio.get_running_loop()
        while probes and loop.time() < until:
            done, _ = await asyncio.wait(
                probes,
                timeout=until - loop.time(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            # In the order of the list: a set of tasks has none that repeats.
            for probe in [item for item in probes if item in done]:
                index = probes.pop(probe)
                if probe.result():
                    self._current_index = index
                    return True
        await asyncio.sleep(until - loop.time())
        return False

    async def _probe(self, index: int, request: PollFleet) -> bool:
        """Return whether a controller is usable; record its version."""
        controller = self.controllers[index]
        try:
            update = await self._network.call(
                controller, request, timeout=PROBE_TIMEOUT_S
            )
        except PeerUnavailable as error:
            log.debug("controller_unreachable", id=controller, reason=str(error))
            return False
        if not isinstance(update, FleetUpdate):
            return False
        self.add(update.controllers)
        self._probed_versions[index] = update.version
        return self._is_usable(update)

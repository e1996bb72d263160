"""Health probes of targets that are ejected or may be in their cold start."""

import asyncio
from collections.abc import Callable

import structlog

from toucanwood.gateway._dispatcher import Dispatcher
from toucanwood.gateway._exchange import Exchange
from toucanwood.gateway._headers import HeaderNames
from toucanwood.placement import TargetRecord
from toucanwood.upstream import NoFreeFile, TargetClient, TargetError
from toucanwood.utils import TaskGroup, run_periodically

log = structlog.get_logger()

DUE_CHECK_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 1.0
# Time from a failed probe of a target that is assumed to be in its cold start to the
# next probe. A probe occupies a slot of its target, so it is not retried at once.
ASSUMED_COLD_PROBE_INTERVAL_S = 0.5
MAX_PROBE_BODY_BYTES = 4096


class Prober:
    """Probe only targets that are ejected or assumed to be in their cold start."""

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        client: TargetClient,
        header_names: HeaderNames,
        find_health_path: Callable[[str], str],
    ) -> None:
        self._dispatcher = dispatcher
        self._client = client
        self._header_names = header_names
        self._find_health_path = find_health_path
        self._tasks = TaskGroup()
        self._running: set[str] = set()
        self._next_id = 0

    def start(self) -> None:
        """Start checking regularly which targets need a probe."""
        checker = run_periodically(
            self._start_due_probes, DUE_CHECK_INTERVAL_S, name="probe-targets"
        )
        self._tasks.start(checker, name="probe-targets")

    async def stop(self) -> None:
        """Stop all probes."""
        await self._tasks.stop()

    async def _start_due_probes(self) -> None:
        now = asyncio.get_running_loop().time()
        for record in self._dispatcher.list_records():
            if self._is_due(record, now) and self._dispatcher.take_probe(record):
                self._running.add(record.id)
                self._tasks.start(self._probe(record), name=f"probe-{record.id}")

    def _is_due(self, record: TargetRecord, now: float) -> bool:
        if record.id in self._running or record.target.is_draining:
            return False
        if record.health.is_ejected:
            return now >= record.health.probe_at
        return record.is_assumed_cold and now >= record.health.probe_at

    async def _probe(self, record: TargetRecord) -> None:
        loop = asyncio.get_running_loop()
        start_time_ms = record.target.start_time_ms
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                is_healthy, remaining_cold_start_s = await self._send_probe(record)
        except NoFreeFile as error:
            log.debug("probe_not_sent", target=record.id, error=repr(error))
            return
        except (TargetError, TimeoutError) as error:
            is_healthy, remaining_cold_start_s = False, 0.0
            log.debug("probe_failed", target=record.id, error=repr(error))
        finally:
            self._running.discard(record.id)
        now = loop.time()
        if record.target.start_time_ms != start_time_ms:
            return
        if record.health.is_ejected:
            record.health.record_probe(is_healthy=is_healthy, now=now)
            log.info("target_probed", target=record.id, healthy=is_healthy)
        elif record.is_assumed_cold and not is_healthy:
            record.health.probe_at = now + ASSUMED_COLD_PROBE_INTERVAL_S
        if is_healthy:
            record.is_assumed_cold = False
            record.cold_until = max(record.cold_until, now + remaining_cold_start_s)

    async def _send_probe(self, record: TargetRecord) -> tuple[bool, float]:
        target = record.target
        self._next_id += 1
        request_id = f"probe-{self._next_id}"
        exchange = Exchange(self._client, self._header_names)
        try:
            await exchange.open(target.address, reuse=False)
            head = (
                f"GET {self._find_health_path(target.service)} HTTP/1.1\r\n"
                f"Host: {target.address}\r\n"
                f"{self._header_names.request_id}: {request_id}\r\n"
                f"{self._header_names.target_id}: {target.id}\r\n\r\n"
            )
            await exchange.send("GET", head.encode(), b"")
            response_head = await exchange.receive_unmatched(MAX_PROBE_BODY_BYTES)
        finally:
            exchange.close(is_complete=False)
        answering_id = response_head.headers.get(
            self._header_names.answering_target, target.id
        )
        is_healthy = response_head.code == 200 and answering_id == target.id
        return is_healthy, self._header_names.read_remaining_cold_start(
            response_head.headers
        )

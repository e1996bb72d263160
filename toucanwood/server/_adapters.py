"""Adapters from the interfaces of the entry to the packages that it uses."""

import asyncio
from collections.abc import Callable, Collection
from typing import Any

import attrs
from returns.result import Failure, Result

from toucanwood import dispatch, entry
from toucanwood.entry import OutcomeKind
from toucanwood.feed import CatalogView
from toucanwood.operations import OperationClient, OperationHandle, RecordedResponse
from toucanwood.steering import ClientBlocks, DemandMeter
from toucanwood.verdicts import Verdict, refuse

DISPATCH_OUTCOMES = {
    OutcomeKind.COMPLETED: dispatch.Outcome.OK,
    OutcomeKind.SHED: dispatch.Outcome.SHED,
    OutcomeKind.UNREACHABLE: dispatch.Outcome.FAILED,
    OutcomeKind.FAILED: dispatch.Outcome.FAILED,
    OutcomeKind.TIMED_OUT: dispatch.Outcome.FAILED,
    OutcomeKind.CANCELLED: dispatch.Outcome.CANCELLED,
    OutcomeKind.UNUSED: dispatch.Outcome.CANCELLED,
}
FIRST_SERVER_ERROR_STATUS = 500


def translate_outcome(outcome: entry.Outcome) -> dispatch.Outcome:
    """Return the outcome for the dispatcher; a server error counts as failed."""
    status = outcome.status or 0
    if outcome.kind is OutcomeKind.COMPLETED and status >= FIRST_SERVER_ERROR_STATUS:
        return dispatch.Outcome.FAILED
    return DISPATCH_OUTCOMES[outcome.kind]


@attrs.frozen
class DispatcherAdapter:
    """Adapt the dispatcher to the types of the entry."""

    dispatcher: dispatch.Dispatcher
    is_leaving: Callable[[], bool]

    async def acquire(
        self,
        service: str,
        organisation: str,
        region: str,
        *,
        deadline: float,
        exclude: Collection[str] = (),
    ) -> Result[Any, Verdict]:
        """Acquire a slot in a region before `deadline`."""
        return await self.dispatcher.acquire(
            service, organisation, region, deadline=deadline, exclude=exclude
        )

    def release(self, lease: Any, outcome: entry.Outcome) -> None:
        """Release a slot."""
        self.dispatcher.release(lease, translate_outcome(outcome))

    async def announce(self, announcement: entry.Announcement) -> Result[Any, Verdict]:
        """Take over or renew a target; a leaving instance refuses it."""
        if self.is_leaving():
            message = "this instance is stopping; announce to another instance"
            return Failure(refuse("instance_stopping", message, status=503))
        return await self.dispatcher.announce(
            dispatch.Announcement(
                id=announcement.id,
                service=announcement.service,
                address=announcement.address,
                data_centre=announcement.data_centre,
                slots=announcement.slots,
                load=announcement.load / announcement.slots,
            )
        )

    async def leave(self, target_id: str) -> Any:
        """Remove a target that announces that it leaves."""
        return await self.dispatcher.leave(target_id)


@attrs.frozen
class StartedOperation:
    """Hold the handle of an operation that may be dispatched."""

    operation: OperationHandle
    response: None = None


@attrs.frozen
class RecordedOperation:
    """Hold the recorded response of an operation that has run."""

    response: entry.RecordedResponse


@attrs.frozen
class OperationsAdapter:
    """Adapt the operation client to the types of the entry."""

    operations: OperationClient

    async def begin(
        self, organisation: str, key: str, digest: bytes, *, deadline: float
    ) -> Result[Any, Verdict]:
        """Commit a record of the operation, or return its recorded response."""
        result = await self.operations.begin(
            organisation, key, digest, deadline=deadline
        )
        return result.map(_wrap_begin_result)

    async def finish(
        self, operation: OperationHandle, response: entry.RecordedResponse
    ) -> None:
        """Record the response of an operation."""
        recorded = RecordedResponse(
            status=response.status, headers=response.headers, body=response.body
        )
        await self.operations.finish(operation, recorded)

    async def release(self, operation: OperationHandle) -> None:
        """Remove the record of an operation that is proven not to have run."""
        await self.operations.release(operation)

    def abandon(self, operation: OperationHandle) -> None:
        """Keep the record of an operation that may have run."""
        self.operations.abandon(operation)


def _wrap_begin_result(
    begin_result: OperationHandle | RecordedResponse,
) -> StartedOperation | RecordedOperation:
    if isinstance(begin_result, OperationHandle):
        return StartedOperation(begin_result)
    response = entry.RecordedResponse(
        status=begin_result.status, headers=begin_result.headers, body=begin_result.body
    )
    return RecordedOperation(response)


class ClientBlockLocator:
    """Locate clients by the blocks of the current declaration."""

    def __init__(self, view: CatalogView) -> None:
        self._view = view
        self._source: Any = None
        self._client_blocks = ClientBlocks.from_config([])

    def locate(self, address: str) -> str | None:
        """Return the home region of a client address."""
        source = self._view.declaration.client_blocks
        if source is not self._source:
            self._client_blocks = ClientBlocks.from_config(source)
            self._source = source
        return self._client_blocks.locate(address)


def record_demand(meter: DemandMeter, decision: Any) -> None:
    """Record the slot time of a request, or its refusal for lack of capacity."""
    if not decision.service or not decision.home_region:
        return
    if decision.attempts:
        now = asyncio.get_running_loop().time()
        duration = now - decision.attempts[0].started
        meter.record(decision.service, decision.home_region, duration)
    elif decision.code in ("no_capacity", "shift_cap_reached"):
        meter.record_refusal(decision.service, decision.home_region)

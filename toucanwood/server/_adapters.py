"""Adapters between the entry and the packages that it uses."""

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

OUTCOMES = {
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
    """Return the outcome for target selection; a server error counts as failed."""
    status = outcome.status or 0
    if outcome.kind is OutcomeKind.COMPLETED and status >= FIRST_SERVER_ERROR_STATUS:
        return dispatch.Outcome.FAILED
    return OUTCOMES[outcome.kind]


@attrs.frozen
class EntryDispatcher:
    """Give the entry the dispatcher's interface with the entry's own types."""

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
        """Get a slot in a region before `deadline`."""
        return await self.dispatcher.acquire(
            service, organisation, region, deadline=deadline, exclude=exclude
        )

    def release(self, lease: Any, outcome: entry.Outcome) -> None:
        """Give a slot back."""
        self.dispatcher.release(lease, translate_outcome(outcome))

    async def announce(self, announcement: entry.Announcement) -> Result[Any, Verdict]:
        """Take over or renew a target; a leaving instance sends it elsewhere."""
        if self.is_leaving():
            message = "this instance is stopping; announce to another one"
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
        """Let a target leave."""
        return await self.dispatcher.leave(target_id)


@attrs.frozen
class BegunOperation:
    """Name an operation that may be dispatched."""

    operation: OperationHandle
    response: None = None


@attrs.frozen
class RecordedOperation:
    """Hold the response of an operation that has run."""

    response: entry.RecordedResponse


@attrs.frozen
class EntryOperations:
    """Give the entry the operations' interface with the entry's own types."""

    operations: OperationClient

    async def begin(
        self, organisation: str, key: str, digest: bytes, *, deadline: float
    ) -> Result[Any, Verdict]:
        """Commit a record, or return the recorded response."""
        result = await self.operations.begin(
            organisation, key, digest, deadline=deadline
        )
        return result.map(_wrap_begun)

    async def finish(
        self, operation: OperationHandle, response: entry.RecordedResponse
    ) -> None:
        """Store the response."""
        recorded = RecordedResponse(
            status=response.status, headers=response.headers, body=response.body
        )
        await self.operations.finish(operation, recorded)

    async def release(self, operation: OperationHandle) -> None:
        """Remove the record of an operation that is proven not to have run."""
        await self.operations.release(operation)

    def abandon(self, operation: OperationHandle) -> None:
        """Leave the record of an operation that may have run."""
        self.operations.abandon(operation)


def _wrap_begun(
    begun: OperationHandle | RecordedResponse,
) -> BegunOperation | RecordedOperation:
    if isinstance(begun, OperationHandle):
        return BegunOperation(begun)
    response = entry.RecordedResponse(
        status=begun.status, headers=begun.headers, body=begun.body
    )
    return RecordedOperation(response)


class ViewBlocks:
    """Keep the client block table of the declaration in force."""

    def __init__(self, view: CatalogView) -> None:
        self._view = view
        self._source: Any = None
        self._blocks = ClientBlocks.from_config([])

    def locate(self, address: str) -> str | None:
        """Return the home region of a client address."""
        source = self._view.declaration.client_blocks
        if source is not self._source:
            self._blocks = ClientBlocks.from_config(source)
            self._source = source
        return self._blocks.locate(address)


def record_demand(meter: DemandMeter, decision: Any) -> None:
    """Count the slot time that one request needed, or that it was refused for lack."""
    if not decision.service or not decision.home_region:
        return
    if decision.attempts:
        now = asyncio.get_running_loop().time()
        duration = now - decision.attempts[0].started
        meter.record(decision.service, decision.home_region, duration)
    elif decision.code in ("no_capacity", "shift_cap_reached"):
        meter.record_refusal(decision.service, decision.home_region)

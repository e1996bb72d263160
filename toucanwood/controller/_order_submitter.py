"""The way of an order to the leader, which commits it."""

import asyncio
from typing import Any

import attrs
import structlog
from returns.result import Failure, Result, Success

from toucanwood.consensus import MAX_COMMAND_BYTES, Replica
from toucanwood.controller._messages import OrderAnswer, SubmitOrder
from toucanwood.fleet import (
    FleetState,
    Order,
    OrderResult,
    OrderStatus,
    PatchRouting,
    PutRouting,
    RemoveTarget,
    SetEvacuation,
    pack_order,
)
from toucanwood.metrics import MetricsRegistry
from toucanwood.peering import PeerNetwork, PeerUnavailable
from toucanwood.utils import check_range
from toucanwood.verdicts import Execution, Verdict, build_uncertain_verdict, refuse

log = structlog.get_logger()

# Timeout for committing an order. Clients try another controller after a second without
# an answer, so this has to be shorter.
ORDER_TIMEOUT_S = 0.85
# Time of the order timeout that is reserved for the round trip to the leader.
FORWARD_MARGIN_S = 0.05
RETRY_AFTER_S = 0.3


class OrderSubmitter:
    """Commit orders at this replica if it leads, or else through the leader."""

    def __init__(
        self,
        *,
        replica: Replica,
        network: PeerNetwork,
        state: FleetState,
        metrics: MetricsRegistry,
    ) -> None:
        self._replica = replica
        self._network = network
        self._state = state
        self._metrics = metrics
        network.register(SubmitOrder, self._answer_order)

    async def submit(self, order: Order) -> Result[OrderResult, Verdict]:
        """Commit an order through the leader.

        A failed result states whether the order may have been committed. Raises
        ValueError if the order is longer than a command may be.
        """
        started = asyncio.get_running_loop().time()
        result = await self._submit_until(order, started + ORDER_TIMEOUT_S)
        self._metrics.count_event(type(order).__name__, describe_result(result))
        if isinstance(order, PutRouting | PatchRouting):
            log.info(
                "routing_submitted",
                revision=order.revision,
                base=order.base_revision,
                result=describe_result(result),
                status=str(result.map(lambda item: item.status.value).value_or("")),
                leader=self._replica.leader() or "",
                version=self._state.version,
                seconds=round(asyncio.get_running_loop().time() - started, 3),
            )
        return result

    async def _submit_until(
        self, order: Order, deadline: float
    ) -> Result[OrderResult, Verdict]:
        """Submit an order, again with a newer version if a later one superseded it.

        The caller waits meanwhile, so its order is the newest. A copy of the order that
        a link has held back arrives with the older version and has no effect.
        """
        now = asyncio.get_running_loop().time
        seen_version = self._state.version
        while True:
            if isinstance(order, SetEvacuation | RemoveTarget):
                order = attrs.evolve(order, seen_version=seen_version)
            timeout = max(deadline - now(), 0.0)
            data = pack_order(order)
            # The leader refuses longer ones too, but its answer to another controller
            # would not tell this from a failure.
            check_range("bytes of the order", len(data), high=MAX_COMMAND_BYTES)
            result = await self._submit(data, timeout)
            if not _is_superseded(result):
                return result
            seen_version = result.unwrap().version
            log.info(
                "order_superseded",
                order=type(order).__name__,
                version=seen_version,
                message=result.unwrap().message,
            )
            if deadline - now() < FORWARD_MARGIN_S:
                message = "later orders for the same item were committed first"
                return Failure(refuse_for_now("order_superseded", message))

    async def _submit(
        self, data: bytes, timeout: float
    ) -> Result[OrderResult, Verdict]:
        if self._replica.is_leader():
            return await self._propose(data, timeout)
        leader = self._replica.leader()
        if leader is None or leader == self._network.instance_id:
            return Failure(
                refuse_for_now("no_leader", "this controller knows no leader")
            )
        return await self._forward(leader, data, timeout)

    async def _answer_order(self, sender: str, request: SubmitOrder) -> OrderAnswer:
        if not self._replica.is_leader():
            return OrderAnswer(is_not_run=True)
        result = await self._propose(request.order, ORDER_TIMEOUT_S - FORWARD_MARGIN_S)
        if isinstance(result, Success):
            return OrderAnswer(result=result.unwrap().to_wire())
        return OrderAnswer(is_not_run=result.failure().is_not_run)

    async def _propose(
        self, data: bytes, timeout: float
    ) -> Result[OrderResult, Verdict]:
        return await self._replica.propose(data, timeout=timeout)

    async def _forward(
        self, leader: str, data: bytes, timeout: float
    ) -> Result[OrderResult, Verdict]:
        try:
            answer = await self._network.call(
                leader, SubmitOrder(data), timeout=timeout
            )
        except PeerUnavailable as error:
            if error.execution is Execution.NOT_RUN:
                return Failure(refuse_for_now("leader_unreachable", str(error)))
            return Failure(
                build_uncertain_verdict("commit_unknown", str(error), status=504)
            )
        if isinstance(answer, OrderAnswer) and answer.result is not None:
            return Success(OrderResult.from_wire(answer.result))
        if isinstance(answer, OrderAnswer) and answer.is_not_run:
            return Failure(refuse_for_now("no_leader", f"{leader} is not the leader"))
        message = f"{leader} did not commit the order in time"
        return Failure(build_uncertain_verdict("commit_unknown", message, status=504))


def refuse_for_now(code: str, message: str) -> Verdict:
    """Return a refusal after which the caller may try again soon."""
    return refuse(code, message, status=503, retry_after=RETRY_AFTER_S)


def _is_superseded(result: Result[OrderResult, Verdict]) -> bool:
    if not isinstance(result, Success):
        return False
    return result.unwrap().status is OrderStatus.SUPERSEDED


def describe_result(result: Result[Any, Verdict]) -> str:
    """Return "committed" or the code of the failure, for logs and metrics."""
    if isinstance(result, Success):
        return "committed"
    return str(result.failure().code)

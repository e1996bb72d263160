"""Account service: the leader grants tokens to the limiters of all entries."""

import asyncio
import math
import secrets
from collections.abc import Callable, Iterable
from typing import Any

import structlog

from toucanwood.limits._account import LEADER_TERM_S, Holder, RateAccount, TokenLease
from toucanwood.limits._handover import (
    add_clock_tolerance,
    decode_accounts,
    encode_accounts,
)
from toucanwood.limits._messages import (
    GrantLeases,
    HandOverAccounts,
    LeaseGrant,
    LeaseReport,
    PushLeases,
    ReportLeases,
    decode_reports,
    encode_items,
)
from toucanwood.peering import PeerUnavailable, Transport
from toucanwood.utils import TaskGroup

# Time between two rounds of grants; the shorter one applies while requests wait.
IDLE_TICK_S = 0.1
BUSY_TICK_S = 0.005
# Shortest time between two requests to return tokens, about one round trip.
RECALL_INTERVAL_S = 0.025
# Time whose estimated demand is covered by the tokens that a holder keeps when the
# leader recalls tokens.
RECALL_HORIZON_S = 0.05
# Longest time to wait at a stop for the answers of the successors, a few round trips.
HANDOVER_TIMEOUT_S = 0.5

Limits = tuple[float, float]
PushGrants = Callable[[str, PushLeases], None]

log = structlog.get_logger()


class AccountService:
    """Keep the token accounts of all organisations while this instance is the leader.

    `term` returns the current term of the replicated log. No other instance leads in
    this term while `is_leader` returns True.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        is_leader: Callable[[], bool],
        term: Callable[[], int],
        find_limits: Callable[[str], Limits | None],
        push: PushGrants | None = None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self._clock = clock or asyncio.get_running_loop().time
        self._transport = transport
        self._is_leader = is_leader
        self._get_term = term
        self._find_limits = find_limits
        self._push = push or self._send
        self._accounts: dict[str, RateAccount] = {}
        self._recalled_at: dict[str, float] = {}
        self._epoch = ""
        self._opens_at = 0.0
        self._term: int | None = None
        self._received_handover: HandOverAccounts | None = None
        self._is_closed = False
        self._tasks = TaskGroup()
        self._waiting_organisations: set[str] = set()
        self._wake = asyncio.Event()
        self._served_at = -math.inf
        self._outbox: dict[tuple[str, str], list[LeaseGrant]] = {}
        transport.register(ReportLeases, self.handle_report)
        transport.register(HandOverAccounts, self._handle_handover)

    async def start(self) -> None:
        """Start to grant tokens in the background."""
        self._tasks.start(self._run(), name="account-service")

    async def stop(self) -> None:
        """Stop granting tokens. The accounts are discarded."""
        await self._tasks.stop()

    async def hand_over(self, successors: Iterable[str]) -> None:
        """Stop granting permanently; send the accounts to the possible successors."""
        now = self._clock()
        is_leading = self._check_leadership(now)
        self._is_closed = True
        if not is_leading or self._term is None:
            return
        for account in self._accounts.values():
            account.advance(now)
        encoded = encode_accounts(self._accounts, now)
        message = HandOverAccounts(
            self._term, self._epoch, self._opens_at - now, encoded
        )
        others = set(successors) - {self._transport.instance_id}
        calls = [self._send_handover(peer_id, message) for peer_id in sorted(others)]
        await asyncio.gather(*calls)

    async def handle_report(self, sender: str, message: ReportLeases) -> GrantLeases:
        """Apply the reports of a holder and answer with its updated leases."""
        now = self._clock()
        if not self._check_leadership(now):
            return GrantLeases(message.incarnation)
        grants = []
        for report in decode_reports(message.reports):
            holder = Holder(sender, message.incarnation, report.lease)
            grants.append(self._handle_lease_report(holder, report, now))
        self._flush()
        opens_in = max(self._opens_at - now, 0.0)
        return GrantLeases(
            message.incarnation, self._epoch, opens_in, encode_items(grants)
        )

    def dump(self) -> dict[str, Any]:
        """Return the state of the accounts; an instance that never led has none."""
        return {
            "epoch": self._epoch,
            "opens_at": self._opens_at,
            "accounts": {
                name: account.dump() for name, account in self._accounts.items()
            },
        }

    def _check_leadership(self, now: float) -> bool:
        """Return whether this instance leads; prepare the accounts in a new term."""
        if self._is_closed or not self._is_leader():
            return False
        term = self._get_term()
        if term != self._term:
            self._start_term(term, now)
        return True

    def _start_term(self, term: int, now: float) -> None:
        """Restore the accounts that the previous leader handed over, if there are any.

        Otherwise new accounts start empty, once all earlier leases have ended.
        """
        self._term = term
        self._epoch = secrets.token_hex(4)
        self._opens_at = now + LEADER_TERM_S
        self._accounts.clear()
        self._recalled_at.clear()
        self._waiting_organisations.clear()
        message, self._received_handover = self._received_handover, None
        # A handover of an older term is discarded: another leader may have granted
        # tokens in a term in between.
        if message is not None and message.term + 1 == term:
            self._restore_accounts(message, now)
        opens_in = max(self._opens_at - now, 0.0)
        log.info("accounts_opened", epoch=self._epoch, opens_in_s=opens_in)

    def _restore_accounts(self, message: HandOverAccounts, now: float) -> None:
        """Restore the accounts and leases under the epoch of the previous leader."""
        self._epoch = message.epoch
        self._opens_at = now + add_clock_tolerance(message.opens_in)
        self._accounts = decode_accounts(message, now)
        self._waiting_organisations = {
            name
            for name, account in self._accounts.items()
            if account.has_waiting_requests
        }

    async def _send_handover(self, peer_id: str, message: HandOverAccounts) -> None:
        try:
            await self._transport.call(peer_id, message, timeout=HANDOVER_TIMEOUT_S)
        except PeerUnavailable:
            log.warning("accounts_not_handed_over", peer=peer_id)

    async def _handle_handover(
        self, sender: str, message: HandOverAccounts
    ) -> HandOverAccounts:
        if (
            self._received_handover is None
            or message.term > self._received_handover.term
        ):
            self._received_handover = message
        return HandOverAccounts(message.term)

    def _handle_lease_report(
        self, holder: Holder, report: LeaseReport, now: float
    ) -> LeaseGrant:
        account = self._get_account(report.organisation, now)
        account.advance(now)
        is_known = holder in account.leases
        if report.epoch not in ("", self._epoch) or (report.epoch and not is_known):
            return LeaseGrant(
                organisation=report.organisation, lease=report.lease, is_closed=True
            )
        lease = self._update_lease(account, holder, report, now)
        self._distribute(report.organisation, account, now, requester=lease)
        return build_grant(report.organisation, lease)

    def _update_lease(
        self, account: RateAccount, holder: Holder, report: LeaseReport, now: float
    ) -> TokenLease:
        lease = account.grant(holder, 0, now)
        account.apply_report(
            holder,
            spent=report.spent,
            returned=report.returned,
            share_version=report.share_version,
            now=now,
        )
        lease.waiting = report.waiting
        lease.demand = report.demand
        return account.grant(holder, report.wanted, now)

    def _get_account(self, organisation: str, now: float) -> RateAccount:
        rate, burst = self._find_limits(organisation) or (0.0, 0.0)
        account = self._accounts.get(organisation)
        if account is None:
            # No token of a new account has been granted in this epoch, so tokens are
            # added to it from `opens_at` on.
            account = RateAccount(rate=rate, burst=burst, opens_at=self._opens_at)
            self._accounts[organisation] = account
        account.configure(rate, burst, now)
        return account

    def _distribute(
        self,
        organisation: str,
        account: RateAccount,
        now: float,
        *,
        requester: TokenLease | None = None,
    ) -> None:
        """Queue grants for holders with waiting requests, or recall tokens for them.

        Nothing is queued for `requester`, whose grant is the answer to its report.
        """
        changed = account.distribute(now)
        self._queue_grants(
            organisation, (lease for lease in changed if lease is not requester)
        )
        if not account.has_waiting_requests:
            self._waiting_organisations.discard(organisation)
            return
        self._waiting_organisations.add(organisation)
        self._wake.set()
        recalled_at = self._recalled_at.get(organisation, -math.inf)
        if now - recalled_at >= RECALL_INTERVAL_S:
            self._recalled_at[organisation] = now
            self._recall(organisation, account)

    def _recall(self, organisation: str, account: RateAccount) -> None:
        recalled = account.select_recalled()
        for lease in recalled:
            lease.limit = math.ceil(lease.demand * RECALL_HORIZON_S)
        self._queue_grants(organisation, recalled)

    def _queue_grants(self, organisation: str, leases: Iterable[TokenLease]) -> None:
        for lease in leases:
            key = (lease.holder.instance_id, lease.holder.incarnation)
            grants = self._outbox.setdefault(key, [])
            grants.append(build_grant(organisation, lease))

    def _flush(self) -> None:
        """Send the queued grants, one message per process run of a holder."""
        outbox, self._outbox = self._outbox, {}
        for (instance_id, incarnation), grants in outbox.items():
            message = PushLeases(incarnation, self._epoch, encode_items(grants))
            self._push(instance_id, message)

    def _send(self, peer_id: str, message: PushLeases) -> None:
        self._transport.send(peer_id, message)

    async def _run(self) -> None:
        while True:
            self._serve_accounts(self._clock())
            await self._wait_for_work()

    async def _wait_for_work(self) -> None:
        if self._waiting_organisations:
            await asyncio.sleep(BUSY_TICK_S)
            return
        self._wake.clear()
        try:
            async with asyncio.timeout(IDLE_TICK_S):
                await self._wake.wait()
        except TimeoutError:
            return

    def _serve_accounts(self, now: float) -> None:
        """Distribute tokens of the accounts with waiting requests.

        All accounts are included every `IDLE_TICK_S`.
        """
        if not self._check_leadership(now):
            return
        names = set(self._waiting_organisations)
        if now - self._served_at >= IDLE_TICK_S:
            self._served_at = now
            names = set(self._accounts)
        for organisation in sorted(names):
            account = self._get_account(organisation, now)
            self._distribute(organisation, account, now)
        self._flush()


def build_grant(organisation: str, lease: TokenLease) -> LeaseGrant:
    """Build the message by which the holder learns the state of its lease."""
    return LeaseGrant(
        organisation=organisation,
        lease=lease.holder.lease,
        granted=lease.granted,
        limit=lease.limit,
        share_version=lease.offered.version,
        share_rate=lease.offered.rate,
        share_capacity=lease.offered.capacity,
    )

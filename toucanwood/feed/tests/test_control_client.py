"""Tests of command submission: retries and verdicts."""

from returns.result import Failure, Success

from toucanwood.feed import CatalogView, ControlClient, WithdrawalGossip
from toucanwood.feed._control_server import encode_verdict
from toucanwood.feed._messages import SubmitCommand, SubmitReply, WithdrawalNotice
from toucanwood.peering import PeerUnavailable
from toucanwood.state import (
    ApplyDeclaration,
    BeginOperation,
    CommandResult,
    IssueKey,
    SetWeights,
    WithdrawKey,
)
from toucanwood.utils import run_virtual
from toucanwood.verdicts import Execution, build_uncertain_verdict, refuse

ACCEPTED = SubmitReply(answer=CommandResult(code="accepted").to_wire())
CONFLICT = SubmitReply(answer=CommandResult(code="conflict", status=409).to_wire())
TABLE_FULL = SubmitReply(
    answer=CommandResult(code="request_table_full", status=503).to_wire()
)
UNCERTAIN = SubmitReply(
    refusal=encode_verdict(build_uncertain_verdict("lost", "lost", status=504))
)
NOT_LEADER = SubmitReply(leader="c2")
INVALID = SubmitReply(refusal=encode_verdict(refuse("bad", "bad", status=400)))
LOST = PeerUnavailable("c1", "lost", Execution.MAY_HAVE_RUN)
UNREACHABLE = PeerUnavailable("c1", "unreachable", Execution.NOT_RUN)

WEIGHTS = SetWeights(service="s", home_region="norte", weights={"norte": 1.0})
WEIGHTS_BY_ID = SetWeights(
    service="s", home_region="norte", weights={"norte": 1.0}, request_id="r1"
)
ISSUE = IssueKey(key_id="k1", sha256=bytes(32), organisation="o")
BEGIN = BeginOperation(organisation="o", key="k", attempt_id="a", digest=b"d")
WITHDRAW = WithdrawKey(key_id="k1")


class ScriptedTransport:
    """Return scripted replies to calls, the last one any number of times."""

    instance_id = "e1"

    def __init__(self, replies):
        self.replies = list(replies)
        self.called_replicas = []
        self.notices = []

    def register(self, message_type, handler):
        pass

    def connected_peers(self):
        return frozenset({"e2", "e3"})

    def send(self, peer_id, body):
        assert isinstance(body, WithdrawalNotice)
        self.notices.append((peer_id, body.key_ids))
        return True

    async def call(self, peer_id, body, *, timeout):
        assert isinstance(body, SubmitCommand)
        self.called_replicas.append(peer_id)
        reply = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
        if isinstance(reply, Exception):
            raise reply
        return reply


def submit(command, *replies):
    transport = ScriptedTransport(replies)
    gossip = WithdrawalGossip(transport=transport, view=CatalogView(created_at=0.0))
    control = ControlClient(
        transport=transport, gossip=gossip, replicas=lambda: ["c1", "c2", "c3"]
    )
    result = run_virtual(control.submit(command.to_map(), timeout=2.0))
    return result, transport


def test_only_retryable_commands_are_retried_after_an_unknown_outcome():
    # Guards against a command that is applied twice.
    for first_reply in (LOST, UNCERTAIN, None):
        for command, calls in ((WEIGHTS, 1), (WEIGHTS_BY_ID, 2), (ISSUE, 2)):
            result, transport = submit(command, first_reply, ACCEPTED)
            assert len(transport.called_replicas) == calls
            if calls == 2:
                assert isinstance(result, Success)
            else:
                assert result.failure().code == "control_unknown"
                assert not result.failure().is_not_run


def test_command_that_did_not_run_is_retried_at_the_named_leader():
    # Guards against a submission that fails while a leader exists.
    for first in (UNREACHABLE, NOT_LEADER):
        result, transport = submit(WEIGHTS, first, ACCEPTED)
        assert isinstance(result, Success)
        assert len(transport.called_replicas) == 2
    assert transport.called_replicas[1] == "c2"


def test_refusal_after_a_lost_attempt_is_not_reported_as_not_run():
    # Guards against a false "not run" when an earlier attempt was applied.
    cases = [
        (ISSUE, [CONFLICT], True),
        (ISSUE, [LOST, CONFLICT], False),
        (BEGIN, [LOST, CONFLICT], True),
        (WEIGHTS_BY_ID, [LOST, CONFLICT], True),
        (WEIGHTS_BY_ID, [LOST, TABLE_FULL], False),
        (WEIGHTS_BY_ID, [TABLE_FULL], True),
        (ISSUE, [UNREACHABLE], True),
        (ISSUE, [LOST, UNREACHABLE], False),
    ]
    for command, replies, is_not_run in cases:
        verdict = submit(command, *replies)[0].failure()
        assert verdict.is_not_run == is_not_run, (command, replies)
        assert is_not_run or verdict.retry_after is None


def test_permanent_refusals_end_the_submission():
    # Guards against retries until the deadline for a command that can't succeed.
    result, transport = submit(ISSUE, INVALID)
    assert (result.failure().code, len(transport.called_replicas)) == ("bad", 1)
    invalid = ApplyDeclaration(
        declaration={"later": 1}, base_revision=0, request_id="r1"
    )
    result, transport = submit(invalid, ACCEPTED)
    assert result.failure().code == "config_invalid"
    assert result.failure().is_not_run and transport.called_replicas == []


def test_withdrawal_reaches_peers_before_it_is_committed():
    # Guards against a withdrawal that waits for a majority, and against a false "not
    # run".
    result, transport = submit(WITHDRAW, UNREACHABLE)
    assert sorted(transport.notices) == [("e2", ["k1"]), ("e3", ["k1"])]
    assert isinstance(result, Failure) and not result.failure().is_not_run

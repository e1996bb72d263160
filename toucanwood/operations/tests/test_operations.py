"""Tests of operations against the catalog with a fault at each step."""

import asyncio
import itertools

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from toucanwood.operations import OperationClient, OperationHandle, RecordedResponse
from toucanwood.state import Catalog, encode_command
from toucanwood.utils import run_virtual
from toucanwood.verdicts import Execution, build_uncertain_verdict, refuse

ANSWER = RecordedResponse(status=201, headers=[["X-Id", "7"]], body=b"done")
FAULTS = ("none", "lost", "unanswered", "late", "refused", "unreachable", "slow")


class FaultyCatalog:
    """Submit to the real catalog; `faults` names one fault per submission."""

    def __init__(self, faults=()):
        self.faults = list(faults)
        self.refused_kinds = set()
        self.catalog = Catalog()
        self.commands = []

    async def submit(self, command, *, timeout):
        fault = self.faults.pop(0) if self.faults else "none"
        if command["kind"] in self.refused_kinds:
            fault = "refused"
        self.commands.append(command)
        if fault == "refused":
            return Failure(refuse("no_leader", "no leader", status=503))
        if fault == "unreachable":
            raise OSError("connection refused")
        if fault == "late":
            asyncio.get_running_loop().call_later(timeout * 3, self.apply, command)
        if fault in ("none", "slow", "unanswered"):
            await asyncio.sleep(0.4 if fault == "slow" else 0.01)
            answer = self.apply(command)
        if fault in ("none", "slow"):
            return (
                Success(answer) if answer.is_accepted else Failure(answer.to_verdict())
            )
        await asyncio.sleep(timeout)
        return Failure(
            build_uncertain_verdict("no_answer", "the answer was lost", status=504)
        )

    def apply(self, command):
        return self.catalog.apply(len(self.commands), encode_command(command))


class Caller:
    """Send requests as an entry does and count the dispatches per key."""

    def __init__(self, catalog):
        self.entries = [OperationClient(submitter=catalog) for _ in range(2)]
        self.runs = {}

    async def send(self, entry, key="k", *, patience=1.0, end="finish", digest=b"d"):
        operations = self.entries[entry]
        deadline = asyncio.get_running_loop().time() + patience
        result = await operations.begin("o", key, digest, deadline=deadline)
        if isinstance(result, Failure) or isinstance(result.unwrap(), RecordedResponse):
            return result
        begun = result.unwrap()
        if end == "release":
            await operations.release(begun)
            return Failure(refuse("shed", "the target shed it", status=503))
        self.runs[key] = self.runs.get(key, 0) + 1
        await asyncio.sleep(0.05)
        if end == "abandon":
            operations.abandon(begun)
            return Failure(
                build_uncertain_verdict("cut", "connection lost", status=502)
            )
        await operations.finish(begun, ANSWER)
        return Success(ANSWER)

    def check(self, results):
        """Check that no key ran twice and that "not run" was true of a lone request."""
        assert all(count == 1 for count in self.runs.values()), self.runs
        for result in results:
            if isinstance(result, Success):
                assert result.unwrap() == ANSWER
                assert self.runs.get("k") == 1


def test_every_fault_at_every_step_runs_the_operation_at_most_once():
    # Guards against a dispatch after a lost begin and against a record that is lost
    # while the operation runs.
    async def main(faults, end):
        caller = Caller(FaultyCatalog(faults))
        first = await caller.send(0, end=end)
        if isinstance(first, Failure) and first.failure().is_not_run:
            assert caller.runs == {}
        resends = [await caller.send(entry) for entry in (0, 1, 0, 1)]
        await asyncio.sleep(120)
        caller.check([first, *resends])
        last = await caller.send(1)
        caller.check([last])
        if end == "release":
            assert last == Success(ANSWER), "a released key must stay usable"
        if end == "finish":
            assert last == Success(ANSWER), "a stored response must be returned"
        if end == "abandon" and not first.failure().is_not_run:
            assert last.failure().execution is Execution.MAY_HAVE_RUN

    for faults in itertools.product(FAULTS, repeat=3):
        for end in ("finish", "release", "abandon"):
            run_virtual(main(faults, end))


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.lists(st.sampled_from(FAULTS), max_size=12),
    st.lists(
        st.tuples(
            st.integers(0, 1),
            st.sampled_from(["finish", "release", "abandon"]),
            st.sampled_from([0.1, 0.6, 2.0]),
            st.sampled_from([0.0, 0.02, 0.7]),
            st.booleans(),
        ),
        min_size=1,
        max_size=8,
    ),
)
def test_concurrent_and_cancelled_requests_run_at_most_once(faults, plan):
    # Guards against races between resends, cancelled callers and background retries.
    async def main():
        caller = Caller(FaultyCatalog(faults))
        tasks = []
        for entry, end, patience, pause, is_cancelled in plan:
            request = caller.send(entry, end=end, patience=patience)
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(pause)
            if is_cancelled:
                tasks[-1].cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        caller.check([one for one in results if not isinstance(one, BaseException)])
        assert all(count == 1 for count in caller.runs.values())

    run_virtual(main())


def test_resend_at_the_same_entry_waits_for_the_first_outcome():
    # Guards against a resend that is refused although the response is on its way.
    async def main():
        catalog = FaultyCatalog()
        caller = Caller(catalog)
        results = await asyncio.gather(*(caller.send(0) for _ in range(5)))
        assert results == [Success(ANSWER)] * 5
        assert [one["kind"] for one in catalog.commands].count("begin_operation") == 1
        (refused,) = await asyncio.gather(caller.send(0, digest=b"other"))
        assert refused.failure().code == "idempotency_conflict"

    run_virtual(main())


def test_resend_gets_may_have_run_at_its_deadline():
    # Guards against a resend that outlives its deadline or claims "not run".
    async def main():
        caller = Caller(FaultyCatalog(["slow"]))
        first = asyncio.create_task(caller.send(0))
        await asyncio.sleep(0)
        resend = await caller.send(0, patience=0.2)
        assert asyncio.get_running_loop().time() <= 0.21
        assert resend.failure().execution is Execution.MAY_HAVE_RUN
        assert await first == Success(ANSWER)

    run_virtual(main())


def test_unstored_finish_is_retried_and_resends_get_may_have_run_until_then():
    # Guards against a response that is lost because one store failed.
    async def main():
        catalog = FaultyCatalog()
        catalog.refused_kinds = {"finish_operation"}
        caller = Caller(catalog)
        assert await caller.send(0) == Success(ANSWER)
        for entry in (0, 1):
            resend = await caller.send(entry, patience=0.05)
            assert resend.failure().execution is Execution.MAY_HAVE_RUN
        catalog.refused_kinds.clear()
        await asyncio.sleep(5)
        assert await caller.send(1) == Success(ANSWER)
        assert caller.entries[0].dump()["background"] == 0

    run_virtual(main())


def test_lost_begin_is_refused_as_not_run_and_released():
    # Guards against a key that stays locked after a begin without an answer, even when
    # that begin is committed after the release.
    async def main():
        catalog = FaultyCatalog(["late"])
        caller = Caller(catalog)
        result = await caller.send(0, patience=0.3)
        assert result.failure().is_not_run and result.failure().status == 503
        assert len({one["attempt_id"] for one in catalog.commands}) == 1
        await asyncio.sleep(30)
        assert caller.runs == {}
        assert await caller.send(1) == Success(ANSWER)

    run_virtual(main())


def test_outcome_must_be_reported_once():
    # Guards against a second outcome that overwrites the first.
    async def main():
        operations = OperationClient(submitter=FaultyCatalog())
        begun = (await operations.begin("o", "k", b"d", deadline=1.0)).unwrap()
        await operations.finish(begun, ANSWER)
        for call in (operations.finish(begun, ANSWER), operations.release(begun)):
            try:
                await call
            except ValueError as error:
                assert "operation must be running" in str(error)
            else:
                raise AssertionError("a second outcome must raise ValueError")
        assert isinstance(begun, OperationHandle)

    run_virtual(main())

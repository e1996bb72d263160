"""Verdict on a failed request."""

from enum import Enum

import attrs


class Execution(Enum):
    """Whether a target may have executed a failed request."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


@attrs.frozen(kw_only=True)
class Verdict:
    """Failure as reported to the caller; `retry_after` is in seconds."""

    execution: Execution
    code: str
    message: str
    status: int
    retry_after: float | None = None

    @property
    def is_not_run(self) -> bool:
        """Return whether the request is proven not to have run."""
        return self.execution is Execution.NOT_RUN


def refuse(
    code: str, message: str, *, status: int, retry_after: float | None = None
) -> Verdict:
    """Build a verdict for a request that is proven not to have run."""
    return Verdict(
        execution=Execution.NOT_RUN,
        code=code,
        message=message,
        status=status,
        retry_after=retry_after,
    )


def build_uncertain_verdict(code: str, message: str, *, status: int) -> Verdict:
    """Build a verdict, without `retry_after`, for a request that may have run."""
    return Verdict(
        execution=Execution.MAY_HAVE_RUN, code=code, message=message, status=status
    )

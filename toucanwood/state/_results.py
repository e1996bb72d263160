"""Answers of the catalog to commands."""

from typing import Any

import attrs

from toucanwood.verdicts import Execution, Verdict


@attrs.frozen(kw_only=True)
class CommandResult:
    """Tell what a command did; a status of 400 or more is a refusal.

    `execution` tells whether the request behind a refused command may have run.
    """

    code: str
    status: int = 200
    message: str = ""
    execution: Execution = Execution.NOT_RUN
    values: dict[str, Any] = attrs.Factory(dict)

    @property
    def is_accepted(self) -> bool:
        """Return whether the command is in force."""
        return self.status < 400

    def to_verdict(self) -> Verdict:
        """Return the verdict that states this refusal."""
        return Verdict(
            execution=self.execution,
            code=self.code,
            message=self.message,
            status=self.status,
        )

    def to_wire(self) -> list[Any]:
        """Return the answer as a msgpack list."""
        execution = self.execution.value
        return [self.code, self.status, self.message, execution, self.values]

    @classmethod
    def from_wire(cls, content: list[Any]) -> "CommandResult":
        """Build an answer; items that a newer version appended are dropped."""
        code, status, message, execution, values = content[:5]
        return cls(
            code=code,
            status=status,
            message=message,
            execution=Execution(execution),
            values=values,
        )


def accept(code: str = "accepted", **values: Any) -> CommandResult:
    """Build the answer to a command that is in force."""
    return CommandResult(code=code, values=values)


def reject(
    code: str, message: str, *, status: int = 409, **values: Any
) -> CommandResult:
    """Build the answer to a command that changed nothing."""
    return CommandResult(code=code, message=message, status=status, values=values)


def reject_in_doubt(code: str, message: str, *, status: int = 409) -> CommandResult:
    """Build the answer to an operation that may have run before."""
    return CommandResult(
        code=code, message=message, status=status, execution=Execution.MAY_HAVE_RUN
    )

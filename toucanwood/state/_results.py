"""Results of commands that the catalog applied."""

from typing import Any

import attrs

from toucanwood.verdicts import Execution, Verdict


@attrs.frozen(kw_only=True)
class CommandResult:
    """Result of a command; a status of 400 or above is a refusal.

    `execution` tells whether the request for which a refused command was submitted may
    have run.
    """

    code: str
    status: int = 200
    message: str = ""
    execution: Execution = Execution.NOT_RUN
    values: dict[str, Any] = attrs.Factory(dict)

    @property
    def is_accepted(self) -> bool:
        """Return whether the catalog accepted the command."""
        return self.status < 400

    def to_verdict(self) -> Verdict:
        """Return the verdict for this refusal."""
        return Verdict(
            execution=self.execution,
            code=self.code,
            message=self.message,
            status=self.status,
        )

    def to_wire(self) -> list[Any]:
        """Return the result as a msgpack list."""
        execution = self.execution.value
        return [self.code, self.status, self.message, execution, self.values]

    @classmethod
    def from_wire(cls, content: list[Any]) -> "CommandResult":
        """Build a result; extra items from a newer software version are ignored."""
        code, status, message, execution, values = content[:5]
        return cls(
            code=code,
            status=status,
            message=message,
            execution=Execution(execution),
            values=values,
        )


def accept(code: str = "accepted", **values: Any) -> CommandResult:
    """Build the result of an accepted command."""
    return CommandResult(code=code, values=values)


def reject(
    code: str, message: str, *, status: int = 409, **values: Any
) -> CommandResult:
    """Build the result of a refused command, which changed nothing."""
    return CommandResult(code=code, message=message, status=status, values=values)


def reject_uncertain(code: str, message: str, *, status: int = 409) -> CommandResult:
    """Build the refusal for an operation that an earlier attempt may have run."""
    return CommandResult(
        code=code, message=message, status=status, execution=Execution.MAY_HAVE_RUN
    )

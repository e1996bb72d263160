"""Options and file arguments that several commands share."""

from pathlib import Path
from typing import Annotated, Any

import typer

from toucanwood.cli._client import OPERATOR_TOKEN_VARIABLE, CommandError, ExitCode
from toucanwood.utils import load_yaml

InstanceOption = Annotated[
    str,
    typer.Option("--instance", "-i", help="HTTP address (ip:port) of any instance."),
]
TokenOption = Annotated[
    Path | None,
    typer.Option(
        help=f"File with the operator token; default: ${OPERATOR_TOKEN_VARIABLE}."
    ),
]
FileArgument = Annotated[Path, typer.Argument(help="YAML file.")]
DEFAULT_INSTANCE = "127.0.0.1:8101"


def load_file(file: Path) -> tuple[Any, dict[str, int]]:
    """Return a YAML document and its line numbers; raise CommandError."""
    try:
        return load_yaml(file.read_text())
    except (OSError, UnicodeDecodeError) as error:
        message = f"{file} can't be read: {error}"
        raise CommandError(message, ExitCode.INVALID) from None

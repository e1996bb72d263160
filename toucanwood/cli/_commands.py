"""Commands of the command line."""

import json
import sys
import uuid
from pathlib import Path
from typing import Annotated, Any

import typer

from toucanwood.cli._client import (
    Client,
    CommandError,
    ExitCode,
    quote_segment,
    read_token,
)
from toucanwood.cli._controllers import controllers_app
from toucanwood.cli._options import (
    DEFAULT_INSTANCE,
    FileArgument,
    InstanceOption,
    TokenOption,
    load_file,
)
from toucanwood.cli._routing import evacuation_app, routing_app
from toucanwood.declaration import Declaration, diff
from toucanwood.settings import Settings
from toucanwood.utils import ValidationError, load_yaml

app = typer.Typer(
    help="Global traffic steering for services that run in several regions.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    add_completion=False,
    epilog="Exit status: 0 done, 1 refused, 2 invalid input, 3 conflict, 4 "
    "instance unreachable.",
)
keys_app = typer.Typer(help="Issue and withdraw keys.", no_args_is_help=True)
voters_app = typer.Typer(
    help="Change which control instances vote.", no_args_is_help=True
)
app.add_typer(keys_app, name="keys")
app.add_typer(voters_app, name="voters")
app.add_typer(controllers_app, name="controllers")
app.add_typer(routing_app, name="routing")
app.add_typer(evacuation_app, name="evacuation")

# Fields that a settings file has and a declaration never has.
DISTINCTIVE_SETTINGS = frozenset({"id", "data_centre", "http", "peer", "peer_secret"})


@app.command()
def serve(
    settings: Annotated[Path, typer.Argument(help="YAML file with the settings.")],
) -> None:
    """Run an instance, an entry or a controller until SIGTERM.

    The field `role` of the settings names an entry or a controller.
    """
    mapping, lines = load_file(settings)
    if _has_role(mapping):
        from toucanwood.programs import read_role, serve_role

        role = read_role(mapping, lines)
        sys.exit(serve_role(role, lambda: read_role(*load_yaml(settings.read_text()))))
    from toucanwood.server import serve_forever

    sys.exit(serve_forever(Settings.from_config(mapping, lines)))


@app.command()
def story(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    files: Annotated[list[Path], typer.Argument(help="Log files of instances.")],
) -> None:
    """Print the log lines about one request and related events, in time order."""
    from toucanwood.request_history import find_request_lines, parse_line

    lines = [
        line
        for file in files
        for text in file.read_text(errors="replace").splitlines()
        if (line := parse_line(text, file.name)) is not None
    ]
    request_lines = find_request_lines(request_id, lines)
    if not request_lines:
        raise CommandError(f"no log line has request id {request_id}", ExitCode.REFUSED)
    for line in request_lines:
        typer.echo(f"{line.source}: {line.text}")


@app.command()
def report(
    files: Annotated[list[Path], typer.Argument(help="Log files of instances.")],
    out: Annotated[Path, typer.Option(help="HTML file to write.")] = Path(
        "report.html"
    ),
    title: Annotated[str, typer.Option(help="Title of the page.")] = "toucanwood",
) -> None:
    """Write an HTML page with plots of what the instances logged."""
    from toucanwood.report import Timeline, build_page
    from toucanwood.request_history import LogLine, parse_line

    lines: list[LogLine] = []
    with typer.progressbar(files, label="Reading logs", file=sys.stderr) as progress:
        for file in progress:
            try:
                text = file.read_text(errors="replace")
            except OSError as error:
                message = f"{file} can't be read: {error}"
                raise CommandError(message, ExitCode.INVALID) from None
            parsed = (parse_line(line, file.name) for line in text.splitlines())
            lines += [line for line in parsed if line is not None]
    if not lines:
        raise CommandError("the files have no log line", ExitCode.INVALID)
    try:
        page = build_page(Timeline.from_lines(lines), title)
    except ImportError:
        message = "the report needs matplotlib: pip install 'toucanwood[report]'"
        raise CommandError(message, ExitCode.INVALID) from None
    out.write_text(page)
    typer.echo(f"{out}: {len(lines)} log lines")


@app.command()
def check(file: FileArgument) -> None:
    """Check a settings file or a declaration and print every error."""
    mapping, lines = load_file(file)
    if _has_role(mapping):
        from toucanwood.programs import read_role

        read_role(mapping, lines)
        typer.echo(f"{file}: valid settings of role {mapping['role']}")
        return
    document_type = Settings if _is_settings(mapping) else Declaration
    document_type.from_config(mapping, lines)
    typer.echo(f"{file}: valid {document_type.__name__.lower()}")


@app.command()
def apply(
    file: FileArgument,
    revision: Annotated[
        int | None,
        typer.Option(help="Revision that the file is based on; default: current."),
    ] = None,
    request_id: Annotated[
        str | None,
        typer.Option(help="Id that makes a resend idempotent; default: new."),
    ] = None,
    instance: InstanceOption = DEFAULT_INSTANCE,
    token_file: TokenOption = None,
) -> None:
    """Replace the declaration in force as a whole."""
    _read_declaration(file)
    client = Client(instance, read_token(token_file))
    if revision is None:
        revision = client.get("/declaration")["revision"]
    request_id = request_id or uuid.uuid4().hex
    headers = {"If-Match": str(revision), "Toucanwood-Request-Id": request_id}
    try:
        result = client.send(
            "PUT", "/declaration", text=file.read_text(), headers=headers
        )
    except CommandError as error:
        hint = f"resend with --revision {revision} --request-id {request_id}"
        raise CommandError(f"{error}; {hint}", error.exit_code) from None
    typer.echo(f"accepted as revision {result['revision']}")


@app.command(name="diff")
def show_diff(
    file: FileArgument,
    instance: InstanceOption = DEFAULT_INSTANCE,
    token_file: TokenOption = None,
) -> None:
    """Show the changes that applying a declaration would make."""
    after = _read_declaration(file)
    current = Client(instance, read_token(token_file)).get("/declaration")
    before = Declaration.from_config(load_yaml(current["text"])[0])
    for change in diff(before, after):
        typer.echo(str(change))


@app.command()
def get(
    instance: InstanceOption = DEFAULT_INSTANCE, token_file: TokenOption = None
) -> None:
    """Print the declaration in force and its revision."""
    current = Client(instance, read_token(token_file)).get("/declaration")
    typer.echo(f"# revision {current['revision']}")
    typer.echo(current["text"], nl=False)


@keys_app.command()
def issue(
    organisation: Annotated[str, typer.Argument(help="Name of the organisation.")],
    instance: InstanceOption = DEFAULT_INSTANCE,
    token_file: TokenOption = None,
) -> None:
    """Issue a key; its secret is printed once and is not stored."""
    client = Client(instance, read_token(token_file))
    _print_json(client.send("POST", "/keys", body={"organisation": organisation}))


@keys_app.command()
def withdraw(
    key_id: Annotated[str, typer.Argument(help="Id of the key.")],
    instance: InstanceOption = DEFAULT_INSTANCE,
    token_file: TokenOption = None,
) -> None:
    """Withdraw a key permanently."""
    client = Client(instance, read_token(token_file))
    _print_json(client.send("DELETE", f"/keys/{quote_segment(key_id)}"))


@voters_app.command()
def add(
    instance_id: Annotated[str, typer.Argument(help="Id of a control instance.")],
    instance: InstanceOption = DEFAULT_INSTANCE,
    token_file: TokenOption = None,
) -> None:
    """Add a control instance; it votes once it has caught up."""
    client = Client(instance, read_token(token_file), timeout=60.0)
    _print_json(client.send("POST", f"/voters/{quote_segment(instance_id)}"))


@voters_app.command()
def remove(
    instance_id: Annotated[str, typer.Argument(help="Id of a control instance.")],
    instance: InstanceOption = DEFAULT_INSTANCE,
    token_file: TokenOption = None,
) -> None:
    """Remove a control instance from the voters."""
    client = Client(instance, read_token(token_file), timeout=60.0)
    _print_json(client.send("DELETE", f"/voters/{quote_segment(instance_id)}"))


@app.command()
def lookup(
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    instance: InstanceOption = DEFAULT_INSTANCE,
) -> None:
    """Print the entry instances to use for a service, best first."""
    path = f"/lookup?service={quote_segment(service)}"
    _print_json(Client(instance).get(path))


@app.command()
def dump(
    instance: InstanceOption = DEFAULT_INSTANCE, token_file: TokenOption = None
) -> None:
    """Print the full state of one instance as JSON."""
    _print_json(Client(instance, read_token(token_file)).get("/dump"))


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="Toucanwood-Request-Id.")],
    instance: InstanceOption = DEFAULT_INSTANCE,
    token_file: TokenOption = None,
) -> None:
    """Print the decisions on one request; ask the entry that handled it."""
    client = Client(instance, read_token(token_file))
    _print_json(client.get(f"/explain/{quote_segment(request_id)}"))


def run() -> None:
    """Run the command line; print errors as plain lines, without a traceback."""
    try:
        app()
    except CommandError as error:
        typer.echo(f"error: {error}", err=True)
        sys.exit(error.exit_code)
    except ValidationError as error:
        for field_error in error.errors:
            typer.echo(f"error: {field_error}", err=True)
        sys.exit(ExitCode.INVALID)


def _has_role(mapping: Any) -> bool:
    return isinstance(mapping, dict) and "role" in mapping


def _is_settings(mapping: Any) -> bool:
    return isinstance(mapping, dict) and not DISTINCTIVE_SETTINGS.isdisjoint(mapping)


def _read_declaration(file: Path) -> Declaration:
    mapping, lines = load_file(file)
    return Declaration.from_config(mapping, lines)


def _print_json(content: Any) -> None:
    typer.echo(json.dumps(content, indent=2, sort_keys=True))

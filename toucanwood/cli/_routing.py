"""Commands for routing documents and evacuations, which controllers keep."""

from pathlib import Path
from typing import Annotated, Any

import typer

from toucanwood.cli._client import Client, quote_segment, read_token
from toucanwood.cli._options import (
    DEFAULT_INSTANCE,
    FileArgument,
    InstanceOption,
    TokenOption,
    load_file,
)
from toucanwood.routing import RoutingTable, diff_documents

routing_app = typer.Typer(
    help="Check, compare and apply the routing document of the controllers.",
    no_args_is_help=True,
)
evacuation_app = typer.Typer(
    help="Evacuate data centres, whose targets then get no requests.",
    no_args_is_help=True,
)
DataCentreArgument = Annotated[str, typer.Argument(help="Name of the data centre.")]


@routing_app.command()
def check(file: FileArgument) -> None:
    """Check a routing document and print every error."""
    _read_document(file)
    typer.echo(f"{file}: valid routing document")


@routing_app.command(name="diff")
def show_diff(
    file: FileArgument,
    instance: InstanceOption = DEFAULT_INSTANCE,
    token_file: TokenOption = None,
) -> None:
    """Show the changes that applying a routing document would make."""
    document = _read_document(file)
    current = Client(instance, read_token(token_file)).get("/routing")
    before = {**current["document"], "revision": current["revision"]}
    change = diff_documents(before, document)
    for section, items in change.upsert.items():
        known = {item["name"] for item in before.get(section, ())}
        for item in items:
            verb = "change" if item["name"] in known else "add"
            typer.echo(f"{verb} {section}.{item['name']}")
    for section, names in change.remove.items():
        for name in names:
            typer.echo(f"remove {section}.{name}")
    for name in change.values:
        typer.echo(f"change {name}")


@routing_app.command()
def apply(
    file: FileArgument,
    instance: InstanceOption = DEFAULT_INSTANCE,
    token_file: TokenOption = None,
) -> None:
    """Replace the routing document; its revision must exceed the current one."""
    document = _read_document(file)
    client = Client(instance, read_token(token_file))
    base = client.get("/routing")["revision"]
    headers = {"If-Match": str(base)}
    result = client.send("PUT", "/routing", body=document, headers=headers)
    typer.echo(f"accepted as revision {result['revision']}")


@routing_app.command()
def get(
    instance: InstanceOption = DEFAULT_INSTANCE, token_file: TokenOption = None
) -> None:
    """Print the routing document in force and its revision."""
    import yaml

    current = Client(instance, read_token(token_file)).get("/routing")
    document = {**current["document"], "revision": current["revision"]}
    typer.echo(yaml.safe_dump(document, sort_keys=False), nl=False)


@evacuation_app.command()
def start(
    data_centre: DataCentreArgument,
    instance: InstanceOption = DEFAULT_INSTANCE,
    token_file: TokenOption = None,
) -> None:
    """Send nothing more to the targets of a data centre."""
    _send_evacuation("PUT", data_centre, instance, token_file)
    typer.echo(f"{data_centre} is evacuated")


@evacuation_app.command()
def end(
    data_centre: DataCentreArgument,
    instance: InstanceOption = DEFAULT_INSTANCE,
    token_file: TokenOption = None,
) -> None:
    """Use the targets of a data centre again."""
    _send_evacuation("DELETE", data_centre, instance, token_file)
    typer.echo(f"{data_centre} is in use")


@evacuation_app.command(name="list")
def list_evacuations(
    instance: InstanceOption = DEFAULT_INSTANCE, token_file: TokenOption = None
) -> None:
    """Print the evacuated data centres, one a line."""
    client = Client(instance, read_token(token_file))
    for data_centre in client.get("/evacuations")["evacuated"]:
        typer.echo(data_centre)


def _send_evacuation(
    method: str, data_centre: str, instance: str, token_file: Path | None
) -> None:
    client = Client(instance, read_token(token_file))
    client.send(method, f"/evacuations/{quote_segment(data_centre)}")


def _read_document(file: Path) -> dict[str, Any]:
    mapping, _ = load_file(file)
    RoutingTable.from_config(mapping)
    return mapping

"""Commands for the group of controllers."""

from typing import Annotated

import typer

from toucanwood.cli._client import Client, quote_segment, read_token
from toucanwood.cli._options import DEFAULT_INSTANCE, InstanceOption, TokenOption

controllers_app = typer.Typer(
    help="List the controllers and remove one that is gone for good.",
    no_args_is_help=True,
)


@controllers_app.command(name="list")
def list_controllers(
    instance: InstanceOption = DEFAULT_INSTANCE, token_file: TokenOption = None
) -> None:
    """Print the members of the group, their roles, and whether they are live."""
    client = Client(instance, read_token(token_file))
    for item in client.get("/controllers")["controllers"]:
        state = "live" if item["is_live"] else "silent"
        typer.echo(f"{item['id']} {item['role']} {state}")


@controllers_app.command()
def remove(
    controller: Annotated[str, typer.Argument(help="Id of the controller.")],
    instance: InstanceOption = DEFAULT_INSTANCE,
    token_file: TokenOption = None,
) -> None:
    """Remove a controller from the group; ask the leader."""
    client = Client(instance, read_token(token_file))
    client.send("DELETE", f"/controllers/{quote_segment(controller)}")
    typer.echo(f"{controller} is removed")

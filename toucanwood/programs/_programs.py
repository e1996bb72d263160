"""Running a role until a signal stops it."""

from collections.abc import Callable
from functools import singledispatch
from typing import Any

import attrs
import structlog

from toucanwood.controller import ControllerInstance
from toucanwood.gateway import GatewayInstance
from toucanwood.httpd import BodyBudget, ConnectionLimit, HttpServer
from toucanwood.programs._control_api import ControlApi
from toucanwood.programs._settings import ControllerRole, EntryRole
from toucanwood.utils import run_program
from toucanwood.utils.logs import configure_logging

log = structlog.get_logger()


class ControllerProgram:
    """A controller and the HTTP server for operators, targets and callers."""

    def __init__(self, role: ControllerRole) -> None:
        self._controller = ControllerInstance(role.controller)
        api = ControlApi(
            self._controller,
            operator_token_sha256=role.operator_token_sha256,
            target_token_sha256=role.target_token_sha256,
        )
        budget = BodyBudget(role.controller.body_memory_bytes)
        limit = ConnectionLimit.from_open_files(role.controller.max_open_files)
        self._server = HttpServer(api.handle, budget=budget, connection_limit=limit)

    async def start(self) -> None:
        """Start the controller, then listen for requests."""
        await self._controller.start()
        self._server.start(self._controller.settings.control)

    async def stop(self) -> None:
        """Stop listening, then stop the controller and the server."""
        self._server.close()
        await self._controller.stop()
        await self._server.stop()

    async def close(self) -> None:
        """Close the controller without a graceful stop."""
        await self._controller.close()

    def add_controllers(self, controllers: tuple[str, ...]) -> None:
        """Use further controllers, which changed settings name."""
        self._controller.add_controllers(controllers)

    async def wait_failed(self) -> str:
        """Wait until the controller fails and return the reason."""
        return await self._controller.wait_failed()


def serve_role(
    role: EntryRole | ControllerRole,
    read_again: Callable[[], EntryRole | ControllerRole],
) -> int:
    """Run a role until SIGTERM and return the exit status.

    After SIGHUP, further controllers in the settings are used at once. One log line
    names the settings that `read_again` finds changed and those that need a restart.
    """
    configure_logging()
    programs: list[ControllerProgram | GatewayInstance] = []

    def create() -> ControllerProgram | GatewayInstance:
        programs.append(_create_program(role))
        return programs[-1]

    def reload() -> None:
        try:
            fields = _flatten(read_again())
        except (ValueError, OSError) as error:
            log.error("settings_unreadable", error=str(error))
            return
        changed = list_changes(_flatten(role), fields)
        for program in programs:
            program.add_controllers(fields["controllers"])
        needs_restart = [name for name in changed if name != "controllers"]
        log.info(
            "settings_changed",
            changed=",".join(changed),
            needs_restart=",".join(needs_restart),
        )

    return run_program(create, on_hangup=reload)


@singledispatch
def _create_program(role: Any) -> Any:
    raise TypeError(f"role must be of a known type, got {type(role).__name__}")


@_create_program.register
def _(role: EntryRole) -> GatewayInstance:
    return GatewayInstance(role.gateway)


@_create_program.register
def _(role: ControllerRole) -> ControllerProgram:
    return ControllerProgram(role)


def list_changes(old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    """Return the sorted names of the fields that differ, without their values."""
    return sorted(name for name in old.keys() | new if old.get(name) != new.get(name))


def _flatten(role: Any) -> dict[str, Any]:
    fields = {"role": type(role).__name__}
    for name, value in attrs.asdict(role, recurse=False).items():
        if attrs.has(type(value)):
            fields.update(attrs.asdict(value, recurse=False))
        else:
            fields[name] = value
    return fields

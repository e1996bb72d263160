"""The HTTP interface of a controller for operators, targets and callers."""

import asyncio
import hashlib
import hmac
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote

import structlog
from returns.result import Result, Success

from toucanwood.controller import ControllerInstance
from toucanwood.fleet import (
    OrderResult,
    OrderStatus,
    PutRouting,
    SetEvacuation,
    Target,
    TargetState,
)
from toucanwood.httpd import (
    BodyError,
    BodyMemoryFull,
    BodyTooLarge,
    CallerRequest,
    Responder,
    Response,
    build_error_response,
)
from toucanwood.utils import FieldError, MappingReader, ValidationError
from toucanwood.verdicts import Verdict, refuse

log = structlog.get_logger()

PREFIX = "/.toucanwood/"
MAX_BODY_BYTES = 8 * 1024 * 1024
BODY_TIMEOUT_S = 10.0
STATUS_BY_ORDER_STATUS = {OrderStatus.CONFLICT: 412, OrderStatus.INVALID: 422}

ApiHandler = Callable[[CallerRequest, str], Awaitable[dict[str, Any]]]


class _ApiError(Exception):
    """Hold the verdict with which a call ends."""

    def __init__(self, verdict: Verdict) -> None:
        super().__init__(verdict.message)
        self.verdict = verdict


class ControlApi:
    """Handle the HTTP requests at the address of a controller."""

    def __init__(
        self,
        controller: ControllerInstance,
        *,
        operator_token_sha256: str,
        target_token_sha256: str,
    ) -> None:
        self._controller = controller
        operator, target = operator_token_sha256, target_token_sha256
        # The handler of each call and the hash of the token that it requires.
        self._handlers: dict[tuple[str, str], tuple[ApiHandler, str | None]] = {
            ("GET", "health"): (self._report_health, None),
            ("GET", "lookup"): (self._look_up, None),
            ("PUT", "targets"): (self._announce_target, target),
            ("DELETE", "targets"): (self._remove_target, target),
            ("GET", "routing"): (self._read_routing, operator),
            ("PUT", "routing"): (self._replace_routing, operator),
            ("GET", "evacuations"): (self._list_evacuations, operator),
            ("PUT", "evacuations"): (self._start_evacuation, operator),
            ("DELETE", "evacuations"): (self._end_evacuation, operator),
            ("GET", "controllers"): (self._list_controllers, operator),
            ("DELETE", "controllers"): (self._remove_controller, operator),
            ("GET", "dump"): (self._dump, operator),
        }

    async def handle(self, responder: Responder) -> None:
        """Respond to a request."""
        request = responder.request
        try:
            request.budget.check()
            content = await self._run_handler(request)
            response = Response(
                status=200,
                headers=[("Content-Type", "application/json")],
                body=json.dumps(content).encode(),
            )
        except _ApiError as error:
            response = build_error_response(error.verdict)
        except ValueError as error:
            response = _refuse_call("body_invalid", str(error), 400)
        except BodyMemoryFull as error:
            response = _refuse_call("body_memory_full", str(error), 503)
        except TimeoutError:
            response = _refuse_call("body_timeout", "the body did not arrive", 408)
        except BodyTooLarge as error:
            response = _refuse_call("body_too_large", str(error), 413)
        except BodyError as error:
            response = _refuse_call("body_invalid", str(error), 400)
        if response.status >= 400:
            log.info(
                "call_invalid",
                call=f"{request.method} {request.path}"[:200],
                status=response.status,
                error=response.code,
            )
        await responder.send(response)

    async def _run_handler(self, request: CallerRequest) -> dict[str, Any]:
        resource, _, item_id = request.path.removeprefix(PREFIX).partition("/")
        handler, token_hash = self._handlers.get(
            (request.method, resource), (None, None)
        )
        if handler is None or not request.path.startswith(PREFIX):
            raise _ApiError(
                refuse("path_unknown", "no such path or method", status=404)
            )
        if token_hash is not None:
            _check_token(request, token_hash)
        return await handler(request, unquote(item_id))

    async def _report_health(self, request: CallerRequest, _: str) -> dict[str, Any]:
        return {"status": "ok", "id": self._controller.settings.id}

    async def _look_up(self, request: CallerRequest, _: str) -> dict[str, Any]:
        query = parse_qs(request.target.partition("?")[2])
        region = query.get("region", [""])[0]
        data_centre = query.get("data_centre", [""])[0]
        addresses = self._controller.look_up(region, data_centre)
        if not addresses:
            raise _ApiError(
                refuse(
                    "entries_unknown", "no entry is known", status=503, retry_after=1
                )
            )
        ttl = self._controller.settings.lookup_ttl_s
        return {"addresses": addresses, "ttl": ttl}

    async def _announce_target(
        self, request: CallerRequest, target_id: str
    ) -> dict[str, Any]:
        target = _decode_target(target_id, await _read_json(request))
        _unwrap(await self._controller.announce_target(target))
        return {}

    async def _remove_target(
        self, request: CallerRequest, target_id: str
    ) -> dict[str, Any]:
        query = parse_qs(request.target.partition("?")[2])
        start_time = query.get("start_time_ms", [""])[0]
        start_time_ms = int(start_time) if start_time.isdecimal() else None
        _unwrap(await self._controller.remove_target(target_id, start_time_ms))
        return {"left": target_id}

    async def _read_routing(self, request: CallerRequest, _: str) -> dict[str, Any]:
        revision, document = _unwrap(self._controller.read_routing())
        return {"revision": revision, "document": document}

    async def _replace_routing(self, request: CallerRequest, _: str) -> dict[str, Any]:
        base = request.headers.get("If-Match", "").strip('"')
        if not (base.isascii() and base.isdigit()):
            message = "If-Match must contain the base revision"
            raise _ApiError(refuse("revision_missing", message, status=428))
        body = await _read_json(request)
        errors: list[FieldError] = []
        revision = MappingReader(body, "", errors).read_number(
            "revision", low=1, integer=True
        )
        if errors:
            raise ValidationError(errors)
        document = {name: value for name, value in body.items() if name != "revision"}
        return await self._submit(PutRouting(int(base), revision, document))

    async def _list_evacuations(self, request: CallerRequest, _: str) -> dict[str, Any]:
        # Fails unless the state is proven to be current.
        _unwrap(self._controller.read_routing())
        return {"evacuated": sorted(self._controller.state.evacuated)}

    async def _start_evacuation(
        self, request: CallerRequest, data_centre: str
    ) -> dict[str, Any]:
        return await self._evacuate(data_centre, is_evacuated=True)

    async def _end_evacuation(
        self, request: CallerRequest, data_centre: str
    ) -> dict[str, Any]:
        return await self._evacuate(data_centre, is_evacuated=False)

    async def _evacuate(
        self, data_centre: str, *, is_evacuated: bool
    ) -> dict[str, Any]:
        known = self._controller.settings.region_by_data_centre
        if data_centre not in known:
            allowed = ", ".join(sorted(known))
            message = f"data centre must be one of {allowed}, got {data_centre!r}"
            raise _ApiError(refuse("data_centre_unknown", message, status=400))
        return await self._submit(SetEvacuation(data_centre, is_evacuated))

    async def _list_controllers(self, request: CallerRequest, _: str) -> dict[str, Any]:
        return {"controllers": self._controller.describe_group()}

    async def _remove_controller(
        self, request: CallerRequest, controller: str
    ) -> dict[str, Any]:
        _unwrap(await self._controller.remove_controller(controller))
        return {"removed": controller}

    async def _dump(self, request: CallerRequest, _: str) -> dict[str, Any]:
        return self._controller.dump()

    async def _submit(self, order: PutRouting | SetEvacuation) -> dict[str, Any]:
        result: OrderResult = _unwrap(await self._controller.submit(order))
        if result.status is not OrderStatus.ACCEPTED:
            status = STATUS_BY_ORDER_STATUS[result.status]
            raise _ApiError(
                refuse(f"order_{result.status.value}", result.message, status=status)
            )
        return {"revision": result.revision}


def _check_token(request: CallerRequest, expected: str) -> None:
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    digest = hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
    if scheme.lower() != "bearer" or not hmac.compare_digest(digest, expected):
        message = "this path requires a valid bearer token"
        raise _ApiError(refuse("token_invalid", message, status=401))


def _decode_target(target_id: str, body: Any) -> Target:
    """Decode an announcement; raise a ValidationError with every error."""
    errors: list[FieldError] = []
    reader = MappingReader(body, "", errors)
    state = reader.read_choice("state", tuple(TargetState), TargetState.READY)
    values = {
        "start_time_ms": reader.read_number("start_time_ms", low=0, integer=True),
        "sequence": reader.read_number("sequence", low=0, integer=True),
        "service": reader.read("service", str),
        "address": reader.read("address", str),
        "data_centre": reader.read("data_centre", str),
        "software": reader.read("software", str, ""),
        "slots": reader.read_number("slots", low=1, integer=True),
        "remaining_cold_start_s": reader.read_number("cold_start_s", 0.0, low=0),
    }
    reader.report_unknown_fields()
    if not target_id:
        errors.append(FieldError("id", target_id, "a non-empty string"))
    if errors:
        raise ValidationError(errors)
    return Target(id=target_id, state=TargetState(state), **values)


async def _read_json(request: CallerRequest) -> Any:
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await request.read_json(MAX_BODY_BYTES)
    except ValueError as error:
        raise ValidationError([FieldError("body", "", f"JSON ({error})")]) from None


def _unwrap(result: Result[Any, Verdict]) -> Any:
    if isinstance(result, Success):
        return result.unwrap()
    raise _ApiError(result.failure())


def _refuse_call(code: str, message: str, status: int) -> Response:
    return build_error_response(refuse(code, message, status=status))

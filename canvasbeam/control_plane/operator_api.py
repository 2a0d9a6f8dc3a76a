"""Serve the operator's requests: the configuration, evacuations, removals, and the status of this node.

Owns the changes and reads in progress at this node. Only the primary handles them; other nodes redirect the caller to
the primary. A change that takes longer than `ANSWER_TIMEOUT_S` is answered 503, which leaves the outcome of the change
open; the change continues at this node and is never cancelled. A retry of a configuration change is recognized if the
change has been applied, and joins the change if it is still in progress. An evacuation request never joins an earlier
one: the request defines the state of the zone from now on, and the earlier request may meanwhile have been reverted
under another primary.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from urllib.parse import quote

from canvasbeam.control_plane.evacuation_fence import EvacuationFence
from canvasbeam.control_plane.json_documents import JsonValue
from canvasbeam.control_plane.state_service import ControlStateService
from canvasbeam.control_plane.web import (
    Answer,
    Request,
    failure_answer,
    json_answer,
    method_not_allowed,
    retry_on_new_connection,
    unavailable,
)
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.control_state import Change, ChangeKind, Committed, ControlState
from canvasbeam.replication.removal import Removal
from canvasbeam.runtime.settings import ProcessSettings

CONFIGURATION_PATH = "/v1/config"
EVACUATION_PREFIX = "/v1/evacuate/"
REMOVAL_PREFIX = "/v1/control/remove/"
STATUS_PATH = "/v1/status"
ANSWER_TIMEOUT_S = 0.83  # seconds; with the wait of `web.DISCONNECT_WAIT_S` before, below the 1 s timeout of callers
MAX_CHANGES_IN_PROGRESS = 64
MAX_MATCH_DIGITS = 19  # decimal digits of the largest generation
# Maximum size of one change. All nodes and releases use the same limit, so that no applied change is too large later.
MAX_CHANGE_BYTES = 16 << 20

CHANGE_KIND_BY_METHOD = {"PUT": ChangeKind.PUT_CONFIGURATION, "PATCH": ChangeKind.PATCH_CONFIGURATION}
EVACUATION_KIND_BY_METHOD = {"POST": ChangeKind.START_EVACUATION, "DELETE": ChangeKind.END_EVACUATION}

STATUS_OF_CODE = {
    ResultCode.CONFIG_UNREADABLE: 400,
    ResultCode.CONFIG_SCHEMA: 400,
    ResultCode.CONFIG_UNKNOWN_SERVICE: 400,
    ResultCode.CONFIG_DUPLICATE_ROUTE: 400,
    ResultCode.CONFIG_NO_WEIGHT: 400,
    ResultCode.CONFIG_NO_TIMEOUT: 400,
    ResultCode.CONFIG_OLD_GENERATION: 400,
    ResultCode.CONFIG_NO_MATCH: 400,
    ResultCode.CONFIG_DUPLICATE_NAME: 400,
    ResultCode.CONFIG_STALE_MATCH: 412,
    ResultCode.CONFIG_TOO_LARGE: 413,
    ResultCode.ZONE_UNKNOWN: 404,
    ResultCode.MEMBER_UNKNOWN: 404,
    ResultCode.MEMBER_NEEDED: 409,
}

StatusSource = Callable[[], Mapping[str, JsonValue]]


class OperatorApi:
    """Serves the operator's requests at one control node."""

    def __init__(
        self,
        settings: ProcessSettings,
        service: ControlStateService,
        is_reachable: Callable[[str], bool],
        status: StatusSource,
    ) -> None:
        self._settings = settings
        self._service = service
        self._is_reachable = is_reachable
        self._status = status
        self._changes: set[asyncio.Task[Committed | Failure]] = set()  # all changes in progress
        # Configuration changes in progress; a retry of the same change waits for the task in this dict.
        self._configuration_changes: dict[Change, asyncio.Task[Committed | Failure]] = {}
        self._evacuation_fence = EvacuationFence()
        self._reads: set[asyncio.Task[ControlState | Failure]] = set()

    def max_body_bytes(self) -> int:
        """Return the maximum size of the body of a change, in bytes."""
        return MAX_CHANGE_BYTES

    async def configuration(self, request: Request) -> Answer:
        """Serve `/v1/config`: read or replace the configuration, or change named items."""
        if request.path != CONFIGURATION_PATH:
            return Answer(404)
        if request.method == "GET":
            return await self._read(request)
        kind = CHANGE_KIND_BY_METHOD.get(request.method)
        if kind is None:
            return method_not_allowed("GET", *CHANGE_KIND_BY_METHOD)
        if_match = _parse_if_match(request)
        if isinstance(if_match, Failure):
            return self._failure(request, if_match)
        return await self._submit(request, Change(kind, request.body, if_match))

    async def evacuation(self, request: Request) -> Answer:
        """Serve `/v1/evacuate/ZONE`: start or end the evacuation of a zone."""
        zone = request.path.removeprefix(EVACUATION_PREFIX)
        kind = EVACUATION_KIND_BY_METHOD.get(request.method)
        if kind is None:
            return method_not_allowed(*EVACUATION_KIND_BY_METHOD)
        if not zone or (self._settings.zones and zone not in self._settings.zones):
            return self._failure(request, Failure(ResultCode.ZONE_UNKNOWN, f"there is no zone {zone!r}"))
        return await self._evacuate(request, Change(kind, zone=zone))

    async def removal(self, request: Request) -> Answer:
        """Serve `/v1/control/remove/IP`: remove a control process permanently; a repeated request reports progress."""
        if request.method != "POST":
            return method_not_allowed("POST")
        ip = request.path.removeprefix(REMOVAL_PREFIX)
        outcome = self._service.remove(ip)
        if isinstance(outcome, Failure):
            return self._failure(request, outcome)
        status = 200 if outcome is Removal.DONE else 202
        return json_answer(status, {"ip": ip, "removal": outcome.value})

    async def status(self, request: Request) -> Answer:
        """Serve `/v1/status`: the state of this node, and of other nodes as known to this node."""
        if request.method != "GET":
            return method_not_allowed("GET")
        return json_answer(200, self._status())

    def on_primary_changed(self, ip: str | None) -> None:
        """Handle a change of the primary: `ip` is the address of the new primary, or None if no primary is known."""
        if ip == self._settings.ip:
            self._evacuation_fence.become_primary(asyncio.get_running_loop().time())

    async def _evacuate(self, request: Request, change: Change) -> Answer:
        if not self._service.is_primary:
            return self._redirect_to_primary(request)
        if request.idle_since_s is not None and self._evacuation_fence.may_be_stale(change, request.idle_since_s):
            reason = "an opposite order came, or this node began to lead, after the connection came to rest"
            return retry_on_new_connection(Failure(ResultCode.ORDER_MAY_BE_LATE, reason))
        self._evacuation_fence.record(change, asyncio.get_running_loop().time())
        return await self._submit(request, change)

    async def _submit(self, request: Request, change: Change) -> Answer:
        if not self._service.is_primary:
            return self._redirect_to_primary(request)
        task = self._configuration_changes.get(change)
        if task is None:
            if len(self._changes) >= MAX_CHANGES_IN_PROGRESS:
                return unavailable(Failure(ResultCode.OVERLOADED, "too many orders are in progress"))
            task = self._start(change)
        await asyncio.wait({task}, timeout=ANSWER_TIMEOUT_S)
        if not task.done():
            return unavailable(Failure(ResultCode.REPLICATION_TIMEOUT, "the order is still in progress"))
        result = task.result()
        if isinstance(result, Failure):
            return self._failure(request, result)
        # `Committed`: the change is durable on every replica of the view; see `MemberDriver._perform`.
        return json_answer(200, _summary(result.state))

    def _start(self, change: Change) -> asyncio.Task[Committed | Failure]:
        task = asyncio.create_task(self._service.submit(change))
        self._changes.add(task)
        task.add_done_callback(self._changes.discard)
        if change.kind in CHANGE_KIND_BY_METHOD.values():
            self._configuration_changes[change] = task
            task.add_done_callback(lambda _: self._configuration_changes.pop(change, None))
        return task

    async def _read(self, request: Request) -> Answer:
        if not self._service.is_primary:
            return self._redirect_to_primary(request)
        task = asyncio.create_task(self._service.read())
        self._reads.add(task)
        task.add_done_callback(self._reads.discard)
        await asyncio.wait({task}, timeout=ANSWER_TIMEOUT_S)
        if not task.done():
            task.cancel()
            return unavailable(Failure(ResultCode.REPLICATION_TIMEOUT, "the read was not confirmed in time"))
        state = task.result()
        if isinstance(state, Failure):
            return self._failure(request, state)
        if state.configuration is None:
            return failure_answer(404, Failure(ResultCode.REQUEST_NOT_READY, "there is no configuration yet"))
        return json_answer(200, state.configuration)

    def _failure(self, request: Request, failure: Failure) -> Answer:
        if failure.code is ResultCode.NOT_PRIMARY:
            return self._redirect_to_primary(request)
        status = STATUS_OF_CODE.get(failure.code)
        return unavailable(failure) if status is None else failure_answer(status, failure)

    def _redirect_to_primary(self, request: Request) -> Answer:
        """Redirect the caller to the primary, or answer 503 if no reachable primary is known."""
        primary_ip = self._service.primary_ip
        if primary_ip is None or primary_ip == self._settings.ip or not self._is_reachable(primary_ip):
            return unavailable(Failure(ResultCode.NO_PRIMARY, "no primary is known at present"))
        location = f"http://{primary_ip}:{self._settings.listen['control'].port}{quote(request.path)}"
        failure = Failure(ResultCode.NOT_PRIMARY, f"the primary is {primary_ip}")
        return failure_answer(307, failure, ((b"location", location.encode()),))


def _parse_if_match(request: Request) -> int | Failure:
    text = request.headers.get("if-match")
    if text is None:
        return Failure(ResultCode.CONFIG_NO_MATCH, "If-Match is missing")
    digits = text.strip().removeprefix("W/").strip('"')
    if not (digits.isascii() and digits.isdigit()) or len(digits) > MAX_MATCH_DIGITS:
        return Failure(ResultCode.CONFIG_NO_MATCH, "If-Match is not the number of a generation")
    return int(digits)


def _summary(state: ControlState) -> Mapping[str, JsonValue]:
    return {"generation": state.generation, "index": state.index, "evacuated_zones": list(state.evacuated_zones)}

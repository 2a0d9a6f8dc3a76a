"""Serve the addresses of data-plane nodes to clients, from the item table of this control node.

`canvasbeam.service_discovery.directory` chooses the addresses. A control node without a recent answer from any other
node answers 503, because its item table may be out of date.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from canvasbeam.cluster.member import Member
from canvasbeam.control_plane.home_regions import HomeRegions
from canvasbeam.control_plane.web import Answer, Request, json_answer, method_not_allowed, unavailable
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.runtime.settings import ProcessSettings
from canvasbeam.service_discovery.directory import ClientLocation, DataPlaneNode, choose_addresses

RESOLVE_PATH = "/v1/resolve"
TTL_S = 1.0  # seconds for which a client may use an answer; the setting `bounds.ttl_max_s` can only lower it


class Directory:
    """Answers `GET /v1/resolve` at one control node."""

    def __init__(
        self,
        settings: ProcessSettings,
        members: Callable[[], Iterable[Member]],
        home_regions: HomeRegions,
        is_reachable: Callable[[], bool] = lambda: True,
    ) -> None:
        self._settings = settings
        self._home_regions = home_regions
        self._members = members
        self._is_reachable = is_reachable

    async def resolve(self, request: Request) -> Answer:
        """Answer with the addresses of data-plane nodes for a client, nearest first, or with 503 if there are none."""
        if request.path != RESOLVE_PATH:
            return Answer(404)
        if request.method != "GET":
            return method_not_allowed("GET")
        if not self._is_reachable():
            return unavailable(Failure(ResultCode.PEER_UNREACHABLE, "no other node is known to hear this one"))
        home_regions = self._home_regions.of_host(request.query.get("name", ""))
        addresses = choose_addresses(self._nodes(), self._client_location(request), home_regions)
        if not addresses:
            return unavailable(Failure(ResultCode.REQUEST_NOT_READY, "no data-plane node is known to be ready"))
        return json_answer(200, {"addresses": addresses, "ttl_s": min(TTL_S, self._settings.bounds.ttl_max_s)})

    def _client_location(self, request: Request) -> ClientLocation:
        zone = request.query.get("zone", "")
        return ClientLocation(zone, request.query.get("region") or self._settings.zones.get(zone, ""))

    def _nodes(self) -> Iterable[DataPlaneNode]:
        for member in self._members():
            if member.front and not member.is_control:
                yield DataPlaneNode(member.front, member.zone, member.region, member.ready)

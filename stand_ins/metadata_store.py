"""Serve a stand-in for the platform's store: revisions, conditions and watches.

Implements the part of the platform's published protocol that the tests need.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import orjson
from aiohttp import web

from stand_ins.serving import drop_connection, make_json_response

__all__ = ["MetadataStore", "StoreCopy", "StoreFaults"]

PAGE_ITEMS = 5


@dataclass(slots=True)
class StoreFaults:
    """Active faults: a status for all calls, invalid bodies, lost or late responses."""

    status: int | None = None
    garbage: bool = False
    lose_writes: int = 0
    delay_seconds: float = 0.0


@dataclass(slots=True, frozen=True)
class StoreCopy:
    """State of the store at one moment."""

    revision: int
    oldest_revision: int
    objects: dict[str, dict[str, dict[str, Any]]]
    history: list[tuple[int, str, bool, dict[str, Any]]]


@dataclass(slots=True)
class MetadataStore:
    """Objects by kind and name, with one revision counter for all.

    ``era`` counts the restores; None leaves its header out, as stores before it do.
    """

    revision: int = 1
    oldest_revision: int = 1
    objects: dict[str, dict[str, dict[str, Any]]] = field(default_factory=dict)
    history: list[tuple[int, str, bool, dict[str, Any]]] = field(default_factory=list)
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: list[tuple[str, str]] = field(default_factory=list)
    era: int | None = 1
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=2**22)
        app.on_response_prepare.append(self._add_era)
        app.router.add_get("/objects/{kind}", self._get_kind)
        app.router.add_post("/objects/{kind}", self._create)
        app.router.add_get("/objects/{kind}/{name}", self._get)
        app.router.add_put("/objects/{kind}/{name}", self._replace)
        app.router.add_delete("/objects/{kind}/{name}", self._delete)
        return app

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object unconditionally; an unchanged spec has no effect."""
        current = self.objects.setdefault(kind, {}).get(name)
        if current is not None and current["spec"] == spec:
            return current
        self.revision += 1
        metadata: dict[str, Any] = {
            "name": name,
            "revision": self.revision,
            "created_at": current["metadata"]["created_at"]
            if current
            else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind][name] = stored
        self._record_event(kind, stored, removed=False)
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects[kind].pop(name)
        self.revision += 1
        self._record_event(kind, stored, removed=True)

    def compact(self) -> None:
        """Drop the history, so that older watches must list again."""
        self.oldest_revision = self.revision
        self.history.clear()
        self._notify_watchers()

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        objects = {kind: dict(items) for kind, items in self.objects.items()}
        history = list(self.history)
        return StoreCopy(self.revision, self.oldest_revision, objects, history)

    def restore(self, copy: StoreCopy) -> None:
        """Return to an older copy: what was written since is gone, watches are cut."""
        self.revision, self.oldest_revision = copy.revision, copy.oldest_revision
        self.objects = {kind: dict(items) for kind, items in copy.objects.items()}
        self.history = list(copy.history)
        self.era = (self.era or 0) + 1
        self._notify_watchers()

    async def _add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)

    def _record_event(
        self, kind: str, stored: dict[str, Any], *, removed: bool
    ) -> None:
        self.history.append((self.revision, kind, removed, stored))
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _apply_fault(self, request: web.Request) -> web.Response | None:
        self.calls.append((request.method, request.path))
        if self.faults.delay_seconds:
            await asyncio.sleep(self.faults.delay_seconds)
        if self.faults.garbage:
            return web.Response(body=b"\xff{not json", status=200)
        if self.faults.status is not None:
            return web.Response(status=self.faults.status)
        return None

    async def _get_kind(self, request: web.Request) -> web.Response:
        failure = await self._apply_fault(request)
        if failure is not None:
            return failure
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("after", "")
        names = sorted(n for n in self.objects.get(kind, {}) if n > after)
        page = names[:PAGE_ITEMS]
        return make_json_response(
            {
                "items": [self.objects[kind][name] for name in page],
                "has_more": len(names) > len(page),
                "current_rev": self.revision,
            }
        )

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        after = int(request.query["watch"])
        seconds = int(request.query.get("wait_ms", "0")) / 1000
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        era = self.era
        while True:
            if era != self.era:
                return drop_connection(request)
            if after > self.revision:
                return web.Response(status=410)
            if after < self.oldest_revision and after != self.revision:
                return web.Response(status=410)
            events = [
                {"removed": removed, "object": stored}
                for revision, event_kind, removed, stored in self.history
                if revision > after and event_kind == kind
            ]
            changed = self._changed
            if events or loop.time() >= end:
                return make_json_response(
                    {"events": events, "current_rev": self.revision}
                )
            try:
                async with asyncio.timeout_at(end):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _get(self, request: web.Request) -> web.Response:
        failure = await self._apply_fault(request)
        if failure is not None:
            return failure
        current = self._find(request)
        return (
            web.Response(status=404) if current is None else make_json_response(current)
        )

    async def _create(self, request: web.Request) -> web.Response:
        failure = await self._apply_fault(request)
        if failure is not None:
            return failure
        body = orjson.loads(await request.read())
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        current = self.objects.get(kind, {}).get(name)
        if current is not None:
            return make_json_response(current, 409)
        return self._respond_to_write(request, self.put(kind, name, body["spec"]))

    async def _replace(self, request: web.Request) -> web.Response:
        failure = await self._apply_fault(request)
        if failure is not None:
            return failure
        body = orjson.loads(await request.read())
        current = self._find(request)
        if current is None:
            return web.Response(status=404)
        if body["metadata"].get("revision") not in (
            None,
            current["metadata"]["revision"],
        ):
            return make_json_response(current, 409)
        kind, name = request.match_info["kind"], request.match_info["name"]
        return self._respond_to_write(request, self.put(kind, name, body["spec"]))

    async def _delete(self, request: web.Request) -> web.Response:
        failure = await self._apply_fault(request)
        if failure is not None:
            return failure
        current = self._find(request)
        if current is None:
            return web.Response(status=404)
        self.remove(request.match_info["kind"], request.match_info["name"])
        return make_json_response(current)

    def _respond_to_write(
        self, request: web.Request, stored: dict[str, Any]
    ) -> web.Response:
        if self.faults.lose_writes and request.transport is not None:
            self.faults.lose_writes -= 1
            request.transport.abort()
        return make_json_response(stored)

    def _find(self, request: web.Request) -> dict[str, Any] | None:
        kind, name = request.match_info["kind"], request.match_info["name"]
        return self.objects.get(kind, {}).get(name)

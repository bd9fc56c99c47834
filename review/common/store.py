"""Stand-in for the platform's metadata store, one HTTP server for all nodes."""

import asyncio
import json

from httpio import read_message, write_response


class Store:
    """Objects by kind and name, under one growing revision."""

    def __init__(self, record):
        self.record = record
        self.revision = 500
        self.kinds = {}
        self.changed = asyncio.Event()
        self.server = None

    async def start(self, address, port):
        self.server = await asyncio.start_server(self._serve, address, port)

    def put(self, kind, name, spec):
        """Writes an object as the operator does; the return acknowledges it."""
        known = self.kinds.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return
        self._bump()
        self.kinds[kind][name] = {
            "meta": {"name": name, "revision": self.revision,
                     "created": self.revision if known is None
                     else known["meta"]["created"],
                     "finalizers": [], "is_deleting": False},
            "spec": spec, "status": None}
        self.record(f"operator writes {kind}/{name} at revision "
                    f"{self.revision}: {json.dumps(spec)}")

    def _bump(self):
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                status, body = await self._answer(*message)
                await write_response(writer, status, body)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        path, _, query_text = target.partition("?")
        query = dict(it.partition("=")[::2] for it in query_text.split("&")
                     if it)
        parts = path.strip("/").split("/")
        if parts[:2] != ["api", "objects"] or not 3 <= len(parts) <= 4:
            return 404, {}
        objects = self.kinds.setdefault(parts[2], {})
        if method == "GET":
            return await self._read(objects, parts[3:], query)
        if method == "POST":
            return self._create(objects, json.loads(body))
        if len(parts) != 4 or parts[3] not in objects:
            return 404, {}
        if method == "DELETE":
            self._bump()
            return 200, objects.pop(parts[3])
        if method == "PUT":
            return self._replace(objects, parts[3], json.loads(body))
        return 404, {}

    async def _read(self, objects, name, query):
        if name:
            return (200, objects[name[0]]) if name[0] in objects else (404, {})
        if "watch" in query:
            return await self._watch(objects, query)
        names = sorted(it for it in objects if it > query.get("after", ""))
        return 200, {"items": [objects[it] for it in names[:500]],
                     "has_more": len(names) > 500, "as_of": self.revision}

    async def _watch(self, objects, query):
        since = int(query["watch"])
        if not any(it["meta"]["revision"] > since for it in objects.values()):
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       int(query.get("wait_ms", 0)) / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"events": [{"object": it, "deleted": False}
                                for it in objects.values()
                                if it["meta"]["revision"] > since],
                     "as_of": self.revision}

    def _create(self, objects, given):
        name = given["meta"]["name"]
        if name in objects:
            return 409, objects[name]
        self._bump()
        objects[name] = {"meta": {"name": name, "revision": self.revision,
                                  "created": self.revision, "finalizers": [],
                                  "is_deleting": False},
                         "spec": given.get("spec"), "status": None}
        return 200, objects[name]

    def _replace(self, objects, name, given):
        known = objects[name]
        expected = given.get("meta", {}).get("revision")
        if expected is not None and expected != known["meta"]["revision"]:
            return 409, known
        if known["spec"] != given.get("spec"):
            self._bump()
            known["spec"] = given.get("spec")
            known["meta"]["revision"] = self.revision
        return 200, known

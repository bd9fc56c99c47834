"""Stand-in for the platform's metadata store."""

import json
import urllib.parse

import httpio

PAGE_ITEMS = 500
PAGE_BYTES = 1_048_576


class Store:
    """Keeps objects by kind and name; each change increases the revision."""

    def __init__(self, address, record):
        self.address = address
        self.record = record
        self.revision = 100
        self.kinds = {}
        self.listener = None

    async def start(self):
        self.listener = await httpio.serve(self.address, self._handle)

    def put_config(self, spec):
        """The operator writes config/main. Returning is the acknowledgement."""
        self._write("config", "main", spec)
        self.record(f"operator: config version {spec['version']} acknowledged")

    def put(self, kind, name, spec):
        self._write(kind, name, spec)
        self.record(f"operator: {kind}/{name} acknowledged")

    def delete(self, kind, name):
        self.revision += 1
        self.kinds.get(kind, {}).pop(name, None)
        self.record(f"operator: {kind}/{name} taken back, acknowledged")

    def _write(self, kind, name, spec, status=None):
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        objects[name] = {
            "meta": {"name": name, "revision": self.revision,
                     "created": created, "finalizers": [],
                     "is_deleting": False},
            "spec": spec, "status": known["status"] if known else status}
        return objects[name]

    @staticmethod
    def _take_page(objects):
        """Returns the objects of the first page: 500 or 1 MB at most."""
        page, size = [], 0
        for it in objects[:PAGE_ITEMS]:
            size += len(json.dumps(it))
            if page and size > PAGE_BYTES:
                break
            page.append(it)
        return page

    def _handle(self, method, path, raw, peer):
        url = urllib.parse.urlsplit(path)
        parts = url.path.strip("/").split("/")
        if parts[:2] != ["api", "objects"] or len(parts) < 3:
            return 404, {}
        kind = urllib.parse.unquote(parts[2])
        objects = self.kinds.setdefault(kind, {})
        query = urllib.parse.parse_qs(url.query)
        if len(parts) == 3 and method == "GET":
            first = query.get("after", [""])[0]
            names = sorted(it for it in objects if it > first)
            items = self._take_page([objects[it] for it in names])
            return 200, {"items": items, "has_more": len(items) < len(names),
                         "as_of": self.revision}
        try:
            body = json.loads(raw) if raw else {}
        except ValueError:
            return 400, {}
        if len(parts) == 3 and method == "POST":
            name = body["meta"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self._write(kind, name, body.get("spec"),
                                    body.get("status"))
        name = urllib.parse.unquote(parts[3]) if len(parts) > 3 else ""
        if name not in objects:
            return 404, {}
        if method == "GET":
            return 200, objects[name]
        wanted = query.get("revision", [None])[0] or body.get(
            "meta", {}).get("revision")
        if wanted and int(wanted) != objects[name]["meta"]["revision"]:
            return 409, objects[name]
        if method == "PUT":
            return 200, self._write(kind, name, body.get("spec"))
        if method == "DELETE":
            self.revision += 1
            return 200, objects.pop(name)
        return 404, {}

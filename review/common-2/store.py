"""The platform's store: objects by kind and name, one revision counter."""

import json
from urllib.parse import parse_qs, urlsplit

import http_calls as http


class Store:
    def __init__(self):
        self.revision = 500
        self.objects = {}  # kind -> name -> object

    def put(self, kind, name, spec):
        """Writes an object as the operator does."""
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        created = known["meta"]["created"] if known else self.revision
        self.objects[kind][name] = {
            "meta": {"name": name, "revision": self.revision,
                     "created": created, "finalizers": [],
                     "is_deleting": False},
            "spec": spec, "status": None}

    def handle(self, method, target, body):
        parts = urlsplit(target)
        words = parts.path.strip("/").split("/")
        if words[:2] != ["api", "objects"] or len(words) < 3:
            return 404, {}
        kind = self.objects.setdefault(words[2], {})
        if method == "GET" and len(words) == 3:
            after = parse_qs(parts.query).get("after", [""])[0]
            return 200, {"items": [kind[n] for n in sorted(kind) if n > after],
                         "has_more": False, "as_of": self.revision}
        if method == "POST" and len(words) == 3:
            sent = json.loads(body)
            name = sent["meta"]["name"]
            if name in kind:
                return 409, kind[name]
            self.put(words[2], name, sent.get("spec"))
            return 200, kind[name]
        if len(words) < 4 or words[3] not in kind:
            return 404, {}
        if method == "GET":
            return 200, kind[words[3]]
        if method == "PUT":
            self.put(words[2], words[3], json.loads(body).get("spec"))
            return 200, kind[words[3]]
        if method == "DELETE":
            self.revision += 1
            return 200, kind.pop(words[3])
        return 404, {}

    async def start(self, host, port):
        return await http.serve(host, port, self.handle)

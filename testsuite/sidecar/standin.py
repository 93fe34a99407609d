"""Stand-ins for the platform's store and for a backend server, by their published protocols."""
import base64
import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Store:
    """Rows of tables with one counter of versions; feeds wait for news."""

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.news = threading.Condition()
        self.away = False

    def write(self, rows, expected=()):
        """Applies all rows or none; None when a condition does not hold."""
        with self.news:
            for row in expected:
                known = self.rows.get((row["table"], row["key"]))
                if (known["ver"] if known else 0) != row["ver"]:
                    return None
            self.version += 1
            for row in rows:
                self.rows[(row["table"], row["key"])] = {**row, "ver": self.version}
            self.news.notify_all()
            return self.version

    def put(self, table, key, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.write([{"table": table, "part": "", "key": key, "value": value}])

    def get(self, table, key):
        row = self.rows.get((table, key))
        return json.loads(base64.b64decode(row["value"])) if row else None

    def read(self, table, after=0, wait_s=0.0):
        with self.news:
            found = lambda: [r for (t, _), r in sorted(self.rows.items())
                             if t == table and r["ver"] > after]
            if wait_s:
                self.news.wait_for(lambda: found() or self.away, wait_s)
            return {"rows": found(), "truncated": False, "ver": self.version, "now_ms": 0}


class Backend:
    """Answers every request with its id and a signature, and counts runs by request id."""

    def __init__(self, instance):
        self.instance = instance
        self.runs = {}
        self.expected = []
        self.callers = set()


def _reply(handler, status, body, fields=()):
    handler.send_response(status)
    for name, value in fields:
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)


def _store_handler(store):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *_):
            pass

        def answer(self, status, document):
            _reply(self, status, json.dumps(document).encode())

        def do_GET(self):
            url = urlsplit(self.path)
            query = {k: v[0] for k, v in parse_qs(url.query).items()}
            if store.away:
                return self.answer(503, {"error": "away"})
            if url.path == "/-/rows-get":
                return self.answer(200, store.read(query["table"]))
            if url.path == "/-/rows-feed":
                wait = min(int(query["wait_ms"]) / 1000, 5)
                return self.answer(200, store.read(query["table"], int(query["after"]), wait))
            return self.answer(404, {"error": "no such call"})

        def do_POST(self):
            body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
            if store.away:
                return self.answer(503, {"error": "away"})
            version = store.write(body["writes"], body["expect"])
            if version is None:
                return self.answer(412, {"rows": [], "ver": store.version})
            return self.answer(200, {"ver": version, "now_ms": 0})

    return Handler


def _backend_handler(backend):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *_):
            pass

        def serve(self):
            body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
            request = self.headers["Request-Id"]
            if self.headers["Target-Instance"] != backend.instance:
                return _reply(self, 421, b"", [("Request-Id", request)])
            backend.runs[request] = backend.runs.get(request, 0) + 1
            backend.callers.add(self.headers["Caller-Service"])
            return _reply(self, 200, b"done " + body,
                          [("Request-Id", request), ("Response-Signature", "s-" + request),
                           ("Server-Load", "1,0,4")])

        do_GET = do_POST = serve

    return Handler


class _Server(ThreadingHTTPServer):
    def handle_error(self, request, client_address):
        """A connection that the node closed is no news."""


def _serve(handler, port):
    server = _Server(("127.0.0.1", port), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def start_store(store, port=0):
    return _serve(_store_handler(store), port)


def start_backend(backend, port=0):
    return _serve(_backend_handler(backend), port)

"""Stand-ins for a node's surroundings: its backend server and the store of the platform."""
import http.client
import json
import subprocess
import threading
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Store:
    """Runs standin_platform, writes operator rows to its store and sets faults on it."""

    def __init__(self, program, port):
        self.port = port
        self.process = subprocess.Popen([program, "--port", str(port)])

    def _send(self, method, path, body=""):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=5)
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def is_up(self):
        try:
            return self._send("GET", "/control/stats")[0] == 200
        except OSError:
            return False

    @staticmethod
    def _row_path(table, key):
        return "/control/row?" + urllib.parse.urlencode({"table": table, "key": key})

    def put_row(self, table, key, document):
        status, body = self._send("PUT", self._row_path(table, key), json.dumps(document))
        assert status == 200, body

    def get_row(self, table, key):
        status, body = self._send("GET", self._row_path(table, key))
        return json.loads(body) if status == 200 else None

    def set_down(self, down):
        fault = {"mode": "down" if down else "none"}
        assert self._send("PUT", "/control/fault", json.dumps(fault))[0] == 200

    def take_copy(self):
        assert self._send("PUT", "/control/copy")[0] == 200

    def restore_copy(self):
        """Loses what was written since the last copy; its versions are given out again."""
        assert self._send("PUT", "/control/restore")[0] == 200

    def stats(self):
        return json.loads(self._send("GET", "/control/stats")[1])

    def stop(self):
        self.process.terminate()
        self.process.wait(timeout=10)


class Backend:
    """State of a stand-in backend server: run counts by request id and the calling services."""

    def __init__(self, instance):
        self.instance = instance
        self.run_counts = {}
        self.expected = []
        self.callers = set()
        # Length of the answers to requests whose path ends with /long.
        self.long_answer_bytes = 0


def _reply(handler, status, body, headers=()):
    handler.send_response(status)
    for name, value in headers:
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)


def _backend_handler(backend):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *_):
            pass

        def serve(self):
            body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
            request_id = self.headers["Request-Id"]
            if self.headers["Target-Instance"] != backend.instance:
                return _reply(self, 421, b"", [("Request-Id", request_id)])
            backend.run_counts[request_id] = backend.run_counts.get(request_id, 0) + 1
            backend.callers.add(self.headers["Caller-Service"])
            is_long = self.path.endswith("/long")
            answer = b"l" * backend.long_answer_bytes if is_long else b"done " + body[:64]
            return _reply(self, 200, answer,
                          [("Request-Id", request_id), ("Response-Signature", "s-" + request_id),
                           ("Server-Load", "1,0,4")])

        do_GET = do_POST = serve

    return Handler


class _Server(ThreadingHTTPServer):
    def handle_error(self, request, client_address):
        """Ignores connections that the node closed."""


def _serve(handler, port):
    server = _Server(("127.0.0.1", port), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def start_backend(backend, port=0):
    return _serve(_backend_handler(backend), port)

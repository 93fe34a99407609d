"""Stand-ins beside a node: a backend server, and control of the stand-in platform's store."""
import http.client
import json
import subprocess
import threading
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Store:
    """Runs standin_platform; writes the operator's rows and sets faults."""

    def __init__(self, program, port):
        self.port = port
        self.process = subprocess.Popen([program, "--port", str(port)])

    def _call(self, method, path, body=""):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=5)
        try:
            connection.request(method, path, body)
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def is_up(self):
        try:
            return self._call("GET", "/control/stats")[0] == 200
        except OSError:
            return False

    @staticmethod
    def _row(table, key):
        return "/control/row?" + urllib.parse.urlencode({"table": table, "key": key})

    def put(self, table, key, document):
        status, body = self._call("PUT", self._row(table, key), json.dumps(document))
        assert status == 200, body

    def get(self, table, key):
        status, body = self._call("GET", self._row(table, key))
        return json.loads(body) if status == 200 else None

    def set_away(self, away):
        fault = {"mode": "down" if away else "none"}
        assert self._call("PUT", "/control/fault", json.dumps(fault))[0] == 200

    def stop(self):
        self.process.terminate()
        self.process.wait(timeout=10)


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


def start_backend(backend, port=0):
    return _serve(_backend_handler(backend), port)

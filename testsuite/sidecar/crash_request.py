"""Containment of a request that crashes every backend server that receives it.

Four nodes of one service receive the crash request in turn, each time with a new request id, among
ordinary requests on the same route. A backend server that gets it closes all its connections and
restarts after a delay as a new instance. Checks the number of late arrivals after the third crash,
the responses to crash requests and ordinary ones, and that nodes that restart, alone or all at
once, refuse the crash request.

usage: crash_request.py CAMPHORD STANDIN_PLATFORM [--seconds N] [--report]
"""
import argparse
import collections
import itertools
import os
import socket
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import standin
from nodes import Node, free_ports, operator_config, send_request, wait_until

NODES = 4
CRASH_REQUEST_PERIOD_S = 0.35
RESTART_DELAY_S = 0.8  # From the crash of a backend server to its restart.
ORDINARY_REQUESTS_PER_S = 30
PROCESSING_TIME_S = 0.04  # Of an ordinary request.
# Requirement: at most three arrivals at backend servers later than CONTAINMENT_S after the third
# crash (`contact_ms` of the users' rule).
CONTAINMENT_S = 3
MAX_LATE_ARRIVALS = 3
# Time for the nodes to learn of the last restarted backend server; ordinary requests must all be
# served after it.
RECOVERY_S = 2
CRASH_REQUEST = ("POST", "/a/crash", b"boom")


class CrashingBackend:
    """A backend server that crashes on CRASH_REQUEST and restarts as a new instance."""

    def __init__(self, name, crash_times):
        self.name, self.crash_times = name, crash_times
        self.run_counts = collections.Counter()
        self.incarnation = 0
        self.node = None
        self.server = None

    def start(self):
        self.incarnation += 1
        self.node.instance = f"{self.name}-{self.incarnation}"
        self.node.born, self.node.sequence = self.incarnation, 0
        server = ThreadingHTTPServer(("127.0.0.1", self.node.app_port), self.handler())
        server.daemon_threads = True
        server.handle_error = lambda request, address: None
        server.open_sockets = set()
        self.server = server
        threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()

    def handler(backend):
        instance = backend.node.instance

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def setup(self):
                super().setup()
                self.server.open_sockets.add(self.request)

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
                request_id = self.headers["Request-Id"]
                backend.run_counts[request_id] += 1
                if (self.path, body) == CRASH_REQUEST[1:]:
                    backend.crash(self.server)
                    return
                time.sleep(PROCESSING_TIME_S)
                response_body = b"done"
                try:
                    self.send_response(200)
                    self.send_header("Request-Id", request_id)
                    self.send_header("Response-Signature", "s-" + request_id)
                    self.send_header("Target-Instance", instance)
                    self.send_header("Content-Length", str(len(response_body)))
                    self.end_headers()
                    self.wfile.write(response_body)
                except OSError:
                    self.close_connection = True

        return Handler

    def crash(self, server):
        """Closes the listener and all connections at once, as a process that dies does."""
        if server is not self.server:
            return
        self.server = None
        self.crash_times.append(time.monotonic())
        server.socket.close()
        for connection in list(server.open_sockets):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Thread(target=server.shutdown, daemon=True).start()
        threading.Timer(RESTART_DELAY_S, self.restart).start()

    def restart(self):
        self.start()
        self.node.check_in()


class Mesh:
    """The nodes with their backend servers, and periodic check-ins of the latter."""

    def __init__(self, camphord, store, folder):
        self.crash_times = []
        self.backends, self.nodes = [], []
        for number in range(NODES):
            backend = CrashingBackend(f"i-{number}", self.crash_times)
            backend.node = Node(camphord, folder, f"n{number}", "s1", "", store.port,
                                backend=backend)
            backend.start()
            self.backends.append(backend)
            self.nodes.append(backend.node)
        self.stopped = False
        self.check_in_thread = threading.Thread(target=self.check_in_loop)

    def wait_ready(self):
        wait_until("the control addresses answer",
                   lambda: all(n.check_in() == 200 for n in self.nodes))
        wait_until("nodes are ready", lambda: all(n.is_ready() for n in self.nodes))
        wait_until("every node serves requests",
                   lambda: all(self.send(n, "/a/probe", b"x", f"p{next(request_numbers)}")[0] == 200
                               for n in self.nodes))

    def check_in_loop(self):
        while not self.stopped:
            for backend in self.backends:
                if backend.server is not None:
                    backend.node.check_in()
            time.sleep(0.5)

    def run_count(self, request_id):
        return sum(backend.run_counts[request_id] for backend in self.backends)

    @staticmethod
    def send(node, path, body, request_id):
        return send_request(node.outbound_port, "POST", path, body,
                            {"Host": "h.example", "Request-Id": request_id, "Deadline-Ms": "2000"})

    def stop(self):
        self.stopped = True
        if self.check_in_thread.is_alive():
            self.check_in_thread.join()
        for node in self.nodes:
            if node.process.poll() is None:
                node.kill()
            node.log_file.close()


request_numbers = itertools.count(1)


class RequestLoad:
    """Sends crashing and ordinary requests for a while and records the responses."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.crash_responses, self.ordinary_responses = [], []
        self.threads = []

    def send(self, results, node, path, body, request_id):
        sent_at = time.monotonic()
        status, _, headers = Mesh.send(node, path, body, request_id)
        results.append((sent_at, request_id, status, headers))

    def start(self, *send_arguments):
        thread = threading.Thread(target=self.send, args=send_arguments)
        thread.start()
        self.threads.append(thread)

    def run(self, duration_s):
        begin = time.monotonic()
        next_crash_at = begin + 1
        nodes = itertools.cycle(self.mesh.nodes)
        crash_request_nodes = itertools.cycle(self.mesh.nodes)
        while time.monotonic() < begin + duration_s:
            number = next(request_numbers)
            self.start(self.ordinary_responses, next(nodes), f"/a/{number}", b"x", f"o{number}")
            if time.monotonic() >= next_crash_at:
                next_crash_at += CRASH_REQUEST_PERIOD_S
                self.start(self.crash_responses, next(crash_request_nodes), CRASH_REQUEST[1],
                           CRASH_REQUEST[2], f"c{next(request_numbers)}")
            time.sleep(1 / ORDINARY_REQUESTS_PER_S)
        for thread in self.threads:
            thread.join()

    def late_crashes(self):
        crash_times = sorted(self.mesh.crash_times)
        return [at for at in crash_times
                if len(crash_times) > 2 and at > crash_times[2] + CONTAINMENT_S]

    def served_share(self, since):
        statuses = [status for at, _, status, _ in self.ordinary_responses if at >= since]
        return sum(status == 200 for status in statuses) / max(len(statuses), 1), len(statuses)

    def report(self):
        crash_times = sorted(self.mesh.crash_times)
        begin = crash_times[0] if crash_times else 0
        last_sent_at = max(at for at, *_ in self.ordinary_responses)
        print(f"crash requests {len(self.crash_responses)}, crashes {len(crash_times)}, "
              f"late crashes {len(self.late_crashes())}; crash responses by status "
              f"{dict(collections.Counter(s for _, _, s, _ in self.crash_responses))}; share of "
              f"ordinary requests served in the last 6 s "
              f"{self.served_share(last_sent_at - 6)[0]:.3f}; ordinary responses by status "
              f"{dict(collections.Counter(s for _, _, s, _ in self.ordinary_responses))}")
        print("crashes at (s)", " ".join(f"{at - begin:.2f}" for at in crash_times))


def check_responses(load):
    mesh = load.mesh
    assert len(load.late_crashes()) <= MAX_LATE_ARRIVALS, f"{len(load.late_crashes())} late crashes"
    for _, request_id, status, headers in load.crash_responses:
        if status == 503:
            assert mesh.run_count(request_id) == 0, f"{request_id} was refused as not run but ran"
            assert "Retry-After" in headers, headers
    assert load.crash_responses[-1][2] == 503, "the last crash request must be refused"
    share, count = load.served_share(max(mesh.crash_times) + RESTART_DELAY_S + RECOVERY_S)
    assert count > 0 and share == 1, f"{share} of {count} served after the last restart"


def check_refuses_crash_request(mesh, node, description):
    """Checks that a node refuses the request before any backend server gets it."""
    crash_count = len(mesh.crash_times)
    wait_until(f"{description} is ready", node.is_ready)
    wait_until(f"{description} serves ordinary requests",
               lambda: mesh.send(node, "/a/other", b"x", f"k{next(request_numbers)}")[0] == 200)
    request_id = f"c{next(request_numbers)}"
    status = mesh.send(node, CRASH_REQUEST[1], CRASH_REQUEST[2], request_id)[0]
    assert (status, mesh.run_count(request_id)) == (
        503, 0), f"{description}: {status}, runs {mesh.run_count(request_id)}"
    assert len(mesh.crash_times) == crash_count, description


def main():
    options = argparse.ArgumentParser()
    options.add_argument("camphord", type=os.path.abspath)
    options.add_argument("store", type=os.path.abspath)
    options.add_argument("--seconds", type=float, default=10)
    options.add_argument("--report", action="store_true", help="print the results without checks")
    options.add_argument("--keep", help="folder for the nodes' logs")
    options = options.parse_args()
    store = standin.Store(options.store, free_ports(1)[0])
    try:
        with tempfile.TemporaryDirectory() as folder:
            wait_until("the store is up", store.is_up)
            store.put_row("op", "config", operator_config(3, "/a/"))
            mesh = Mesh(options.camphord, store, options.keep or folder)
            try:
                mesh.wait_ready()
                mesh.check_in_thread.start()
                load = RequestLoad(mesh)
                load.run(options.seconds)
                if options.report:
                    load.report()
                    return
                check_responses(load)
                time.sleep(RECOVERY_S)
                mesh.nodes[0].kill()
                mesh.nodes[0].start()
                check_refuses_crash_request(mesh, mesh.nodes[0], "a restarted node")
                for node in mesh.nodes:
                    node.kill()
                for node in mesh.nodes:
                    node.start()
                # The requirement covers only nodes that have been running for CONTAINMENT_S.
                time.sleep(CONTAINMENT_S)
                for node in mesh.nodes:
                    check_refuses_crash_request(mesh, node, "a node after the restart of all nodes")
            except Exception:
                for node in mesh.nodes:
                    node.print_log()
                raise
            finally:
                mesh.stop()
    finally:
        store.stop()
    print("passed: the crash request was contained")


if __name__ == "__main__":
    main()

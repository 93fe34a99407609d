"""A request that ends every backend server which runs it, beside other requests on its route.

Four nodes of one service; the request comes to all of them by turns, another id each time. A backend
server that gets it closes all its connections and is back after a pause as a new instance. Checked:
late arrivals after the third end, what callers are told, what the other requests get, and that nodes
which start later, or all at once, know of it.

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
from nodes import Node, call, config, free_ports, until

NODES = 4
PAUSE_S = 0.35  # Between two requests that end backend servers.
DOWN_S = 0.8  # Until a backend server is back.
OTHERS_PER_S = 30
WORK_S = 0.04  # Of an ordinary request.
# The users' rule: three arrivals at the most that were sent later than `contact_ms` after the third end.
CONTACT_S = 3
ALLOWED_LATE = 3
# Others are served again once the last backend server is back and known.
RECOVERY_S = 2
CRASH = ("POST", "/a/crash", b"boom")


class MortalServer:
    """A backend server of one node that ends by a request and comes back as a new instance."""

    def __init__(self, name, record):
        self.name, self.record = name, record
        self.runs = collections.Counter()
        self.life = 0
        self.node = None
        self.server = None

    def start(self):
        self.life += 1
        self.node.instance = f"{self.name}-{self.life}"
        self.node.born, self.node.sequence = self.life, 0
        server = ThreadingHTTPServer(("127.0.0.1", self.node.app_port), self.handler())
        server.daemon_threads = True
        server.handle_error = lambda request, address: None
        server.open_sockets = set()
        self.server = server
        threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()

    def handler(mortal):
        instance = mortal.node.instance

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def setup(self):
                super().setup()
                self.server.open_sockets.add(self.request)

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
                request = self.headers["Request-Id"]
                mortal.runs[request] += 1
                if (self.path, body) == CRASH[1:]:
                    mortal.end(self.server)
                    return
                time.sleep(WORK_S)
                answer = b"done"
                try:
                    self.send_response(200)
                    self.send_header("Request-Id", request)
                    self.send_header("Response-Signature", "s-" + request)
                    self.send_header("Target-Instance", instance)
                    self.send_header("Content-Length", str(len(answer)))
                    self.end_headers()
                    self.wfile.write(answer)
                except OSError:
                    self.close_connection = True

        return Handler

    def end(self, server):
        """Closes the listener and all connections at once, as the end of a process does."""
        if server is not self.server:
            return
        self.server = None
        self.record.append(time.monotonic())
        server.socket.close()
        for each in list(server.open_sockets):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Thread(target=server.shutdown, daemon=True).start()
        threading.Timer(DOWN_S, self.come_back).start()

    def come_back(self):
        self.start()
        self.node.check_in()


class Mesh:
    """The nodes with their backend servers, and check-ins from time to time."""

    def __init__(self, camphord, store, folder):
        self.ends = []
        self.servers, self.nodes = [], []
        for number in range(NODES):
            server = MortalServer(f"i-{number}", self.ends)
            server.node = Node(camphord, folder, f"n{number}", "s1", "", store.port, backend=server)
            server.start()
            self.servers.append(server)
            self.nodes.append(server.node)
        self.ended = False
        self.beats = threading.Thread(target=self.beat)

    def wait_ready(self):
        until("the control addresses answer", lambda: all(n.check_in() == 200 for n in self.nodes))
        until("nodes are ready", lambda: all(n.is_ready() for n in self.nodes))
        until("every node serves",
              lambda: all(self.send(n, "/a/probe", b"x", f"p{next(ids)}")[0] == 200
                          for n in self.nodes))

    def beat(self):
        while not self.ended:
            for server in self.servers:
                if server.server is not None:
                    server.node.check_in()
            time.sleep(0.5)

    def runs(self, request):
        return sum(server.runs[request] for server in self.servers)

    @staticmethod
    def send(node, path, body, request):
        return call(node.outbound, "POST", path, body,
                    {"Host": "h.example", "Request-Id": request, "Deadline-Ms": "2000"})

    def stop(self):
        self.ended = True
        if self.beats.is_alive():
            self.beats.join()
        for node in self.nodes:
            if node.process.poll() is None:
                node.kill()
            node.log.close()


ids = itertools.count(1)


class Play:
    """Sends the crashing request and others for a while, and keeps what callers got."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.crashing, self.others = [], []
        self.threads = []

    def send(self, into, node, path, body, request):
        at = time.monotonic()
        status, _, headers = Mesh.send(node, path, body, request)
        into.append((at, request, status, headers))

    def start(self, *what):
        thread = threading.Thread(target=self.send, args=what)
        thread.start()
        self.threads.append(thread)

    def run(self, seconds):
        begin = time.monotonic()
        next_crash = begin + 1
        nodes = itertools.cycle(self.mesh.nodes)
        crash_nodes = itertools.cycle(self.mesh.nodes)
        while time.monotonic() < begin + seconds:
            number = next(ids)
            self.start(self.others, next(nodes), f"/a/{number}", b"x", f"o{number}")
            if time.monotonic() >= next_crash:
                next_crash += PAUSE_S
                self.start(self.crashing, next(crash_nodes), CRASH[1], CRASH[2], f"c{next(ids)}")
            time.sleep(1 / OTHERS_PER_S)
        for thread in self.threads:
            thread.join()

    def late_ends(self):
        ends = sorted(self.mesh.ends)
        return [at for at in ends if len(ends) > 2 and at > ends[2] + CONTACT_S]

    def served(self, since):
        late = [status for at, _, status, _ in self.others if at >= since]
        return sum(status == 200 for status in late) / max(len(late), 1), len(late)

    def report(self):
        ends = sorted(self.mesh.ends)
        begin = ends[0] if ends else 0
        last = max(at for at, *_ in self.others)
        print(f"sent {len(self.crashing)}, ended {len(ends)}, late {len(self.late_ends())}; "
              f"crashing got {dict(collections.Counter(s for _, _, s, _ in self.crashing))}; "
              f"others served in the last 6 s {self.served(last - 6)[0]:.3f}; "
              f"others got {dict(collections.Counter(s for _, _, s, _ in self.others))}")
        print("ends at", " ".join(f"{at - begin:.2f}" for at in ends))


def check_play(play):
    mesh = play.mesh
    assert len(play.late_ends()) <= ALLOWED_LATE, f"{len(play.late_ends())} late arrivals"
    for _, request, status, headers in play.crashing:
        if status == 503:
            assert mesh.runs(request) == 0, f"{request} was told 'not run' and ran"
            assert "Retry-After" in headers, headers
    assert play.crashing[-1][2] == 503, "refused at once in the end"
    share, count = play.served(max(mesh.ends) + DOWN_S + RECOVERY_S)
    assert count > 0 and share == 1, f"{share} of {count} others were served after the last end"


def check_is_known(mesh, node, what):
    """A node refuses the request before any backend server gets it."""
    ends = len(mesh.ends)
    until(f"{what} is ready", node.is_ready)
    until(f"{what} serves others",
          lambda: mesh.send(node, "/a/other", b"x", f"k{next(ids)}")[0] == 200)
    request = f"c{next(ids)}"
    status = mesh.send(node, CRASH[1], CRASH[2], request)[0]
    assert (status, mesh.runs(request)) == (503, 0), f"{what}: {status}, runs {mesh.runs(request)}"
    assert len(mesh.ends) == ends, what


def main():
    options = argparse.ArgumentParser()
    options.add_argument("camphord", type=os.path.abspath)
    options.add_argument("store", type=os.path.abspath)
    options.add_argument("--seconds", type=float, default=10)
    options.add_argument("--report", action="store_true", help="print the play, check nothing")
    options.add_argument("--keep", help="folder for the nodes' logs")
    options = options.parse_args()
    store = standin.Store(options.store, free_ports(1)[0])
    try:
        with tempfile.TemporaryDirectory() as folder:
            until("the store is up", store.is_up)
            store.put("op", "config", config(3, "/a/"))
            mesh = Mesh(options.camphord, store, options.keep or folder)
            try:
                mesh.wait_ready()
                mesh.beats.start()
                play = Play(mesh)
                play.run(options.seconds)
                if options.report:
                    play.report()
                    return
                check_play(play)
                time.sleep(RECOVERY_S)
                mesh.nodes[0].kill()
                mesh.nodes[0].start()
                check_is_known(mesh, mesh.nodes[0], "a node that starts again")
                for node in mesh.nodes:
                    node.kill()
                for node in mesh.nodes:
                    node.start()
                # The rule holds for machines that have run for so long.
                time.sleep(CONTACT_S)
                for node in mesh.nodes:
                    check_is_known(mesh, node, "a node after the end of all")
            finally:
                mesh.stop()
    finally:
        store.stop()
    print("the request was kept from the backend servers")


if __name__ == "__main__":
    main()

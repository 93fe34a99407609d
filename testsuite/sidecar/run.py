"""Two nodes on the published protocol: serve, follow a change, drain, live without the store, stop.

usage: run.py CAMPHORD STANDIN_PLATFORM
"""
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

import standin

LIMIT_S = 20  # Far beyond what any step takes; a step that fails ends the case by it.


def free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def boot_document(name, service, app_port, ports, store_port):
    inbound, outbound, ready, control, peers = ports
    address = lambda port: f"127.0.0.1:{port}"
    return {
        "self": {"node": name, "ip": "127.0.0.1", "zone": "z1", "service": service,
                 "app_address": address(app_port), "limits": {"memory_mb": 260}},
        "network": {"listen": {"inbound": address(inbound), "outbound": address(outbound),
                               "ready": address(ready), "control": address(control)},
                    "internal_port_range": [peers, peers + 1]},
        "platform": {"heartbeat_interval_ms": 500, "platform": {"address": address(store_port)}},
        "terms": {"bounds": {"drain_timeout_ms": 2000, "grace_period_s": 6}},
    }


def config(version, prefix):
    return {"version": f"r{version}",
            "routes": {"columns": ["name", "host", "prefix", "kind", "timeout_ms",
                                   "target_latency_ms", "priority", "weighted_services",
                                   "max_attempts", "service"],
                       "rows": [["r1", "h.example", prefix, "unsafe", 2000, 500, 1, None, 2, "s1"]]},
            "services": {"columns": ["name", "health_check_path", "max_connections"],
                         "rows": [["s1", "/healthz", 20]]},
            "limits": {"idle_timeout_ms": 15000}}


def call(port, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read(), dict(answer.getheaders())
    except OSError:
        return 0, b"", {}
    finally:
        connection.close()


def until(what, condition):
    end = time.monotonic() + LIMIT_S
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"did not come true: {what}")
        time.sleep(0.05)


class Node:
    def __init__(self, program, folder, name, service, instance, store_port):
        *listen, self.app_port = free_ports(5)
        # The peers' port and the next one, for metrics, must both be free.
        self.peers = next(p for p in range(20000 + os.getpid() % 20000, 60000, 2)
                          if self.both_free(p))
        Node.taken.add(self.peers)
        self.inbound, self.outbound, self.ready, self.control = listen
        self.service, self.instance, self.sequence = service, instance, 0
        self.backend = standin.Backend(instance)
        self.server = standin.start_backend(self.backend, self.app_port)
        self.path = path = os.path.join(folder, name + ".json")
        self.settings = boot_document(name, service, self.app_port, [*listen, self.peers],
                                      store_port)
        self.write_settings(json.dumps(self.settings))
        self.log = open(os.path.join(folder, name + ".log"), "w+", encoding="utf-8")
        self.process = subprocess.Popen([program, "--platform"], stdout=self.log, stderr=self.log,
                                        env={**os.environ, "CAMPHORTALLY_BOOT": path})

    def write_settings(self, text):
        """Replaces the file as a whole, so that no node reads half of it."""
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.rename(self.path + ".new", self.path)

    def events(self):
        with open(self.log.name, encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    taken = set()

    @staticmethod
    def both_free(port):
        if port in Node.taken:
            return False
        try:
            for each in (port, port + 1):
                socket.create_server(("127.0.0.1", each)).close()
            return True
        except OSError:
            return False

    def check_in(self, state="ready"):
        self.sequence += 1
        body = {"service": self.service, "address": f"127.0.0.1:{self.app_port}", "zone": "z1",
                "version": "v1", "slots": 4, "state": state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": 1}
        return call(self.control, "POST", f"/-/instances/{self.instance}/heartbeat",
                    json.dumps(body))[0]

    def send(self, path, request):
        return call(self.outbound, "POST", path, b"x",
                    {"Host": "h.example", "Request-Id": request, "Deadline-Ms": "3000"})

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(timeout=LIMIT_S)


def change_settings(node, other_store):
    """A bad file changes nothing; another limit and another store are taken over."""
    has = lambda name, **fields: any(
        e["event"] == name and all(e.get(k) == v for k, v in fields.items())
        for e in node.events())
    node.write_settings("{")
    until("a bad settings file is logged", lambda: has("node.bad_settings"))
    node.settings["terms"]["bounds"]["drain_timeout_ms"] = 2500
    node.write_settings(json.dumps(node.settings))
    until("a limit is taken over without a signal", lambda: has("node.reloaded", changed="bounds"))
    node.settings["platform"]["platform"]["address"] = f"127.0.0.1:{other_store.port}"
    node.settings["network"]["listen"]["ready"] = "127.0.0.1:1"
    node.write_settings(json.dumps(node.settings))
    node.process.send_signal(signal.SIGHUP)
    until("the store's new address is taken over at a signal",
          lambda: has("node.reloaded", changed="store", at_restart="ready"))
    for number in range(50):  # The store of the platform never falls behind what it told.
        other_store.put("filler", f"{number}", {})
    other_store.put("op", "config", config(9, "/c/"))
    until("the node follows the other store", lambda: node.send("/c/", "moved")[0] != 404)


def check(program, store, other_store, folder):
    until("the stores are up", lambda: store.is_up() and other_store.is_up())
    store_port = store.port
    one = Node(program, folder, "n1", "s0", "i-1", store_port)
    two = Node(program, folder, "n2", "s1", "i-2", store_port)
    nodes = [one, two]
    try:
        until("the control address answers", lambda: all(n.check_in() == 200 for n in nodes))
        assert one.send("/a/", "early")[0] == 503, "without a configuration nothing is served"
        store.put("op", "config", config(3, "/a/"))
        until("nodes are ready", lambda: all(call(n.ready, "GET", "/-/readyz")[0] == 200
                                             for n in nodes))
        served = []
        until("a request is served by the other node",
              lambda: served.append(one.send("/a/b", f"q{len(served)}")) or served[-1][0] == 200)
        status, body, headers = served[-1]
        assert body == b"done x" and headers["Response-Signature"].startswith("s-q"), served[-1]
        assert two.backend.callers == {"s0"}, "the service beside the first node is the caller"
        assert one.send("/b/", "unknown")[0] == 404
        store.put("op", "config", config(5, "/b/"))
        until("the change is in force", lambda: one.send("/a/", "gone")[0] == 404)
        store.put("op", "config", "no configuration")
        assert one.send("/b/", "kept")[0] == 200, "a bad row changes nothing"
        store.set_away(True)
        assert one.send("/b/", "alone")[0] == 200, "the store is not needed to serve"
        store.set_away(False)
        assert call(two.control, "POST", "/-/instances/i-2/heartbeat", "{}")[0] == 400
        assert b"camphor_requests_total" in call(one.peers + 1, "GET", "/metrics")[1]
        assert two.check_in("draining") == 200
        until("a leaving backend server gets nothing", lambda: one.send("/b/", "late")[0] == 503)
        assert max(two.backend.runs.values()) == 1, two.backend.runs
        change_settings(one, other_store)
        assert [n.stop() for n in nodes] == [0, 0], "both end in order"
        for node in nodes:
            node.log.seek(0)
            events = [json.loads(line)["event"] for line in node.log]
            assert events[0] == "node.started" and events[-1] == "node.stopped", events[-3:]
    finally:
        for node in nodes:
            if node.process.poll() is None:
                node.process.kill()
                node.process.wait()
            node.log.close()


def main():
    stores = [standin.Store(os.path.abspath(sys.argv[2]), port) for port in free_ports(2)]
    try:
        with tempfile.TemporaryDirectory() as folder:
            check(os.path.abspath(sys.argv[1]), *stores, folder)
    finally:
        for store in stores:
            store.stop()
    print("served, changed, drained and stopped")


if __name__ == "__main__":
    main()

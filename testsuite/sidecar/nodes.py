"""Real nodes on the published protocol, each beside a stand-in of a backend server."""
import http.client
import json
import os
import signal
import socket
import subprocess
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
    def __init__(self, program, folder, name, service, instance, store_port, backend=None):
        """`backend` replaces the backend server that answers everything: started by the caller."""
        *listen, self.app_port = free_ports(5)
        # The peers' port and the next one, for metrics, must both be free.
        self.peers = next(p for p in range(20000 + os.getpid() % 20000, 60000, 2)
                          if self.both_free(p))
        Node.taken.add(self.peers)
        self.inbound, self.outbound, self.ready, self.control = listen
        self.service, self.instance, self.sequence, self.born = service, instance, 0, 1
        self.backend = backend or standin.Backend(instance)
        if backend is None:
            self.server = standin.start_backend(self.backend, self.app_port)
        self.path = os.path.join(folder, name + ".json")
        self.settings = boot_document(name, service, self.app_port, [*listen, self.peers],
                                      store_port)
        self.write_settings(json.dumps(self.settings))
        self.log = open(os.path.join(folder, name + ".log"), "w+", encoding="utf-8")
        self.program = program
        self.start()

    def start(self):
        self.process = subprocess.Popen([self.program, "--platform"], stdout=self.log,
                                        stderr=self.log,
                                        env={**os.environ, "CAMPHORTALLY_BOOT": self.path})

    def kill(self):
        """SIGKILL; nothing on the way to the process is finished."""
        self.process.kill()
        self.process.wait(timeout=LIMIT_S)

    def is_ready(self):
        return call(self.ready, "GET", "/-/readyz")[0] == 200

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
                "sequence": self.sequence, "born": self.born}
        return call(self.control, "POST", f"/-/instances/{self.instance}/heartbeat",
                    json.dumps(body))[0]

    def send(self, path, request):
        return call(self.outbound, "POST", path, b"x",
                    {"Host": "h.example", "Request-Id": request, "Deadline-Ms": "3000"})

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(timeout=LIMIT_S)

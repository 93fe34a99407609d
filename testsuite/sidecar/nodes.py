"""Runs camphord nodes on the published protocol, each with a stand-in backend server."""
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import standin

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import ports  # noqa: E402

STEP_TIMEOUT_S = 20  # Well above the duration of any step, so that only a failed step reaches it.


def free_ports(count):
    """Returns `count` adjacent ports that belong to this process alone."""
    global _next_ports
    if len(_next_ports) < count:
        _next_ports = ports.reserve_block()
    taken, _next_ports = _next_ports[:count], _next_ports[count:]
    return list(taken)


_next_ports = range(0)


def boot_settings(name, service, app_port, listen_ports, store_port, zone="z1", limits=None):
    inbound_port, outbound_port, ready_port, control_port, peer_port = listen_ports
    address = lambda port: f"127.0.0.1:{port}"
    return {
        "self": {"node": name, "ip": "127.0.0.1", "zone": zone, "service": service,
                 "app_address": address(app_port), "limits": limits or {"memory_mb": 260}},
        "network": {"listen": {"inbound": address(inbound_port), "outbound": address(outbound_port),
                               "ready": address(ready_port), "control": address(control_port)},
                    "internal_port_range": [peer_port, peer_port + 1]},
        "platform": {"heartbeat_interval_ms": 500, "platform": {"address": address(store_port)}},
        "terms": {"bounds": {"drain_timeout_ms": 2000, "grace_period_s": 6}},
    }


def operator_config(version, path_prefix):
    return {"version": f"r{version}",
            "routes": {"columns": ["name", "host", "prefix", "kind", "timeout_ms",
                                   "target_latency_ms", "priority", "weighted_services",
                                   "max_attempts", "service"],
                       "rows": [["r1", "h.example", path_prefix, "unsafe", 2000, 500, 1, None, 2,
                                 "s1"]]},
            "services": {"columns": ["name", "health_check_path", "max_connections"],
                         "rows": [["s1", "/healthz", 20]]},
            "limits": {"idle_timeout_ms": 15000}}


def send_request(port, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read(), dict(response.getheaders())
    except OSError:
        return 0, b"", {}
    finally:
        connection.close()


def wait_until(description, condition):
    deadline = time.monotonic() + STEP_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out after {STEP_TIMEOUT_S} s waiting until {description}")
        time.sleep(0.05)


class Node:
    def __init__(self, program, folder, name, service, instance, store_port, backend=None,
                 zone="z1", limits=None):
        """Starts a node and its backend server.

        With `backend`, the caller starts the backend server itself, on app_port.
        """
        *listen_ports, self.app_port = free_ports(5)
        # Peers connect to the first port, the next one serves metrics.
        self.peer_port, _ = free_ports(2)
        self.inbound_port, self.outbound_port, self.ready_port, self.control_port = listen_ports
        self.service, self.instance, self.sequence, self.born = service, instance, 0, 1
        self.backend = backend or standin.Backend(instance)
        if backend is None:
            self.server = standin.start_backend(self.backend, self.app_port)
        self.settings_path = os.path.join(folder, name + ".json")
        self.settings = boot_settings(name, service, self.app_port, [*listen_ports, self.peer_port],
                                      store_port, zone, limits)
        self.write_settings(json.dumps(self.settings))
        self.log_file = open(os.path.join(folder, name + ".log"), "w+", encoding="utf-8")
        self.program = program
        self.start()

    def start(self):
        self.process = subprocess.Popen([self.program, "--platform"], stdout=self.log_file,
                                        stderr=self.log_file,
                                        env={**os.environ, "CAMPHORTALLY_BOOT": self.settings_path})

    def kill(self):
        """Sends SIGKILL, so that nothing is drained, and waits for the process to end."""
        self.process.kill()
        self.process.wait(timeout=STEP_TIMEOUT_S)

    def print_log(self):
        """Prints the end of the log, as the folder is deleted after a failed case."""
        with open(self.log_file.name, encoding="utf-8") as file:
            print(self.log_file.name, "exit", self.process.poll(), *file.readlines()[-20:],
                  sep="\n")

    def is_ready(self):
        return send_request(self.ready_port, "GET", "/-/readyz")[0] == 200

    def write_settings(self, text):
        """Replaces the file atomically, so that the node never reads a partial one."""
        with open(self.settings_path + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.rename(self.settings_path + ".new", self.settings_path)

    def log_events(self):
        with open(self.log_file.name, encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    def check_in(self, state="ready"):
        self.sequence += 1
        body = {"service": self.service, "address": f"127.0.0.1:{self.app_port}", "zone": "z1",
                "version": "v1", "slots": 4, "state": state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born}
        return send_request(self.control_port, "POST", f"/-/instances/{self.instance}/heartbeat",
                            json.dumps(body))[0]

    def send(self, path, request_id):
        return send_request(self.outbound_port, "POST", path, b"x",
                            {"Host": "h.example", "Request-Id": request_id, "Deadline-Ms": "3000"})

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(timeout=STEP_TIMEOUT_S)

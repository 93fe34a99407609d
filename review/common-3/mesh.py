"""A small deployment on loopback: camphord nodes, their upstreams and the platform's store.

Each machine has a loopback address of its own (127.x.y.n) with the same ports on all of them. The
store and the upstreams are small stand-ins on the published protocol; the nodes are the project's
program, started with the command of deploy/system.toml.
"""
import base64
import http.client
import json
import os
import pathlib
import random
import resource
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Bounds and machine limits of the small deployments (yardhands-coop and vpx-accra).
BOUNDS = {"seed_lag_s": 3, "address_reuse_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000,
          "catch_up_s": 4, "drain_timeout_ms": 2000, "grace_period_s": 6, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_extra": 58,
          "exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000, "recovery_s": 15}
MACHINE = {"cpu_share": 0.2, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0,
           "disk_mb": 0}
HEARTBEAT_S = 0.87
READY_TIMEOUT_S = 20
SLOTS = 6
SPARE_MACHINES = 6
DESCRIPTORS = 4100


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes record.txt; times are seconds since its creation."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def note(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
            self._file.flush()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 1024

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.open_sockets = set()

    def shutdown_request(self, request):
        self.open_sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Ignores connections that the other side closed."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def setup(self):
        super().setup()
        self.server.open_sockets.add(self.request)
        self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", "0")))

    def reply(self, status, body=b"", headers=()):
        out = [f"HTTP/1.1 {status} {http.client.responses.get(status, '')}",
               f"Content-Length: {len(body)}"]
        out += [f"{name}: {value}" for name, value in headers]
        self.wfile.write("\r\n".join(out).encode() + b"\r\n\r\n" + body)
        self.wfile.flush()


class Store:
    """The platform's store: rows, transactions and feeds; nothing is lost."""

    def __init__(self, host, port):
        self.address = f"{host}:{port}"
        # A second address, for machines that the store turns away while `refuses` is set.
        self.gate_address = f"{host.rsplit('.', 1)[0]}.251:{port}"
        self.refuses = False
        self._rows = {}
        self._history = []
        self._version = 0
        self._changed = threading.Condition()
        self._started = time.monotonic()
        store = self

        class Handler(_Handler):
            def is_refused(self):
                if store.refuses and self.server is store._gate:
                    self.body()
                    self.json(503, {})
                    return True
                return False

            def do_GET(self):
                if self.is_refused():
                    return None
                parts = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
                if parts.path == "/-/rows-get":
                    return self.json(200, store._get(query))
                if parts.path == "/-/rows-feed":
                    return self.json(200, store._feed(query))
                return self.json(404, {})

            def do_POST(self):
                if self.is_refused():
                    return None
                body = self.body()
                if self.path != "/-/rows-tx":
                    return self.json(404, {})
                return self.json(*store._transact(json.loads(body)))

            def json(self, status, document):
                document["now_ms"] = int((time.monotonic() - store._started) * 1000)
                self.reply(status, json.dumps(document).encode(),
                           [("Content-Type", "application/json")])

        self._server = _Server((host, port), Handler)
        self._gate = _Server((self.gate_address.split(":")[0], port), Handler)
        for server in (self._server, self._gate):
            threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()

    def _row(self, name):
        value, version = self._rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "ver": version,
                "value": base64.b64encode(value).decode()}

    def _get(self, query):
        with self._changed:
            names = sorted(name for name in self._rows if name[0] == query["table"] and
                           name[1] == query.get("part", "") and
                           name[2] >= query.get("from", "") and
                           ("target" not in query or name[2] < query["target"]))
            limit = min(int(query.get("limit") or 500) or 500, 500)
            return {"rows": [self._row(name) for name in names[:limit]],
                    "truncated": len(names) > limit, "ver": self._version}

    def _changes(self, table, after):
        newest = {}
        for version, name in self._history:
            if version > after and name[0] == table:
                newest[name] = version
        rows = []
        for name, version in sorted(newest.items(), key=lambda entry: entry[1]):
            rows.append(self._row(name) if name in self._rows else
                        {"table": name[0], "part": name[1], "key": name[2], "ver": version,
                         "tombstone": True})
        return rows

    def _feed(self, query):
        deadline = time.monotonic() + min(int(query.get("wait_ms", 0)), 30_000) / 1000
        with self._changed:
            while True:
                rows = self._changes(query["table"], int(query["after"]))
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    return {"rows": rows, "ver": self._version}
                self._changed.wait(left)

    def _transact(self, document):
        name_of = lambda row: (row["table"], row.get("part", ""), row["key"])
        with self._changed:
            expected = document.get("expect", [])
            if any(self._rows.get(name_of(row), (b"", 0))[1] != row["ver"] for row in expected):
                rows = [self._row(name_of(row)) for row in expected if name_of(row) in self._rows]
                return 412, {"rows": rows, "ver": self._version}
            entries = document.get("writes", []) + document.get("deletes", [])
            if any(row["table"] in ("op", "servers") for row in entries):
                return 403, {}
            self._version += 1
            for row in document.get("writes", []):
                self._rows[name_of(row)] = (base64.b64decode(row["value"]), self._version)
                self._history.append((self._version, name_of(row)))
            for row in document.get("deletes", []):
                self._rows.pop(name_of(row), None)
                self._history.append((self._version, name_of(row)))
            self._changed.notify_all()
            return 200, {"ver": self._version}

    def put(self, key, document, table="op"):
        """Writes a row as the operator does."""
        with self._changed:
            self._version += 1
            name = (table, "", key)
            self._rows[name] = (json.dumps(document).encode(), self._version)
            self._history.append((self._version, name))
            self._changed.notify_all()

    def get(self, key, table="op"):
        with self._changed:
            value = self._rows.get((table, "", key))
        return json.loads(value[0]) if value else None

    def close(self):
        for server in (self._server, self._gate):
            server.shutdown()
            server.server_close()


class Upstream:
    """An application upstream: runs `SLOTS` requests at a time and queues a few more."""

    def __init__(self, machine, service, name, record, work_s=0.02, on_request=None,
                 version="v1"):
        self.machine, self.service, self.id = machine, service, name
        self.version, self.work_s, self.record = version, work_s, record
        # Called with the handler and the body; returns True when it has dealt with the request.
        self.on_request = on_request
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.runs = []
        self.acks = {}
        self._lock = threading.Lock()
        self._slots = threading.Semaphore(SLOTS)
        self._queued = 0
        self._leaving = threading.Event()
        upstream = self

        class Handler(_Handler):
            def serve(self):
                body = self.body()
                name = self.headers.get("Request-Id", "")
                echo = [("Request-Id", name)]
                if self.path == "/healthz":
                    return self.reply(200, b"", [("Instance-Id", upstream.id)])
                if self.headers.get("Target-Instance", upstream.id) != upstream.id:
                    return self.reply(421, b"", echo + [("Instance-Id", upstream.id)])
                if not name:
                    return self.reply(400, b"", [("Not-Executed", "1")])
                if not upstream._enter():
                    return self.reply(503, b"full", echo + [("Not-Executed", "1")])
                try:
                    upstream.note_run(self, body)
                    if upstream.on_request and upstream.on_request(self, body):
                        return None
                    time.sleep(upstream.work_s)
                    return self.answer(b"done " + name.encode())
                finally:
                    upstream._slots.release()

            def answer(self, content, status=200, headers=()):
                name = self.headers.get("Request-Id", "")
                self.reply(status, content,
                           [("Request-Id", name), ("Response-Signature", "s." + name),
                            ("Server-Load", f"1,0,{SLOTS}"), ("Keep-Alive", "timeout=10"),
                            *headers])

            do_GET = do_POST = do_PUT = do_DELETE = serve

        self._handler = Handler
        self.crashes = []
        self._server = None
        self._listen()
        threading.Thread(target=self._beat, daemon=True).start()

    def _listen(self):
        host, port = self.machine.app_address.split(":")
        self._server = _Server((host, int(port)), self._handler)
        threading.Thread(target=self._server.serve_forever, args=(0.02,), daemon=True).start()

    def crash(self, down_s):
        """Ends as a process does that crashes, and starts again as a new boot after `down_s`."""
        with self._lock:
            server, self._server = self._server, None
            if server is None:
                return
            self.crashes.append(time.monotonic())
        self.record.note(f"crash of {self.id}")
        server.socket.close()
        for connection in list(server.open_sockets):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Thread(target=server.shutdown, daemon=True).start()
        threading.Timer(down_s, self._restart).start()

    def _restart(self):
        if self._leaving.is_set():
            return
        self.id = f"{self.id.split('+')[0]}+{len(self.crashes)}"
        self.born, self.sequence = int(time.time() * 1000), 0
        self._queued, self._slots = 0, threading.Semaphore(SLOTS)
        self._listen()
        self.record.note(f"start of {self.id}")
        self.beat()

    def _enter(self):
        with self._lock:
            if self._queued >= 4 * SLOTS:
                return False
            self._queued += 1
        self._slots.acquire()
        with self._lock:
            self._queued -= 1
        return True

    def note_run(self, handler, body):
        entry = {"at": time.monotonic(), "id": handler.headers.get("Request-Id", ""),
                 "method": handler.command, "path": handler.path, "body": body,
                 "caller": handler.headers.get("Caller-Service"), "upstream": self.id}
        with self._lock:
            self.runs.append(entry)
        self.record.note(f"run {entry['id']} {entry['method']} {entry['path']} at {self.id}")

    def beat(self, **changes):
        """Sends one check-in; returns the status of its answer, 0 without one."""
        self.sequence += 1
        body = {"service": self.service, "address": self.machine.app_address,
                "zone": self.machine.zone, "version": self.version, "slots": SLOTS,
                "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                "born": self.born, **changes}
        return self.machine.control("heartbeat", self.id, body)

    def _beat(self):
        while not self._leaving.is_set():
            if self._server is not None:
                self.beat()
            self._leaving.wait(HEARTBEAT_S)

    def stop(self):
        self._leaving.set()
        if self._server is not None:
            self._server.shutdown()
            self._server.server_close()


class Machine:
    """A machine with one node."""

    def __init__(self, deployment, name, host, zone, service, store_address=None):
        self.deployment, self.name, self.host = deployment, name, host
        self.zone, self.service = zone, service
        ports = deployment.ports
        self.inbound, self.app_port, self.ready, self.outbound, self.control_port = ports[:5]
        self.app_address = f"{host}:{self.app_port}"
        self.process = None
        self.folder = deployment.folder
        self.settings = os.path.join(self.folder, name + ".json")
        self.log = os.path.join(self.folder, name + ".log")
        address = lambda port: f"{host}:{port}"
        document = {
            "self": {"node": name, "role": "node", "machine_class": "sidecar",
                     "serves": ["sidecar"], "ip": host, "zone": zone, "region": "accra",
                     "counts_toward_tolerance": False, "bootstrap": True, "data_dir": None,
                     "limits": MACHINE, "app_address": self.app_address, "service": service},
            "network": {"listen": {"inbound": address(self.inbound),
                                   "outbound": address(self.outbound),
                                   "ready": address(self.ready),
                                   "control": address(self.control_port)},
                        "internal_port_range": [ports[5], ports[5] + 15], "seeds": [],
                        "zones": {z: "accra" for z in deployment.zones}},
            "platform": {"discovery": "static", "entry": "static",
                         "heartbeat_interval_ms": int(HEARTBEAT_S * 1000),
                         "platform": {"address": store_address or deployment.store.address,
                                      "form": "table",
                                      "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 3.0,
                                      "partition_writes_s": 300, "row_bytes": 65536,
                                      "across": True, "history_s": 20}},
            "terms": {"contracts": ["base", "drain", "config", "cost", "retry", "recover",
                                    "rollout", "platform"],
                      "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
                      "bounds": BOUNDS}}
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(document, file)

    def start(self):
        with open(ROOT / "deploy/system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["node"]["run"].split()
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log,
                                            env={"PATH": os.environ["PATH"],
                                                 "CAMPHORTALLY_BOOT": self.settings})

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def memory_mb(self, field="VmRSS"):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                for line in file:
                    if line.startswith(field + ":"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def is_ready(self):
        return self._call(self.ready, "GET", "/-/readyz") == 200

    def control(self, verb, name, body):
        return self._call(self.control_port, "POST", f"/-/instances/{name}/{verb}",
                          json.dumps(body))

    def _call(self, port, method, path, body=None):
        connection = http.client.HTTPConnection(self.host, port, timeout=1)
        try:
            connection.request(method, path, body)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def send(self, name, path="/p/x", method="GET", body=b"", timeout=5.0, host="h.example",
             deadline_ms=2000):
        """One client attempt on a new connection: (status, headers, body); status 0: no answer."""
        connection = http.client.HTTPConnection(self.host, self.outbound, timeout=timeout)
        try:
            headers = {"Host": host, "Request-Id": name, "Deadline-Ms": str(deadline_ms)}
            connection.request(method, path, body or None, headers)
            response = connection.getresponse()
            content = response.read()
            return response.status, dict(response.getheaders()), content
        except (OSError, http.client.HTTPException):
            return 0, {}, b""
        finally:
            connection.close()


class Deployment:
    """Machines in zones, each with a node; `services` names the service of each machine."""

    def __init__(self, record, services, zones=("accra-a", "accra-b", "accra-c")):
        self.record, self.zones = record, zones
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = self._temporary.name
        self.subnet = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.ports = self._free_ports(len(services) + SPARE_MACHINES)
        self.store = Store(f"{self.subnet}.250", self.ports[0])
        self.machines = []
        self.upstreams = []
        for index, service in enumerate(services):
            zone = zones[index % len(zones)]
            self.machines.append(Machine(self, f"{zone}-{index // len(zones) + 1}",
                                         f"{self.subnet}.{index + 1}", zone, service))

    def _free_ports(self, count):
        """Five ports and the first of a range of 16, free on all addresses."""
        for _ in range(50):
            base = random.randrange(20_000, 32_000, 32)
            ports = [*range(base, base + 5), base + 8]
            wanted = [*range(base, base + 5), *range(base + 8, base + 24)]
            try:
                for host in [f"{self.subnet}.{n + 1}" for n in range(count)] + \
                        [f"{self.subnet}.250", f"{self.subnet}.251"]:
                    for port in wanted:
                        with socket.socket() as probe:
                            probe.bind((host, port))
                return ports
            except OSError:
                continue
        raise CannotRun("no free ports")

    def add_machine(self, service, store_address=None):
        """A machine that joins during the day, not started yet."""
        index = len(self.machines)
        zone = self.zones[index % len(self.zones)]
        self.machines.append(Machine(self, f"{zone}-{index // len(self.zones) + 1}",
                                     f"{self.subnet}.{index + 1}", zone, service, store_address))
        return self.machines[-1]

    def add_upstreams(self, **options):
        for machine in self.machines:
            self.upstreams.append(Upstream(machine, machine.service, "i-" + machine.name,
                                           self.record, **options))

    def start(self, config):
        if not (ROOT / "target/bin/camphord").exists():
            raise CannotRun("target/bin/camphord is not built")
        for machine in self.machines:
            machine.start()
        self.store.put("config", config)
        self.wait("all nodes are ready", lambda: all(m.is_ready() for m in self.machines))

    def wait(self, what, condition, timeout=READY_TIMEOUT_S):
        deadline = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRun("timed out: " + what)
            time.sleep(0.05)

    def close(self):
        for machine in self.machines:
            if machine.is_running():
                machine.process.kill()
                machine.process.wait()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.close()
        self._temporary.cleanup()


def route(name, prefix, service, kind="safe", timeout_ms=1000, target_ms=300, attempts=2,
          priority=1, host="h.example"):
    return [name, host, prefix, kind, timeout_ms, target_ms, priority, None, attempts, service]


def config(version, routes, services, limits=None):
    """A configuration as the operator writes it."""
    return {"version": f"r{version}",
            "routes": {"columns": ["name", "host", "prefix", "kind", "timeout_ms",
                                   "target_latency_ms", "priority", "weighted_services",
                                   "max_attempts", "service"], "rows": routes},
            "services": {"columns": ["name", "health_check_path", "max_connections"],
                         "rows": [[name, "/healthz", 110] for name in services]},
            "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                                 "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def run_case(folder, check):
    """Runs check(record, trouble); it returns the violations. Exits with 0, 1 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    # The nodes inherit the limit; the machines of the site have 4,100 descriptors a process.
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = DESCRIPTORS if hard == resource.RLIM_INFINITY else min(DESCRIPTORS, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        violations = check(record, trouble)
    except Exception as error:  # noqa: BLE001: a case that breaks has not run
        record.note(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        return 2
    for line in violations:
        record.note("broken: " + line)
        print("broken: " + line)
    if not violations:
        record.note("the rule held")
        print("the rule held")
    return 1 if violations else 0

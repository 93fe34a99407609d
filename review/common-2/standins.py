"""Stand-ins of the second review: the platform's store, upstreams, clients and the operator.

Everything runs in one asyncio loop on loopback addresses. The daemons under test are separate
processes, started with the `run` command of deploy/system.toml. Each machine has its own address in
127.0.0.0/8, so that the ports are the same on all machines, as on the platform.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
INBOUND, OUTBOUND, READY, CONTROL, APP, FIRST_INTERNAL, LAST_INTERNAL = (
    8300, 8304, 8302, 8306, 8301, 7620, 7635)
HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2
BOUNDS = {"seed_lag_s": 3, "address_reuse_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000,
          "catch_up_s": 4, "drain_timeout_ms": 2000, "grace_period_s": 6, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_extra": 58,
          "exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000, "recovery_s": 15}


class CannotRun(Exception):
    """The case could not be set up; says nothing about the system."""


class Record:
    """Writes record.txt: what was sent, answered and run, with times since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text)


async def read_head(reader):
    """Reads a head. Returns the words of its first line and its fields, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return head[0].split(" ", 2), fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


async def call(host, port, method, target, body=b"", fields=None, timeout=1.0):
    """One call on a new connection. Returns status, fields and body; raises OSError and others."""
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = {"Host": f"{host}:{port}", "Content-Length": str(len(body)),
                     "Connection": "close", **(fields or {})}
            head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
            writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
            words, answer = await read_head(reader)
            return int(words[1]), answer, await read_body(reader, answer)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


CALL_ERRORS = (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError, IndexError)


class Store:
    """The platform's store: rows, transactions and the feed."""

    def __init__(self, host, port, record):
        self.host, self.port, self.record = host, port, record
        self.rows, self.version, self.changed = {}, 0, asyncio.Condition()
        self.begin = time.monotonic()
        self.tx_s = 0.004

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    def document(self, rows):
        return {"rows": rows, "ver": self.version, "truncated": False,
                "now_ms": int((time.monotonic() - self.begin) * 1000)}

    async def put(self, table, key, document):
        """A write of the operator."""
        async with self.changed:
            self.version += 1
            value = base64.b64encode(json.dumps(document).encode()).decode()
            self.rows[(table, "", key)] = (self.version, value)
            self.record.write(f"operator writes {table}/{key}: {json.dumps(document)[:300]}")
            self.changed.notify_all()

    def read(self, table, key):
        row = self.rows.get((table, "", key))
        return json.loads(base64.b64decode(row[1])) if row and row[1] is not None else None

    def rows_of(self, table, part=None, after=-1, live_only=True):
        found = []
        for (row_table, row_part, key), (version, value) in self.rows.items():
            if row_table != table or version <= after or (part is not None and row_part != part):
                continue
            row = {"table": row_table, "part": row_part, "key": key, "ver": version}
            if value is None:
                if live_only:
                    continue
                row["tombstone"] = True
            else:
                row["value"] = value
            found.append(row)
        return found

    async def transact(self, body):
        await asyncio.sleep(self.tx_s)
        document = json.loads(body)
        async with self.changed:
            current = []
            holds = True
            for row in document.get("expect", []):
                identity = (row["table"], row.get("part", ""), row["key"])
                version, value = self.rows.get(identity, (0, None))
                version = 0 if value is None else version
                holds = holds and version == row["ver"]
                if value is not None:
                    current.append({"table": identity[0], "part": identity[1], "key": identity[2],
                                    "value": value, "ver": version})
            if not holds:
                return 412, self.document(current)
            self.version += 1
            for row in document.get("writes", []):
                identity = (row["table"], row.get("part", ""), row["key"])
                self.rows[identity] = (self.version, row["value"])
                if row["table"] == "status":
                    self.record.write(f"status/{row['key']} is "
                                      f"{base64.b64decode(row['value']).decode()}")
            for row in document.get("deletes", []):
                self.rows[(row["table"], row.get("part", ""), row["key"])] = (self.version, None)
            self.changed.notify_all()
            return 200, self.document([])

    async def answer(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in
                 urllib.parse.parse_qs(parts.query, keep_blank_values=True).items()}
        if method == "POST" and parts.path == "/-/rows-tx":
            return await self.transact(body)
        if parts.path == "/-/rows-get":
            await asyncio.sleep(self.tx_s)
            rows = sorted(self.rows_of(query["table"], query.get("part", "")),
                          key=lambda row: row["key"])
            begin = query.get("from", "")
            return 200, self.document([row for row in rows if row["key"] >= begin])
        if parts.path == "/-/rows-feed":
            after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000
            until = time.monotonic() + wait_s
            async with self.changed:
                while True:
                    rows = self.rows_of(query["table"], after=after, live_only=False)
                    left = until - time.monotonic()
                    if rows or left <= 0:
                        rows.sort(key=lambda row: row["ver"])
                        return 200, self.document(rows)
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while True:
                (method, target, _), fields = await read_head(reader)
                status, document = await self.answer(method, target, await read_body(reader, fields))
                text = json.dumps(document).encode()
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (*CALL_ERRORS, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Upstream:
    """An upstream: runs `slots` requests at a time, queues a few more and drops a request when its
    connection closes. `work` is a coroutine that returns status, fields and body of an answer."""

    def __init__(self, machine, instance, service, version="v1", slots=6, queue=24, work=None):
        self.machine, self.instance, self.service, self.version = machine, instance, service, version
        self.slots, self.queue, self.work = slots, queue, work
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.running, self.waiting = 0, 0
        self.free = asyncio.Semaphore(slots)
        self.arrivals = []
        self.acknowledged_at = None
        self.stopped = False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.machine.host, APP)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while not self.stopped:
            await self.check_in()
            await asyncio.sleep(0.87)

    async def check_in(self):
        """Sends a check-in to the node beside it. Returns whether it was acknowledged."""
        self.sequence += 1
        document = {"service": self.service, "address": f"{self.machine.host}:{APP}",
                    "zone": self.machine.zone, "version": self.version, "slots": self.slots,
                    "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                    "born": self.born}
        try:
            status, _, _ = await call(self.machine.host, CONTROL, "POST",
                                      f"/-/instances/{self.instance}/heartbeat",
                                      json.dumps(document).encode(),
                                      {"Content-Type": "application/json"})
        except CALL_ERRORS:
            return False
        if status == 200 and self.state == "draining" and self.acknowledged_at is None:
            self.acknowledged_at = self.machine.mesh.record.now()
            self.machine.mesh.record.write(f"the leaving of {self.instance} is acknowledged")
        return status == 200

    async def drain(self):
        self.state = "draining"
        await self.check_in()

    async def leave(self):
        self.stopped = True
        self.beats.cancel()
        document = json.dumps({"born": self.born}).encode()
        try:
            await call(self.machine.host, CONTROL, "POST",
                       f"/-/instances/{self.instance}/deregister", document,
                       {"Content-Type": "application/json"})
        except CALL_ERRORS:
            pass
        self.server.close()
        self.close_connections()

    def close_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                (method, target, _), fields = await read_head(reader)
                body = await read_body(reader, fields)
                await self.handle(method, target, fields, body, reader, writer)
        except (*CALL_ERRORS, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, fields, body, reader, writer):
        mesh = self.machine.mesh
        request_id = fields.get("request-id", "")
        arrival = {"at": mesh.record.now(), "id": request_id, "upstream": self, "target": target,
                   "method": method, "fields": fields, "status": None, "end": None, "ran": False}
        if fields.get("target-instance") not in (None, self.instance):
            return await self.answer(writer, 421, {"Instance-Id": self.instance}, b"", request_id)
        self.arrivals.append(arrival)
        mesh.record.write(f"{request_id} reaches {self.instance}")
        if self.running >= self.slots and self.waiting >= self.queue:
            arrival["status"] = 503
            return await self.answer(writer, 503, {"Not-Executed": "1"}, b"", request_id)
        gone = asyncio.create_task(reader.read(1))
        run = asyncio.create_task(self.run(method, target, fields, body, arrival))
        await asyncio.wait({gone, run}, return_when=asyncio.FIRST_COMPLETED)
        if not run.done():
            run.cancel()
            try:
                await run
            except asyncio.CancelledError:
                pass
            arrival["end"] = mesh.record.now()
            mesh.record.write(f"{request_id} at {self.instance} is broken off by its connection")
            raise ConnectionResetError
        status, more, text = run.result()
        arrival["status"], arrival["end"] = status, mesh.record.now()
        gone.cancel()
        try:
            if await gone:
                raise ValueError("a second request on a busy connection")
        except asyncio.CancelledError:
            pass
        await self.answer(writer, status, more, text, request_id)
        mesh.record.write(f"{request_id} is answered by {self.instance} with {status}")

    async def run(self, method, target, fields, body, arrival):
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            arrival["ran"] = True
            return await self.work(self, method, target, fields, body)
        finally:
            self.running -= 1
            self.free.release()

    async def answer(self, writer, status, more, body, request_id):
        lines = {"Request-Id": request_id, "Server-Load": self.load(),
                 "Content-Length": str(len(body)), **more}
        head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        writer.write(f"HTTP/1.1 {status} -\r\n{head}\r\n".encode() + body)
        await writer.drain()


def served(upstream, request_fields, body=b"done", status=200):
    """A signed answer, as an upstream gives it."""
    return status, {"Response-Signature": f"{upstream.instance}."
                    f"{request_fields.get('request-id', '')}.{len(body)}"}, body


class Machine:
    """A sidecar machine: its node, a separate process, and the settings of it."""

    def __init__(self, mesh, number, name, zone, service):
        self.mesh, self.name, self.zone, self.service = mesh, name, zone, service
        self.host = f"{mesh.network}.{number}"
        self.process = None
        self.log = open(os.path.join(mesh.folder, name + ".log"), "ab")
        self.path = os.path.join(mesh.folder, name + ".json")

    def settings(self):
        address = lambda port: f"{self.host}:{port}"
        zones = {machine.zone: "area" for machine in self.mesh.machines}
        return {
            "self": {"node": self.name, "role": "node", "machine_class": "sidecar",
                     "serves": ["sidecar"], "ip": self.host, "zone": self.zone, "region": "area",
                     "counts_toward_tolerance": False, "bootstrap": True, "data_dir": None,
                     "limits": {"cpu_share": 0.2, "cores": 1, "memory_mb": 260, "max_fds": 4100,
                                "link_mbps": 1000.0, "disk_mb": 0},
                     "app_address": address(APP), "service": self.service},
            "network": {"listen": {"inbound": address(INBOUND), "outbound": address(OUTBOUND),
                                   "ready": address(READY), "control": address(CONTROL)},
                        "internal_port_range": [FIRST_INTERNAL, LAST_INTERNAL], "seeds": [],
                        "zones": zones},
            "platform": {"discovery": "static", "entry": "static", "heartbeat_interval_ms": 870,
                         "platform": {"address": f"{self.mesh.store.host}:{self.mesh.store.port}",
                                      "form": "table", "writes_per_s": 400, "reads_per_s": 2000,
                                      "tx_ms": 3.0, "partition_writes_s": 300, "row_bytes": 65536,
                                      "across": True, "history_s": 20, "blob_bytes": 8388608,
                                      "blob_ms": 25.0, "blob_mb_s": 80.0}},
            "terms": {"contracts": ["base", "drain", "config", "cost", "retry", "recover",
                                    "rollout", "platform"],
                      "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
                      "bounds": BOUNDS},
        }

    async def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings(), file)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CAMPHORTALLY_BOOT"] = self.path
        self.process = await asyncio.create_subprocess_exec(
            *self.mesh.command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.mesh.record.write(f"{self.name} starts on {self.host}, process {self.process.pid}")

    def signal(self, number):
        self.mesh.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            return (await call(self.host, READY, "GET", "/-/readyz"))[0] == 200
        except CALL_ERRORS:
            return False

    def log_lines(self, event):
        with open(self.log.name, encoding="utf-8") as file:
            return [json.loads(line) for line in file if f'"{event}"' in line]


class Mesh:
    """All machines of a case, the store, and the operator's configuration."""

    def __init__(self, record):
        self.record = record
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["node"]["run"].split()
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun(f"{self.command[0]} is not built")
        self.directory = tempfile.TemporaryDirectory(prefix="camphor-review-")
        self.folder = self.directory.name
        self.network = self.free_network()
        self.machines = []
        self.upstreams = []
        self.store = Store(f"{self.network}.250", 8309, record)

    @staticmethod
    def free_network():
        for _ in range(50):
            network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for port in (APP, OUTBOUND, FIRST_INTERNAL, 8309):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.1", port))
                return network
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def add(self, name, zone, service):
        machine = Machine(self, len(self.machines) + 1, name, zone, service)
        self.machines.append(machine)
        return machine

    async def add_upstream(self, machine, instance, **options):
        upstream = Upstream(machine, instance, machine.service, **options)
        await upstream.start()
        self.upstreams.append(upstream)
        return upstream

    async def configure(self, version, routes, services, limits=None):
        """`routes`: lists of name, host, prefix, kind, timeout, objective, priority, attempts and
        service."""
        columns = ["name", "host", "prefix", "kind", "timeout_ms", "target_latency_ms", "priority",
                   "max_attempts", "service"]
        await self.store.put("op", "config", {
            "version": f"r{version}", "routes": {"columns": columns, "rows": routes},
            "services": {"columns": ["name", "health_check_path", "max_connections", "protocol",
                                     "tls"],
                         "rows": [[name, "/healthz", 110, "h1", False] for name in services]},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000, **(limits or {})}})

    async def start(self, machines=None):
        for machine in machines or self.machines:
            await machine.start()
        await self.wait_ready(machines or self.machines)

    async def wait_ready(self, machines, limit_s=15):
        until = time.monotonic() + limit_s
        for machine in machines:
            while not await machine.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(f"{machine.name} does not become ready")
                await asyncio.sleep(0.05)

    def arrivals(self, request_id=None):
        return [arrival for upstream in self.upstreams for arrival in upstream.arrivals
                if request_id is None or arrival["id"] == request_id]

    async def stop(self):
        for upstream in self.upstreams:
            upstream.stopped = True
            upstream.beats.cancel()
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
            machine.log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for machine in self.machines:
                with open(machine.log.name, "rb") as source, open(
                        os.path.join(keep, machine.name + ".log"), "wb") as target:
                    target.write(source.read())
        self.directory.cleanup()


def request_text(method, host, path, request_id, deadline_ms, body=b"", fields=""):
    length = f"Content-Length: {len(body)}\r\n" if body or method != "GET" else ""
    return (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n{length}{fields}\r\n").encode() + body


def run_case(case, folder):
    """Runs `case(record, trouble)`, which returns whether the rule was broken, and exits."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 118))
        record.say("BROKEN" if broken else "HELD")
        code = BROKEN if broken else HOLDS
    except Exception as error:  # Whatever keeps the case from running.
        record.say(f"the case could not run: {type(error).__name__}: {error}")
        code = CANNOT_RUN
    record.file.close()
    sys.exit(code)

"""Starts and stops a whole mesh on loopback: platform stand-in, nodes, backend servers.

A deployment is a folder with mesh.json and resources.json. Mesh stops every process that it
started, by process id, also when the caller fails or is interrupted.
"""
import http.client as http_client
import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
PORTS_PER_NODE = 3
# The platform listens on the first port of a mesh; the offsets of the other listeners follow.
NODE_PORT_OFFSET = 1
BACKEND_PORT_OFFSET = 50
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0


class Node:
    """Name, location, ports and, once started, the process of one camphord."""

    def __init__(self, name, zone, region, service, first_port):
        self.name, self.zone, self.region, self.service = name, zone, region, service
        self.call_port, self.peer_port, self.admin_port = range(first_port, first_port + 3)
        self.process = None

    def admin_address(self):
        return f"{HOST}:{self.admin_port}"


class Mesh:
    """The processes of a deployment. A context manager: stops all of them on exit."""

    def __init__(self, build_dir, deployment_dir, out_dir, first_port):
        self.bin_dir = pathlib.Path(build_dir).resolve() / "bin"
        folder = pathlib.Path(deployment_dir)
        self.deployment = json.loads((folder / "mesh.json").read_text())
        self.resources = folder / "resources.json"
        self.out_dir = pathlib.Path(out_dir)
        self.out_dir.mkdir(parents=True, exist_ok=True)
        self.platform_port = first_port
        self.next_backend_port = first_port + BACKEND_PORT_OFFSET
        self.processes = []
        self.backends = []
        self.nodes = self._allocate_nodes(first_port + NODE_PORT_OFFSET)

    def _allocate_nodes(self, port):
        nodes = []
        for service in self.deployment["services"]:
            for zone in self.deployment["zones"]:
                name = f"{service['name']}-{zone}"
                nodes.append(Node(name, zone, self.deployment["region"], service, port))
                port += PORTS_PER_NODE
        return nodes

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_all()

    def spawn(self, name, *arguments):
        """Starts bin/NAME, stdout to out_dir/NNN-NAME.out and stderr to out_dir/NNN-NAME.log."""
        label = f"{len(self.processes):03d}-{name}"
        with open(self.out_dir / f"{label}.out", "wb") as stdout_file, open(
                self.out_dir / f"{label}.log", "wb") as stderr_file:
            process = subprocess.Popen([self.bin_dir / name, *map(str, arguments)],
                                       stdout=stdout_file, stderr=stderr_file,
                                       start_new_session=True)
        process.log_file = self.out_dir / f"{label}.log"
        process.label = label
        self.processes.append(process)
        return process

    def start_platform(self, seed=1):
        self.platform = self.spawn("standin_platform", "--host", HOST, "--port", self.platform_port,
                                   "--seed", seed)
        self.wait_http_ready(f"{HOST}:{self.platform_port}", "/control/stats")

    def node_settings(self, node):
        seeds = [{"node": n.name, "zone": n.zone, "host": HOST, "peer_port": n.peer_port}
                 for n in self.nodes if n is not node]
        return {
            "mesh": self.deployment["mesh"], "node": node.name, "zone": node.zone,
            "region": node.region,
            "listen": {"host": HOST, "call_port": node.call_port, "peer_port": node.peer_port,
                       "admin_port": node.admin_port},
            "platform": {"host": HOST, "port": self.platform_port},
            "seeds": seeds, "drain_grace_ms": 10000,
        }

    def start_node(self, node):
        path = self.out_dir / f"{node.name}.json"
        path.write_text(json.dumps(self.node_settings(node), indent=2))
        node.process = self.spawn("camphord", "--config", path)

    def start_nodes(self):
        for node in self.nodes:
            self.start_node(node)
        for node in self.nodes:
            self.wait_http_ready(node.admin_address(), "/healthz")

    def start_backend(self, node, release, *extra):
        port = self.next_backend_port
        self.next_backend_port += 1
        name = f"{node.name}-{release}"
        backend = self.spawn("standin_backend", "--host", HOST, "--port", port, "--service",
                             node.service["name"], "--release", release, "--slots",
                             node.service["slots"], "--announce", node.admin_address(), "--name",
                             name, *extra)
        backend.port, backend.node, backend.release = port, node, release
        self.backends.append(backend)
        return backend

    def start(self, release="r1"):
        """Starts the platform, the nodes and a backend server for each, and applies the resources.

        Returns when the configuration is in force on every node.
        """
        self.start_platform()
        self.start_nodes()
        self.start_backends(release)
        # Resources are applied after membership is complete, so that start-up time does not count
        # as convergence time.
        self.wait_backends(len(self.backends))
        self.camphorctl("apply", "-f", self.resources)
        self.wait_config_version(self.config_version(self.nodes[0]))

    def config_version(self, node):
        """Returns the config_version that a node reports, or -1 when it does not answer."""
        services = request_json("GET", node.admin_address(), "/v1/services")
        return services["config_version"] if services else -1

    def wait_config_version(self, version, nodes=None, timeout_s=START_TIMEOUT_S):
        """Waits until each node of `nodes` (default: all) reports `version` or a newer one."""
        selected_nodes = nodes or self.nodes
        wait_until(lambda: all(self.config_version(n) >= version for n in selected_nodes),
                   timeout_s,
                   f"configuration version {version} on {[n.name for n in selected_nodes]}")

    def wait_backends(self, count, timeout_s=START_TIMEOUT_S):
        """Waits until every node lists `count` backend servers in total."""
        def all_listed():
            for node in self.nodes:
                items = (request_json("GET", node.admin_address(), "/v1/nodes")
                         or {}).get("items", [])
                if sum(len(item["backends"]) for item in items) != count:
                    return False
            return True
        wait_until(all_listed, timeout_s, f"{count} backend servers on every node")

    def put_resource(self, node, kind, name, spec, **headers):
        """Puts one resource and returns (status, body); status is 0 when there was no response."""
        return send_request("PUT", node.admin_address(), f"/v1/{kind}s/{name}", {"spec": spec},
                            headers)

    def start_load(self, call_kinds, calls_per_s, duration_s, *extra, targets=None):
        """Starts `camphorload run` against `targets` (default: all nodes) at `calls_per_s`.

        The call history and the report are written to the output folder.
        """
        path = self.out_dir / "scenario.json"
        path.write_text(json.dumps({"kinds": call_kinds}))
        addresses = ",".join(f"{HOST}:{n.call_port}" for n in targets or self.nodes)
        return self.spawn("camphorload", "run", "--targets", addresses, "--rate", calls_per_s,
                          "--seconds", duration_s, "--scenario", path,
                          "--history", self.out_dir / "history.jsonl",
                          "--report", self.out_dir / "load.json", "--quiet", *extra)

    def collect_records(self):
        """Saves the audit trail and the backend servers' executions; returns the trail."""
        audit, since_version = [], 0
        while items := (request_json("GET", self.nodes[0].admin_address(),
                                     f"/v1/audit?since={since_version}") or {}).get("items"):
            audit += items
            since_version = items[-1]["version"]
        (self.out_dir / "audit.jsonl").write_text("".join(json.dumps(i) + "\n" for i in audit))
        for backend in self.backends:
            self.collect_executions(backend)
        return audit

    def collect_executions(self, backend):
        executions = request_json("GET", f"{HOST}:{backend.port}", "/control/executions")
        if executions is None:
            return
        text = executions if isinstance(executions, str) else json.dumps(executions) + "\n"
        (self.out_dir / f"executions-{backend.label}.jsonl").write_text(text)

    def check_history(self):
        """Runs `camphorload check` over the collected files; returns (exit code, report)."""
        arguments = ["check", "--history", self.out_dir / "history.jsonl", "--report",
                     self.out_dir / "check.json"]
        for file in sorted(self.out_dir.glob("executions-*.jsonl")):
            arguments += ["--executions", file]
        for file in sorted(self.out_dir.glob("*-camphord.log")):
            arguments += ["--nodes", file]
        if (self.out_dir / "audit.jsonl").exists():
            arguments += ["--audit", self.out_dir / "audit.jsonl"]
        checker = self.spawn("camphorload", *arguments)
        checker.wait(60)
        report = self.out_dir / "check.json"
        return checker.returncode, json.loads(report.read_text()) if report.exists() else {}

    def start_backends(self, release, service=None, *extra):
        selected_nodes = [n for n in self.nodes if service in (None, n.service["name"])]
        return [self.start_backend(node, release, *extra) for node in selected_nodes]

    def camphorctl(self, *arguments, node=None, check=True):
        """Runs camphorctl against `node` (default: the first) and returns the completed process.

        Raises RuntimeError when `check` is set and the exit code is not 0.
        """
        target = (node or self.nodes[0]).admin_address()
        completed = subprocess.run([self.bin_dir / "camphorctl", "--node", target,
                                    *map(str, arguments)],
                                   capture_output=True, text=True, timeout=60)
        if check and completed.returncode != 0:
            raise RuntimeError(f"camphorctl {' '.join(map(str, arguments))}: exit "
                               f"{completed.returncode}: {completed.stderr.strip()}")
        return completed

    def set_platform_fault(self, **fault):
        request_json("PUT", f"{HOST}:{self.platform_port}", "/control/fault", fault)

    def take_store_copy(self):
        self._control_platform("/control/copy")

    def restore_store_copy(self):
        """Loses what was written since the last copy; its versions are given out again."""
        self._control_platform("/control/restore")

    def _control_platform(self, path):
        if request_json("PUT", f"{HOST}:{self.platform_port}", path) is None:
            raise RuntimeError(f"the platform did not accept {path}")

    def wait_http_ready(self, address, path, timeout_s=START_TIMEOUT_S):
        wait_until(lambda: request_json("GET", address, path) is not None, timeout_s,
                   f"a response from {address}{path}")

    def failed_processes(self):
        """Returns the labels of processes that exited with a non-zero status or by a signal."""
        return [p.label for p in self.processes if p.poll() not in (None, 0)]

    def stop(self, processes, timeout_s=STOP_TIMEOUT_S):
        """Sends SIGTERM, and SIGKILL to processes that still run after `timeout_s`.

        Returns one text for each process that did not exit with status 0 in time.
        """
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        unclean = []
        deadline = time.monotonic() + timeout_s
        for process in processes:
            try:
                if process.wait(max(0.1, deadline - time.monotonic())) != 0:
                    unclean.append(f"{process.label} exit {process.returncode}")
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                unclean.append(f"{process.label} killed")
        return unclean

    def stop_all(self):
        running = [p for p in self.processes if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
        return self.stop(running[::-1])


def send_request(method, address, path, body=None, headers=None):
    """Sends one HTTP request and returns (status, body); status is 0 when there was no response."""
    data = json.dumps(body).encode() if body is not None else None
    http_request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method,
        headers={"Content-Type": "application/json", **(headers or {})})
    try:
        with urllib.request.urlopen(http_request, timeout=8) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except (OSError, http_client.HTTPException):
        return 0, ""


def request_json(method, address, path, body=None):
    """Returns the decoded JSON body, or the plain text when it is not JSON.

    Returns None when the status is not 200 or there was no response.
    """
    status, text = send_request(method, address, path, body)
    if status != 200:
        return None
    try:
        return json.loads(text)
    except ValueError:
        return text


def wait_until(condition, timeout_s, description):
    """Polls every 50 ms until `condition()` is true.

    Raises TimeoutError naming `description` after `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out after {timeout_s:.0f} s waiting for {description}")
        time.sleep(0.05)


def node_metrics(node):
    """Returns a node's metrics by name; empty when the node does not answer."""
    text = request_json("GET", node.admin_address(), "/metrics")
    lines = [line.rsplit(" ", 1) for line in (text or "").splitlines() if not line.startswith("#")]
    return {name: float(value) for name, value in lines}


def read_json_lines(path):
    """Returns the decoded JSON lines of a log file, without lines that are not JSON."""
    records = []
    for line in open(path, encoding="utf-8", errors="replace"):
        try:
            records.append(json.loads(line))
        except ValueError:
            pass
    return records


def exit_on_sigterm():
    """Turns SIGTERM into SystemExit, so that context managers stop the processes they started."""
    def raise_exit(*_):
        raise SystemExit(128 + signal.SIGTERM)
    signal.signal(signal.SIGTERM, raise_exit)
    os.environ.setdefault("PYTHONUNBUFFERED", "1")

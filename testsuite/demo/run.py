"""Runs a whole mesh on loopback and reports convergence, traffic, call results and moves.

The run has a constant call rate, periodic configuration changes, a move to a good and one to a
failing release, and a platform outage of 10 s in the middle. Exit 0 when every check passed, 1 when
one failed.
"""
import argparse
import datetime
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import mesh as mesh_lib  # noqa: E402
import ports  # noqa: E402
import report as report_lib  # noqa: E402

LOAD_DURATION_S = 66
OUTAGE_DURATION_S = 10
OUTAGE_START_S = 26
MOVE_DEADLINE_S = 54
CHANGE_PERIOD_S = 0.5
CALLS_PER_S = 300
FAILING_RELEASE_ERROR_RATIO = 0.3
SETTLE_TIME_S = 3


def log(text):
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


def call_kinds(deployment):
    """Returns the call mix over the services; the first one gets the most calls."""
    kinds = []
    for service in deployment["services"]:
        name = service["name"]
        is_first = service is deployment["services"][0]
        kinds.append({"name": f"{name} read", "weight": 12 if is_first else 4,
                      "path": f"/{name}/items", "expected_bytes": 1024})
        if service.get("keyed"):
            kinds.append({"name": f"{name} write", "weight": 1, "method": "POST",
                          "path": f"/{name}/orders", "keyed": True, "body_bytes": 256,
                          "expected_bytes": 128})
    return kinds


def move_resource(name, service):
    deadline = datetime.datetime.now(datetime.timezone.utc) + datetime.timedelta(
        seconds=MOVE_DEADLINE_S)
    return {"kind": "move", "name": name,
            "spec": {"service": service, "from_release": "r1", "to_release": "r2",
                     "deadline": deadline.strftime("%Y-%m-%dT%H:%M:%SZ"), "soak_ms": 3000}}


class Demo:
    """One demo run: drives load, changes, moves and an outage, and collects the results."""

    def __init__(self, mesh, name):
        self.mesh, self.name = mesh, name
        self.problems = []
        self.moves = {}
        services = mesh.deployment["services"]
        self.good_service, self.failing_service = services[0]["name"], services[1]["name"]
        self.change_count = 0

    def start(self):
        log("starting the stand-in platform and "
            f"{len(self.mesh.nodes)} nodes, each with a backend server; applying resources")
        self.mesh.start()

    def start_load(self):
        self.load = self.mesh.start_load(call_kinds(self.mesh.deployment), CALLS_PER_S,
                                         LOAD_DURATION_S, "--resend", 1)
        self.load_started_s = time.monotonic()

    def load_elapsed_s(self):
        return time.monotonic() - self.load_started_s

    def start_moves(self):
        log(f"starting release r2 of {self.good_service} (good) and {self.failing_service} "
            f"(fails {FAILING_RELEASE_ERROR_RATIO:.0%} of its calls)")
        self.mesh.start_backends("r2", self.good_service)
        failing_backends = self.mesh.start_backends("r2", self.failing_service)
        self.mesh.wait_backends(len(self.mesh.backends))
        for backend in failing_backends:
            mesh_lib.request_json("PUT", f"{mesh_lib.HOST}:{backend.port}", "/control/fault",
                                  {"release": "r2", "error_ratio": FAILING_RELEASE_ERROR_RATIO})
        for name, service in (("good", self.good_service), ("bad", self.failing_service)):
            path = self.mesh.out_dir / f"move-{name}.json"
            path.write_text(json.dumps(move_resource(name, service)))
            self.mesh.camphorctl("apply", "-f", path)
            self.moves[name] = {"name": name, "started": time.monotonic(), "phase": "accepted"}

    def change_route_timeout(self):
        """Changes the timeout of one route; nodes and routes take turns.

        The write is refused during the outage.
        """
        self.change_count += 1
        node = self.mesh.nodes[self.change_count % len(self.mesh.nodes)]
        routes = mesh_lib.request_json("GET", node.admin_address(), "/v1/routes") or {"items": []}
        if not routes["items"]:
            return
        route = routes["items"][self.change_count % len(routes["items"])]
        spec = dict(route["spec"], timeout_ms=2000 + self.change_count)
        mesh_lib.request_json("PUT", node.admin_address(), f"/v1/routes/{route['name']}",
                              {"spec": spec})

    def poll_moves(self):
        for item in (mesh_lib.request_json("GET", self.mesh.nodes[0].admin_address(), "/v1/moves")
                     or {"items": []})["items"]:
            move = self.moves[item["name"]]
            status = item["status"]
            if move["phase"] != status["phase"]:
                log(f"move {item['name']}: {status['phase']}, share "
                    f"{status['share_permille'] / 10:g} % {status['reason']}")
            if status["phase"] != move["phase"]:
                move["seconds"] = time.monotonic() - move["started"]
            move.update(phase=status["phase"], reason=status["reason"])

    def run_scenario(self):
        """Starts changes, moves and the outage at their times until the load ends."""
        self.metrics_before = {n.name: mesh_lib.node_metrics(n) for n in self.mesh.nodes}
        self.measurement_started_s = time.monotonic()
        outage_done = moves_started = False
        next_change_s = 0.0
        while self.load.poll() is None:
            if not moves_started and self.load_elapsed_s() > 3:
                self.start_moves()
                moves_started = True
            if not outage_done and self.load_elapsed_s() > OUTAGE_START_S:
                log(f"the platform is down for {OUTAGE_DURATION_S} s")
                self.mesh.set_platform_fault(mode="down", for_ms=OUTAGE_DURATION_S * 1000)
                outage_done = True
            if self.load_elapsed_s() >= next_change_s:
                self.change_route_timeout()
                next_change_s = self.load_elapsed_s() + CHANGE_PERIOD_S
            self.poll_moves()
            time.sleep(0.1)
        time.sleep(SETTLE_TIME_S)
        self.poll_moves()
        self.duration_s = time.monotonic() - self.measurement_started_s
        self.metrics_after = {n.name: mesh_lib.node_metrics(n) for n in self.mesh.nodes}

    def collect(self):
        """Collects what is available only while the processes run: audit trail and executions."""
        self.audit = self.mesh.collect_records()
        if failed := self.mesh.failed_processes():
            self.problems.append("processes failed during the run: " + ", ".join(failed))

    def report(self, bad_exits):
        logs = {n.name: mesh_lib.read_json_lines(n.process.log_file) for n in self.mesh.nodes}
        delays_ms, not_applied = report_lib.convergence_ms(self.audit, logs)
        load = json.loads((self.mesh.out_dir / "load.json").read_text())
        check_exit_code, check_report = self.mesh.check_history()
        result = {
            "mesh": self.name, "nodes": len(self.mesh.nodes), "seconds": self.duration_s,
            "outage_s": OUTAGE_DURATION_S, "convergence_ms": report_lib.summary_ms(delays_ms),
            "changes_not_in_force": not_applied,
            "control_bytes_per_node_per_s":
                report_lib.control_bytes_per_s(self.metrics_before, self.metrics_after,
                                               self.duration_s),
            "backward_steps": report_lib.backward_steps(logs),
            "calls": load["all"]["results"],
            "latency_ms": {k: round(load["all"]["latency_ms"][k], 2) for k in ("p50", "p99")},
            "duplicates": check_report.get("counts", {}).get("duplicate_execution", 0),
            "history_check": {0: "clean", 1: "violations, see check.json"}.get(
                check_exit_code, "failed"),
            "moves": [{k: m.get(k) for k in ("name", "phase", "seconds", "reason")}
                      for m in self.moves.values()],
            "bad_exits": bad_exits,
        }
        self.append_failed_checks(result, check_exit_code)
        result["problems"] = self.problems
        return result

    def append_failed_checks(self, result, check_exit_code):
        expected = {"good": "completed", "bad": "reverted"}
        unexpected_moves = [m for m in result["moves"] if m["phase"] != expected[m["name"]]]
        checks = [
            (not result["changes_not_in_force"], "a change is not in force everywhere"),
            (not result["backward_steps"], "a node went back to an older version"),
            (not result["duplicates"], "a non-idempotent call ran twice"),
            (check_exit_code == 0, "the history checker found violations or failed"),
            (not unexpected_moves,
             f"unexpected outcome of moves: {[m['name'] for m in unexpected_moves]}"),
            (not result["bad_exits"], "a process did not stop cleanly"),
        ]
        self.problems += [text for passed, text in checks if not passed]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--mesh", default="bluebonnet", choices=["bluebonnet", "volta"])
    parser.add_argument("--out", default="demo-out")
    parser.add_argument("--report", default="demo-report.json")
    options = parser.parse_args()
    mesh_lib.exit_on_sigterm()
    with mesh_lib.Mesh(options.build, mesh_lib.ROOT / "examples" / options.mesh,
                       options.out, ports.reserve_block()[0]) as mesh:
        demo = Demo(mesh, options.mesh)
        demo.start()
        log(f"{CALLS_PER_S} calls/s for {LOAD_DURATION_S} s")
        demo.start_load()
        demo.run_scenario()
        demo.collect()
        log("stopping all processes")
        bad_exits = mesh.stop_all()
        report = demo.report(bad_exits)
    pathlib.Path(options.report).write_text(json.dumps(report, indent=2) + "\n")
    print(report_lib.render(report))
    return 1 if report["problems"] else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        print("interrupted; all started processes are stopped", file=sys.stderr)
        sys.exit(130)

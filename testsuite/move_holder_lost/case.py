"""A move has one outcome, the same on every node, although two of its lease holders fail.

The first holder is paused and resumed, the second one is killed.
"""
import datetime
import json
import signal
import time

import mesh as mesh_lib

DEADLINE_S = 50
FINAL_PHASES = ("completed", "reverted")


def move_status(node):
    move = mesh_lib.request_json("GET", node.admin_address(), "/v1/moves/m")
    return move["status"] if move else {"phase": "", "holder": ""}


def wait_for_holder(mesh, nodes, excluded_name=""):
    """Waits until a node of `nodes` other than `excluded_name` holds the lease; returns it."""
    def current_holder():
        holder = move_status(nodes[0])["holder"]
        return next((n for n in nodes if n.name == holder and holder != excluded_name), None)
    mesh_lib.wait_until(current_holder, 25, f"a lease holder other than {excluded_name!r}")
    return current_holder()


def run(mesh, checks):
    mesh.start()
    mesh.start_backends("r2", "listings")
    mesh.wait_backends(len(mesh.backends))
    load = mesh.start_load([{"name": "read", "path": "/listings/x", "expected_bytes": 256}], 200,
                           DEADLINE_S + 8)
    deadline = datetime.datetime.now(datetime.timezone.utc) + datetime.timedelta(seconds=DEADLINE_S)
    status, body = mesh.put_resource(mesh.nodes[0], "move", "m",
                                     {"service": "listings", "from_release": "r1",
                                      "to_release": "r2", "soak_ms": 2000,
                                      "deadline": deadline.strftime("%Y-%m-%dT%H:%M:%SZ")})
    checks.expect(status == 200, f"the move is accepted: {status} {body}")
    paused_node = wait_for_holder(mesh, mesh.nodes)
    other_nodes = [n for n in mesh.nodes if n is not paused_node]
    paused_node.process.send_signal(signal.SIGSTOP)
    killed_node = wait_for_holder(mesh, other_nodes, paused_node.name)
    checks.expect(True, f"{killed_node.name} takes over from the paused {paused_node.name}")
    paused_node.process.send_signal(signal.SIGCONT)
    killed_node.process.send_signal(signal.SIGKILL)
    killed_node.process.wait()
    mesh.processes.remove(killed_node.process)
    running_nodes = [n for n in mesh.nodes if n is not killed_node]
    mesh_lib.wait_until(lambda: move_status(running_nodes[0])["phase"] in FINAL_PHASES,
                        DEADLINE_S + 10, "an outcome of the move")
    checks.expect(datetime.datetime.now(datetime.timezone.utc) <=
                  deadline + datetime.timedelta(seconds=10),
                  "the outcome is visible within 10 s after the deadline")
    mesh.wait_config_version(mesh.config_version(running_nodes[0]), running_nodes)
    time.sleep(1)
    phases = {move_status(n)["phase"] for n in running_nodes}
    checks.expect(len(phases) == 1, f"every node shows the same outcome: {phases}")
    mesh.nodes = running_nodes
    audit = mesh.collect_records()
    outcomes = [i["after"]["status"]["phase"] for i in audit
                if i["kind"] == "move" and i["after"]["status"]["phase"] in FINAL_PHASES]
    checks.expect(len(outcomes) == 1, f"one outcome is in the audit trail: {outcomes}")
    load.send_signal(signal.SIGINT)
    load.wait(20)
    disturbed_addresses = {f"{mesh_lib.HOST}:{n.call_port}" for n in (paused_node, killed_node)}
    lines = (mesh.out_dir / "history.jsonl").read_text().splitlines()
    results = [c["result"] for c in map(json.loads, lines)
               if c["target"] not in disturbed_addresses]
    served = results.count("ok")
    checks.expect(served >= 0.95 * len(results) > 0,
                  f"calls through the other nodes are served: {served} of {len(results)}")

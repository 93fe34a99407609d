"""A backend server and a node drain on SIGTERM under load without cutting a call."""
import json
import signal
import time


def run(mesh, checks):
    mesh.start()
    call_kinds = [{"name": "read", "path": "/listings/x", "expected_bytes": 2048},
                  {"name": "write", "method": "POST", "path": "/bookings/x", "keyed": True,
                   "body_bytes": 64, "expected_bytes": 64}]
    target_nodes = mesh.nodes[1:]
    load = mesh.start_load(call_kinds, 120, 12, targets=target_nodes)
    time.sleep(3)
    draining_backend = next(b for b in mesh.backends if b.node is mesh.nodes[1])
    draining_backend.send_signal(signal.SIGTERM)
    checks.expect(draining_backend.wait(10) == 0, "a backend server drains and exits 0")
    time.sleep(2)
    draining_node = mesh.nodes[0]
    draining_node.process.send_signal(signal.SIGTERM)
    checks.expect(draining_node.process.wait(12) == 0, "a node drains and exits 0")
    load.wait(40)
    mesh.collect_records()
    results = json.loads((mesh.out_dir / "load.json").read_text())["all"]["results"]
    unexpected = {k: v for k, v in results.items() if k not in ("ok", "refused_not_run") and v}
    checks.expect(not unexpected, f"no call was cut or failed: {results}")
    total = sum(results.values())
    checks.expect(results.get("ok", 0) >= 0.98 * total,
                  f"at least 98 % of calls were served: {results}")

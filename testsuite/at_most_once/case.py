"""Keyed writes run at most once.

A backend server is killed and restarted, the platform loses responses and is down, and a node is
paused while clients resend unanswered bookings.
"""
import json
import signal
import time


def run(mesh, checks):
    mesh.start()
    call_kinds = [{"name": "book", "method": "POST", "path": "/bookings/x", "keyed": True,
                   "body_bytes": 64, "expected_bytes": 64}]
    load = mesh.start_load(call_kinds, 60, 15, "--resend", 2)
    time.sleep(2)
    mesh.set_platform_fault(mode="lose_answers", for_ms=4000, ratio=0.3)
    time.sleep(2)
    killed_backend = next(b for b in mesh.backends if b.node.service["name"] == "bookings")
    mesh.collect_executions(killed_backend)
    killed_backend.send_signal(signal.SIGKILL)
    killed_backend.wait()
    mesh.processes.remove(killed_backend)
    mesh.backends.remove(killed_backend)
    mesh.start_backend(killed_backend.node, "r1")
    time.sleep(3)
    mesh.set_platform_fault(mode="down", for_ms=2000)
    paused_node = mesh.nodes[-1]
    time.sleep(1)
    paused_node.process.send_signal(signal.SIGSTOP)
    time.sleep(2)
    paused_node.process.send_signal(signal.SIGCONT)
    load.wait(60)
    mesh.collect_records()
    results = json.loads((mesh.out_dir / "load.json").read_text())["all"]["results"]
    checks.expect(results.get("ok", 0) > 0.5 * sum(results.values()),
                  f"most bookings were served: {results}")
    checks.expect_clean_history(mesh)

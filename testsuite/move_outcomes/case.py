"""A move to a good release completes in time; a move to a failing release is reverted."""
import datetime
import json
import time

import mesh as mesh_lib


def move_spec(service, deadline_s):
    deadline = datetime.datetime.now(datetime.timezone.utc) + datetime.timedelta(seconds=deadline_s)
    return {"service": service, "from_release": "r1", "to_release": "r2", "soak_ms": 2000,
            "deadline": deadline.strftime("%Y-%m-%dT%H:%M:%SZ")}


def run(mesh, checks):
    mesh.start()
    mesh.start_backends("r2", "listings")
    failing_backends = mesh.start_backends("r2", "bookings")
    mesh.wait_backends(len(mesh.backends))
    for backend in failing_backends:
        mesh_lib.request_json("PUT", f"{mesh_lib.HOST}:{backend.port}", "/control/fault",
                              {"release": "r2", "error_ratio": 0.3})
    call_kinds = [{"name": "read", "path": "/listings/x", "expected_bytes": 256},
                  {"name": "book", "path": "/bookings/x", "expected_bytes": 256}]
    load = mesh.start_load(call_kinds, 300, 35)
    time.sleep(1)
    for name, service in (("good", "listings"), ("bad", "bookings")):
        status, body = mesh.put_resource(mesh.nodes[0], "move", name, move_spec(service, 30))
        checks.expect(status == 200, f"move {name} is accepted: {status} {body}")
    completed = mesh.camphorctl("wait", "move/good", "--for=completed", "--timeout", 32,
                                check=False)
    checks.expect(completed.returncode == 0, f"the good move completes in time {completed.stderr}")
    reverted = mesh.camphorctl("wait", "move/bad", "--for=reverted", "--timeout", 32, check=False)
    checks.expect(reverted.returncode == 0, f"the bad move is reverted in time {reverted.stderr}")
    load.wait(60)
    resource = json.loads(mesh.camphorctl("get", "service", "listings", "-o", "json").stdout)
    checks.expect(resource["spec"]["release"] == "r2", "listings is on the new release")
    resource = json.loads(mesh.camphorctl("get", "service", "bookings", "-o", "json").stdout)
    checks.expect(resource["spec"]["release"] == "r1", "bookings stays on the old release")
    load_report = json.loads((mesh.out_dir / "load.json").read_text())
    r2_results = {k: v for k, v in load_report["releases"].items() if k == "r2"}
    print("release r2:", r2_results)
    mesh.collect_records()
    checks.expect_clean_history(mesh)

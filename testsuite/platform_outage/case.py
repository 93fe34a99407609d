"""Operator writes and a node start while the platform is down, loses responses or is slow."""
import json
import signal
import time


def route_spec(timeout_ms):
    return {"path_prefix": "/listings", "service": "listings", "timeout_ms": timeout_ms}


def run(mesh, checks):
    mesh.start()
    version_before = mesh.config_version(mesh.nodes[0])

    mesh.set_platform_fault(mode="down", for_ms=6000)
    status, body = mesh.put_resource(mesh.nodes[0], "route", "listings", route_spec(1111))
    checks.expect(status == 503 and "not run" in body,
                  f"a write during the outage is refused as not run: {status} {body}")
    restarted_node = mesh.nodes[-1]
    restarted_node.process.send_signal(signal.SIGKILL)
    restarted_node.process.wait()
    mesh.processes.remove(restarted_node.process)
    mesh.start_node(restarted_node)
    mesh.wait_config_version(version_before, [restarted_node], timeout_s=5)
    checks.expect(True, "a node that starts during the outage gets its configuration from a peer")
    listings_route = [i for i in
                      json.loads(mesh.camphorctl("get", "routes", "-o", "json").stdout)["items"]
                      if i["name"] == "listings"]
    checks.expect(listings_route[0]["spec"]["timeout_ms"] == 2000,
                  "the refused write changed nothing")
    time.sleep(6.5)

    mesh.set_platform_fault(mode="lose_answers", for_ms=60000, ratio=0.5)
    answered = accepted = 0
    for i in range(20):
        status, _ = mesh.put_resource(mesh.nodes[i % len(mesh.nodes)], "route", "listings",
                                      route_spec(3000 + i), **{"Operation-Id": f"lossy-{i}"})
        answered += status in (200, 503)
        accepted += status == 200
    mesh.set_platform_fault(mode="lose_answers", for_ms=1, ratio=0)
    checks.expect(answered == 20,
                  f"each write is answered while the platform loses responses: {answered} of 20")
    checks.expect(accepted >= 15, f"lost responses are resolved by reading again: {accepted} of 20")

    mesh.set_platform_fault(mode="slow", for_ms=3000, latency_ms=300)
    status, _ = mesh.put_resource(mesh.nodes[0], "route", "listings", route_spec(4444))
    checks.expect(status == 200, "a write on a slow platform is accepted")
    version = mesh.config_version(mesh.nodes[0])
    mesh.wait_config_version(version)
    audit = mesh.collect_records()
    operations = [item["operation"] for item in audit]
    checks.expect(len(operations) == len(set(operations)), "no operation was accepted twice")
    checks.expect([i["version"] for i in audit] == list(range(1, len(audit) + 1)),
                  "versions have no gap")

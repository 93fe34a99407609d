"""Fifty operators change one resource at once, each from the revision that it has read."""
import concurrent.futures
import json
import re
import time

WRITERS = 50
ROUNDS = 3


def revision_from_response(status, body):
    """Returns the new revision, the current one of a conflict, or 0 when the body names none."""
    if status == 200:
        return json.loads(body)["revision"]
    match = re.search(r"current revision is (\d+)", body)
    return int(match.group(1)) if match else 0


def run(mesh, checks):
    mesh.start()
    operations = []

    def put_route(node, revision, timeout_ms):
        started_ms = time.time() * 1000
        status, body = mesh.put_resource(node, "route", "listings",
                                         {"path_prefix": "/listings", "service": "listings",
                                          "timeout_ms": timeout_ms},
                                         **{"If-Match": f'"{revision}"'})
        result = {200: "accepted", 409: "rejected"}.get(status, "unknown")
        operations.append({"operation": f"w{timeout_ms}", "action": "put", "kind": "route",
                           "name": "listings", "if_match": revision, "value": str(timeout_ms),
                           "result": result,
                           "revision": revision_from_response(status, body),
                           "started_ms": started_ms, "ended_ms": time.time() * 1000})
        return status

    first_timeout_ms = 5000
    for _ in range(ROUNDS):
        current = json.loads(mesh.camphorctl("get", "route", "listings", "-o", "json").stdout)
        with concurrent.futures.ThreadPoolExecutor(WRITERS) as pool:
            statuses = list(pool.map(
                lambda i: put_route(mesh.nodes[i % len(mesh.nodes)], current["revision"],
                                    first_timeout_ms + i),
                range(WRITERS)))
        first_timeout_ms += WRITERS
        checks.expect(statuses.count(200) == 1,
                      f"one of {WRITERS} writes is accepted: {statuses.count(200)}")
        checks.expect(statuses.count(409) == WRITERS - 1,
                      f"the other writes are rejected with a conflict: {statuses.count(409)}")
        mesh.wait_config_version(mesh.config_version(mesh.nodes[0]))
    operations_path = mesh.out_dir / "operations.jsonl"
    operations_path.write_text("".join(json.dumps(item) + "\n" for item in operations))
    checker = mesh.spawn("camphorload", "check", "--operations", operations_path)
    checks.expect(checker.wait(60) == 0, "the resource's history is linearizable")

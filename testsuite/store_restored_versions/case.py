"""The store comes back from a copy and gives a lost row version to another value of that row.

A node that does not poll the store remembers the row `head` of its last change by the store's
version. The row has the same version after the restoration, for another change; the node's next
change must not be written as if it followed the lost one.
"""
import signal
import time

import mesh as mesh_lib
import route_changes

DEPLOYMENT = "wide"
LOST_CHANGES = range(5, 8)
# One less than were lost: a row that is no change takes the other store version.
NEW_CHANGES = range(30, 32)
NEXT_CHANGE = 40
POLLS_S = 3


def platform_reads(node):
    return sum(value for name, value in mesh_lib.node_metrics(node).items()
               if name.startswith("camphor_platform_reads_total"))


def find_writer(mesh):
    """Returns a node that does not poll the store."""
    before = {node.name: platform_reads(node) for node in mesh.nodes}
    time.sleep(POLLS_S)
    return next(n for n in mesh.nodes[:-1] if platform_reads(n) - before[n.name] < POLLS_S)


def store_version(mesh):
    return mesh_lib.request_json("GET", f"{mesh_lib.HOST}:{mesh.platform_port}",
                                 "/-/rows-get?table=servers&from=&limit=1")["ver"]


def kill(mesh, node):
    node.process.send_signal(signal.SIGKILL)
    node.process.wait()
    mesh.processes.remove(node.process)


def run(mesh, checks):
    mesh.start()
    route_changes.expect_accepted(checks, mesh, 1)
    route_changes.expect_served(checks, mesh, [1], "before the copy")
    writer = find_writer(mesh)
    mesh.take_store_copy()
    for number in LOST_CHANGES:
        route_changes.expect_accepted(checks, mesh, number, [writer])
    lost_version = store_version(mesh)
    route_changes.expect_served(checks, mesh, LOST_CHANGES, "before the restoration")

    mesh.restore_store_copy()
    *paused, restarted = mesh.nodes
    for node in paused:
        node.process.send_signal(signal.SIGSTOP)
    kill(mesh, restarted)
    mesh.start_node(restarted)
    mesh_lib.wait_until(lambda: mesh.config_version(restarted) > 0, mesh_lib.START_TIMEOUT_S,
                        "a configuration from the store")
    mesh_lib.request_json("PUT", f"{mesh_lib.HOST}:{mesh.platform_port}",
                          "/control/row?table=servers&key=other", {})
    for number in NEW_CHANGES:
        route_changes.expect_accepted(checks, mesh, number, [restarted])
    print(f"store version {store_version(mesh)}, before the restoration {lost_version}")
    for node in paused:
        node.process.send_signal(signal.SIGCONT)
    route_changes.expect_accepted(checks, mesh, NEXT_CHANGE, [writer])

    versions = [item["version"] for item in mesh.collect_records()]
    checks.expect(versions == list(range(1, len(versions) + 1)),
                  f"the store's versions have no gap: {versions}")
    accepted = [*NEW_CHANGES, NEXT_CHANGE]
    route_changes.expect_served(checks, mesh, accepted, "once the nodes reach each other")
    for node in mesh.nodes:
        kill(mesh, node)
    mesh.start_nodes()
    route_changes.expect_served(checks, mesh, [1, *accepted], "after a restart of all")

"""The store comes back from a copy, and a node that knows only the copy accepts changes.

Their versions are those of the lost changes, which the other nodes still hold. The node starts
while the others are paused, as one that reaches the store and no other node.
"""
import signal

import mesh as mesh_lib
import route_changes

LOST_CHANGES = range(5, 8)
# More than were lost, so that the versions rise above those that the other nodes hold.
NEW_CHANGES = range(30, 35)


def run(mesh, checks):
    mesh.start()
    route_changes.expect_accepted(checks, mesh, 1)
    route_changes.expect_served(checks, mesh, [1], "before the copy")
    mesh.take_store_copy()
    for number in LOST_CHANGES:
        route_changes.expect_accepted(checks, mesh, number)
    route_changes.expect_served(checks, mesh, LOST_CHANGES, "before the restoration")

    mesh.restore_store_copy()
    *paused, restarted = mesh.nodes
    for node in paused:
        node.process.send_signal(signal.SIGSTOP)
    restarted.process.send_signal(signal.SIGKILL)
    restarted.process.wait()
    mesh.processes.remove(restarted.process)
    mesh.start_node(restarted)
    mesh_lib.wait_until(lambda: mesh.config_version(restarted) > 0, mesh_lib.START_TIMEOUT_S,
                        "a configuration from the store")
    for number in NEW_CHANGES:
        route_changes.expect_accepted(checks, mesh, number, [restarted])
    for node in paused:
        node.process.send_signal(signal.SIGCONT)

    route_changes.expect_served(checks, mesh, NEW_CHANGES, "once the nodes reach each other")
    route_changes.expect_one_configuration(checks, mesh)

"""The store comes back from a copy that lacks accepted changes, and the operator applies again."""
import signal

import route_changes

LOST_CHANGES = range(5, 11)
LAST_LOST = LOST_CHANGES[-1]
NEW_CHANGE = 20
AFTER_RESTART = 21


def restart_all(mesh):
    for node in mesh.nodes:
        node.process.send_signal(signal.SIGKILL)
        node.process.wait()
        mesh.processes.remove(node.process)
    mesh.start_nodes()
    mesh.wait_backends(len(mesh.backends))


def run(mesh, checks):
    mesh.start()
    route_changes.expect_accepted(checks, mesh, 1)
    route_changes.expect_served(checks, mesh, [1], "before the copy")
    mesh.take_store_copy()
    for number in LOST_CHANGES:
        route_changes.expect_accepted(checks, mesh, number)
    route_changes.expect_served(checks, mesh, LOST_CHANGES, "before the restoration")

    mesh.restore_store_copy()
    route_changes.expect_accepted(checks, mesh, NEW_CHANGE)
    route_changes.expect_served(checks, mesh, [NEW_CHANGE], "after the restoration")
    route_changes.expect_accepted(checks, mesh, LAST_LOST)
    route_changes.expect_served(checks, mesh, [LAST_LOST], "after it was applied again")
    route_changes.expect_one_configuration(checks, mesh)

    # What was accepted after the restoration is in the store, where nodes that start find it.
    restart_all(mesh)
    route_changes.expect_served(checks, mesh, [NEW_CHANGE, LAST_LOST], "after a restart of all")
    route_changes.expect_accepted(checks, mesh, AFTER_RESTART)
    route_changes.expect_served(checks, mesh, [AFTER_RESTART], "after it was applied")

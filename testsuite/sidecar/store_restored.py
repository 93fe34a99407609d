"""Six nodes, two a zone, whose store comes back from a copy that lacks what was written last.

usage: store_restored.py CAMPHORD STANDIN_PLATFORM SCENARIO
"""
import itertools
import os
import sys
import tempfile
import time

import standin
from nodes import Node, free_ports, operator_config, wait_until

ZONES = 3
NODES = 6
LOST_VERSIONS = range(5, 15)
# Time for the nodes to notice that the store was away, after which other nodes read it too.
SETTLE_S = 2
REQUEST_NUMBERS = itertools.count()
# Each node that reads the store may ask once for a history that is gone, and once more where it
# hands over to another node or its read crosses the restoration.
HISTORIES_GONE_LIMIT = 2 * NODES


def write_config(store, version):
    """Each version has one route, /vN/, so that a request shows which version is in force."""
    store.put_row("op", "config", operator_config(version, f"/v{version}/"))


def serves(node, version):
    return node.send(f"/v{version}/", f"q{next(REQUEST_NUMBERS)}")[0] == 200


def is_watched_by_other(node):
    events = [e["event"] for e in node.log_events() if e["event"].startswith("store.watch")]
    return events[-1:] == ["store.watched_by_other"]


def restore(store):
    store.set_down(True)
    store.restore_copy()
    store.set_down(False)


def start_nodes(program, store, folder):
    nodes = [Node(program, folder, f"n{i}", "s1", f"i-{i}", store.port, zone=f"z{i % ZONES}")
             for i in range(NODES)]
    wait_until("every control address answers", lambda: all(n.check_in() == 200 for n in nodes))
    return nodes


def check_configurations(store, nodes):
    """What the operator writes after the restoration comes into force at every node."""
    write_config(store, 3)
    wait_until("version 3 is in force", lambda: all(serves(n, 3) for n in nodes))
    store.take_copy()
    for version in LOST_VERSIONS:
        write_config(store, version)
    newest = LOST_VERSIONS[-1]
    wait_until("the newest version is in force", lambda: all(serves(n, newest) for n in nodes))
    restore(store)
    time.sleep(SETTLE_S)
    wait_until("one node a zone reads the store", lambda: all(map(is_watched_by_other, nodes[ZONES:])))
    assert all(serves(n, newest) for n in nodes), "a node went back to an older configuration"
    # Fewer writes than were lost, so that the store's versions stay below the lost ones.
    for version in (newest, newest + 3, newest + 5):
        write_config(store, version)
        wait_until(f"version {version} is in force at every node",
                   lambda: all(serves(n, version) for n in nodes))
    gone = store.stats()["histories_gone"]
    assert gone <= HISTORIES_GONE_LIMIT, f"{gone} reads asked for a history that is gone"


def node_row(store, node):
    return store.get_row("nodes", os.path.basename(node.settings_path).removesuffix(".json"))


def is_departed(store, node):
    row = node_row(store, node)
    return row is not None and any(d["id"] == node.instance for d in row.get("departed", []))


def check_own_rows(store, nodes):
    """What the nodes had written after the copy is written again."""
    write_config(store, 3)
    wait_until("version 3 is in force", lambda: all(serves(n, 3) for n in nodes))
    wait_until("every node has a row", lambda: all(node_row(store, n) for n in nodes))
    leaving = nodes[4]
    store.take_copy()
    assert leaving.check_in("draining") == 200
    wait_until("the departure is stored", lambda: is_departed(store, leaving))
    restore(store)
    assert not is_departed(store, leaving), "the copy is older than the departure"
    write_config(store, 5)
    wait_until("the departure is stored again", lambda: is_departed(store, leaving))


SCENARIOS = {"configurations": check_configurations, "own_rows": check_own_rows}


def main():
    program, store_program, scenario = sys.argv[1:4]
    store = standin.Store(os.path.abspath(store_program), free_ports(1)[0])
    nodes = []
    try:
        with tempfile.TemporaryDirectory() as folder:
            wait_until("the store is up", store.is_up)
            try:
                nodes += start_nodes(os.path.abspath(program), store, folder)
                SCENARIOS[scenario](store, nodes)
            except Exception:
                print("store:", {k: v for k, v in store.stats().items() if k != "by_second"})
                for node in nodes:
                    node.print_log()
                raise
    finally:
        for node in nodes:
            node.kill()
            node.log_file.close()
        store.stop()
    print(f"passed: {scenario}")


if __name__ == "__main__":
    main()

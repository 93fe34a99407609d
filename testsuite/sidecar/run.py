"""Two nodes on the published protocol: serve, follow a change, drain, live without the store, stop.

usage: run.py CAMPHORD STANDIN_PLATFORM
"""
import json
import os
import signal
import sys
import tempfile

import standin
from nodes import Node, call, config, free_ports, until


def change_settings(node, other_store):
    """A bad file changes nothing; another limit and another store are taken over."""
    has = lambda name, **fields: any(
        e["event"] == name and all(e.get(k) == v for k, v in fields.items())
        for e in node.events())
    node.write_settings("{")
    until("a bad settings file is logged", lambda: has("node.bad_settings"))
    node.settings["terms"]["bounds"]["drain_timeout_ms"] = 2500
    node.write_settings(json.dumps(node.settings))
    until("a limit is taken over without a signal", lambda: has("node.reloaded", changed="bounds"))
    node.settings["platform"]["platform"]["address"] = f"127.0.0.1:{other_store.port}"
    node.settings["network"]["listen"]["ready"] = "127.0.0.1:1"
    node.write_settings(json.dumps(node.settings))
    node.process.send_signal(signal.SIGHUP)
    until("the store's new address is taken over at a signal",
          lambda: has("node.reloaded", changed="store", at_restart="ready"))
    for number in range(50):  # The store of the platform never falls behind what it told.
        other_store.put("filler", f"{number}", {})
    other_store.put("op", "config", config(9, "/c/"))
    until("the node follows the other store", lambda: node.send("/c/", "moved")[0] != 404)


def check(program, store, other_store, folder):
    until("the stores are up", lambda: store.is_up() and other_store.is_up())
    store_port = store.port
    one = Node(program, folder, "n1", "s0", "i-1", store_port)
    two = Node(program, folder, "n2", "s1", "i-2", store_port)
    nodes = [one, two]
    try:
        until("the control address answers", lambda: all(n.check_in() == 200 for n in nodes))
        assert one.send("/a/", "early")[0] == 503, "without a configuration nothing is served"
        store.put("op", "config", config(3, "/a/"))
        until("nodes are ready", lambda: all(n.is_ready() for n in nodes))
        served = []
        until("a request is served by the other node",
              lambda: served.append(one.send("/a/b", f"q{len(served)}")) or served[-1][0] == 200)
        status, body, headers = served[-1]
        assert body == b"done x" and headers["Response-Signature"].startswith("s-q"), served[-1]
        assert two.backend.callers == {"s0"}, "the service beside the first node is the caller"
        assert one.send("/b/", "unknown")[0] == 404
        store.put("op", "config", config(5, "/b/"))
        until("the change is in force", lambda: one.send("/a/", "gone")[0] == 404)
        store.put("op", "config", "no configuration")
        assert one.send("/b/", "kept")[0] == 200, "a bad row changes nothing"
        store.set_away(True)
        assert one.send("/b/", "alone")[0] == 200, "the store is not needed to serve"
        store.set_away(False)
        assert call(two.control, "POST", "/-/instances/i-2/heartbeat", "{}")[0] == 400
        assert b"camphor_requests_total" in call(one.peers + 1, "GET", "/metrics")[1]
        assert two.check_in("draining") == 200
        until("a leaving backend server gets nothing", lambda: one.send("/b/", "late")[0] == 503)
        assert max(two.backend.runs.values()) == 1, two.backend.runs
        change_settings(one, other_store)
        assert [n.stop() for n in nodes] == [0, 0], "both end in order"
        for node in nodes:
            node.log.seek(0)
            events = [json.loads(line)["event"] for line in node.log]
            assert events[0] == "node.started" and events[-1] == "node.stopped", events[-3:]
    finally:
        for node in nodes:
            if node.process.poll() is None:
                node.process.kill()
                node.process.wait()
            node.log.close()


def main():
    stores = [standin.Store(os.path.abspath(sys.argv[2]), port) for port in free_ports(2)]
    try:
        with tempfile.TemporaryDirectory() as folder:
            check(os.path.abspath(sys.argv[1]), *stores, folder)
    finally:
        for store in stores:
            store.stop()
    print("served, changed, drained and stopped")


if __name__ == "__main__":
    main()

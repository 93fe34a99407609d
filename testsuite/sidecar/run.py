"""Two nodes on the published protocol: calls, configuration changes, drain, store outage, reload.

usage: run.py CAMPHORD STANDIN_PLATFORM
"""
import json
import os
import signal
import sys
import tempfile

import standin
from nodes import Node, free_ports, operator_config, send_request, wait_until


def check_settings_reload(node, other_store):
    """Checks that a bad file changes nothing and that a new limit and store address apply."""
    has_event = lambda name, **fields: any(
        e["event"] == name and all(e.get(k) == v for k, v in fields.items())
        for e in node.log_events())
    node.write_settings("{")
    wait_until("a bad settings file is logged", lambda: has_event("node.bad_settings"))
    node.settings["terms"]["bounds"]["drain_timeout_ms"] = 2500
    node.write_settings(json.dumps(node.settings))
    wait_until("a changed limit applies without a signal",
               lambda: has_event("node.reloaded", changed="bounds"))
    node.settings["platform"]["platform"]["address"] = f"127.0.0.1:{other_store.port}"
    node.settings["network"]["listen"]["ready"] = "127.0.0.1:1"
    node.write_settings(json.dumps(node.settings))
    node.process.send_signal(signal.SIGHUP)
    wait_until("the new store address applies after SIGHUP",
               lambda: has_event("node.reloaded", changed="store", at_restart="ready"))
    # Its versions are lower than those of the store before.
    other_store.put_row("op", "config", operator_config(9, "/c/"))
    wait_until("the node follows the other store", lambda: node.send("/c/", "moved")[0] != 404)


def check_nodes(program, store, other_store, folder):
    wait_until("the stores are up", lambda: store.is_up() and other_store.is_up())
    store_port = store.port
    caller = Node(program, folder, "n1", "s0", "i-1", store_port)
    server = Node(program, folder, "n2", "s1", "i-2", store_port)
    nodes = [caller, server]
    try:
        wait_until("every control address answers", lambda: all(n.check_in() == 200 for n in nodes))
        assert caller.send("/a/", "early")[0] == 503, "without a configuration requests are refused"
        store.put_row("op", "config", operator_config(3, "/a/"))
        wait_until("nodes are ready", lambda: all(n.is_ready() for n in nodes))
        responses = []
        wait_until("a request is served by the other node",
                   lambda: responses.append(caller.send("/a/b", f"q{len(responses)}"))
                   or responses[-1][0] == 200)
        status, body, headers = responses[-1]
        assert body == b"done x" and headers["Response-Signature"].startswith("s-q"), responses[-1]
        assert server.backend.callers == {"s0"}, "the caller must be the service of the first node"
        assert caller.send("/b/", "unknown")[0] == 404
        store.put_row("op", "config", operator_config(5, "/b/"))
        wait_until("the change is in force", lambda: caller.send("/a/", "gone")[0] == 404)
        store.put_row("op", "config", "no configuration")
        assert caller.send("/b/", "kept")[0] == 200, "an invalid row must change nothing"
        store.set_down(True)
        assert caller.send("/b/", "alone")[0] == 200, "requests must be served without the store"
        store.set_down(False)
        assert send_request(server.control_port, "POST", "/-/instances/i-2/heartbeat",
                            "{}")[0] == 400
        assert b"camphor_requests_total" in send_request(caller.peer_port + 1, "GET", "/metrics")[1]
        assert server.check_in("draining") == 200
        wait_until("a draining backend server gets no requests",
                   lambda: caller.send("/b/", "late")[0] == 503)
        assert max(server.backend.run_counts.values()) == 1, server.backend.run_counts
        check_settings_reload(caller, other_store)
        assert [n.stop() for n in nodes] == [0, 0], "both nodes must exit with status 0"
        for node in nodes:
            node.log_file.seek(0)
            events = [json.loads(line)["event"] for line in node.log_file]
            assert events[0] == "node.started" and events[-1] == "node.stopped", events[-3:]
    except Exception:
        for node in nodes:
            node.print_log()
        raise
    finally:
        for node in nodes:
            if node.process.poll() is None:
                node.process.kill()
                node.process.wait()
            node.log_file.close()


def main():
    stores = [standin.Store(os.path.abspath(sys.argv[2]), port) for port in free_ports(2)]
    try:
        with tempfile.TemporaryDirectory() as folder:
            check_nodes(os.path.abspath(sys.argv[1]), *stores, folder)
    finally:
        for store in stores:
            store.stop()
    print("passed: calls, configuration changes, drain, store outage and reload")


if __name__ == "__main__":
    main()

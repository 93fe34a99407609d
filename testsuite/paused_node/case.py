"""A node paused by SIGSTOP while the configuration changes catches up after SIGCONT."""
import signal
import time


def run(mesh, checks):
    mesh.start()
    paused_node = mesh.nodes[0]
    running_nodes = mesh.nodes[1:]
    paused_node.process.send_signal(signal.SIGSTOP)
    for i in range(8):
        status, _ = mesh.put_resource(running_nodes[i % len(running_nodes)], "route", "listings",
                                      {"path_prefix": "/listings", "service": "listings",
                                       "timeout_ms": 1000 + i})
        checks.expect(status == 200, f"change {i} is accepted while a node is paused")
        time.sleep(0.5)
    version = max(mesh.config_version(n) for n in running_nodes)
    mesh.wait_config_version(version, running_nodes, timeout_s=10)
    checks.expect(True, "the running nodes hold the newest version")
    paused_node.process.send_signal(signal.SIGCONT)
    mesh.wait_config_version(version, [paused_node], timeout_s=10)
    checks.expect(True, "the resumed node holds the newest version")
    checks.expect("missing_nodes" in mesh.camphorctl("get", "route", "listings", "-o",
                                                     "json").stdout,
                  "the status lists missing nodes")
    mesh.collect_records()
    (mesh.out_dir / "history.jsonl").write_text("")
    checks.expect_clean_history(mesh)

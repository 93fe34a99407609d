"""Half the nodes are killed and restarted at once while the configuration changes."""
import signal


def run(mesh, checks):
    mesh.start()
    restarted_nodes = mesh.nodes[::2]
    for node in restarted_nodes:
        node.process.send_signal(signal.SIGKILL)
        node.process.wait()
        mesh.processes.remove(node.process)
    running_nodes = [n for n in mesh.nodes if n not in restarted_nodes]
    for i in range(10):
        status, _ = mesh.put_resource(running_nodes[i % len(running_nodes)], "route", "listings",
                                      {"path_prefix": "/listings", "service": "listings",
                                       "timeout_ms": 1000 + i})
        checks.expect(status == 200, f"change {i} is accepted while half the nodes are down")
    version = mesh.config_version(running_nodes[0])
    mesh.wait_config_version(version, running_nodes)
    for node in restarted_nodes:
        mesh.start_node(node)
    mesh.wait_config_version(version, timeout_s=10)
    checks.expect(True, "every node holds the newest version within 10 s of the restart")
    mesh.wait_backends(len(mesh.backends))
    checks.expect(True, "every node lists every backend server again")

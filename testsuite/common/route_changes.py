"""Changes that add a route each, so that a call shows whether a change is in force at a node."""
import json

import mesh as mesh_lib

# Far more than any of the steps needs: what is not in force by then is not coming.
PATIENCE_S = 20


def apply_change(mesh, number, node):
    """Returns the status and the body of the answer."""
    return mesh.put_resource(node, "route", f"change-{number}",
                             {"path_prefix": f"/change-{number}", "service": "listings",
                              "timeout_ms": 2000})


def serves(node, number):
    address = f"{mesh_lib.HOST}:{node.call_port}"
    return mesh_lib.send_request("GET", address, f"/change-{number}/x")[0] == 200


def nodes_without(mesh, number):
    return [node.name for node in mesh.nodes if not serves(node, number)]


def expect_until(checks, condition, description, seen):
    try:
        mesh_lib.wait_until(condition, PATIENCE_S, description)
        checks.expect(True, description)
    except TimeoutError:
        checks.expect(False, f"{description}: {seen()}")


def expect_accepted(checks, mesh, number, nodes=None):
    """The operator applies the change through each of `nodes` in turn until one accepts it."""
    targets = nodes or mesh.nodes
    answers = []

    def is_accepted():
        answers.append(apply_change(mesh, number, targets[len(answers) % len(targets)]))
        return answers[-1][0] == 200

    expect_until(checks, is_accepted, f"change {number} is accepted",
                 lambda: f"{len(answers)} refused, last {answers[-1]}")


def expect_served(checks, mesh, numbers, when):
    def missing():
        without = {number: nodes_without(mesh, number) for number in numbers}
        return {number: names for number, names in without.items() if names}

    expect_until(checks, lambda: not missing(),
                 f"every node serves changes {list(numbers)} {when}", lambda: f"not {missing()}")


def expect_one_configuration(checks, mesh):
    """Every node holds the same routes in the same revisions."""
    def routes(node):
        listed = mesh.camphorctl("get", "routes", "-o", "json", node=node).stdout
        items = json.loads(listed)["items"]
        return tuple(sorted((item["name"], item["revision"]) for item in items))

    def configurations():
        return {routes(node) for node in mesh.nodes}

    expect_until(checks, lambda: len(configurations()) == 1, "every node holds the same routes",
                 configurations)

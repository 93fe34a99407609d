"""Malformed input on every listener gets an error or a closed connection, and calls are served."""
import socket

import mesh as mesh_lib

MALFORMED_INPUTS = {
    "binary": b"\x00\xff\x13\x37" * 64,
    "oversized frame": b"\xff\xff\xff\xff",
    "two content lengths": b"POST /listings HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                           b"Content-Length: 2\r\n\r\nxx",
    "content length and chunked encoding": b"POST /listings HTTP/1.1\r\nHost: x\r\n"
                                           b"Content-Length: 3\r\n"
                                           b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "bad chunk": b"POST /listings HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "oversized header": b"GET /listings HTTP/1.1\r\nX: " + b"x" * 100000 + b"\r\n\r\n",
    "truncated header": b"GET /listi",
}


def send_raw(port, data):
    """Sends data, half-closes the connection and returns the first bytes of the response."""
    with socket.create_connection((mesh_lib.HOST, port), timeout=5) as client:
        try:
            client.sendall(data)
            client.shutdown(socket.SHUT_WR)
            return client.recv(4096)
        except OSError:  # The daemon may close the connection before the half-close.
            return b""


def run(mesh, checks):
    mesh.start()
    node = mesh.nodes[0]
    idle_connections = [socket.create_connection((mesh_lib.HOST, p)) for p in
                        (node.call_port, node.peer_port, node.admin_port)]
    for client in idle_connections:
        client.sendall(b"G")
    for name, data in MALFORMED_INPUTS.items():
        for port in (node.call_port, node.peer_port, node.admin_port):
            response = send_raw(port, data)
            checks.expect(b" 200 " not in response[:20],
                          f"{name} is rejected on port call_port + {port - node.call_port}: "
                          f"{response[:30]!r}")
        status, _ = mesh_lib.send_request("GET", f"{mesh_lib.HOST}:{node.call_port}", "/listings/1")
        checks.expect(status == 200, f"calls are served after input with {name}: status {status}")
    for client in idle_connections:
        client.close()
    status, body = mesh.put_resource(node, "route", "listings",
                                     {"path_prefix": "listings", "wieght": 1})
    checks.expect(status == 400 and "/spec/path_prefix" in body and "wieght" in body,
                  f"the error names each fault of the resource: {body}")
    checks.expect(node.process.poll() is None, "the daemon still runs")

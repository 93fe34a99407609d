"""A small crowd of clients that hold memory and connections of two nodes with lowered limits.

The clients reach the first node, whose requests run at the backend server of the second one.

usage: hostile_clients.py CAMPHORD STANDIN_PLATFORM SCENARIO
"""
import os
import socket
import sys
import tempfile
import threading
import time

import standin
from nodes import Node, free_ports, operator_config, send_request, wait_until

MIB = 1024 * 1024
MEMORY_MB = 96
MAX_FDS = 400
BODY_BYTES = 8 * MIB
LONG_ANSWER_BYTES = 3 * MIB
BODY_CLIENTS = 24
READERS = 40
IDLE_CLIENTS = 600
PIECE = b"x" * (64 * 1024)
# Time for which the crowd stays before the ordinary request.
CROWD_S = 3
CROWD_TIMEOUT_S = 30


def connect(port):
    client = socket.create_connection(("127.0.0.1", port), timeout=CROWD_TIMEOUT_S)
    client.settimeout(CROWD_TIMEOUT_S)
    return client


def head(name, fields, path="/a/x"):
    return (f"POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {name}\r\n"
            f"Deadline-Ms: 20000\r\n{fields}\r\n").encode()


def send_pieces(client, count):
    for _ in range(count):
        client.sendall(PIECE)


def stall_whole_body(client, name):
    """All but the last byte of a body with a length."""
    client.sendall(head(name, f"Content-Length: {BODY_BYTES}\r\n"))
    send_pieces(client, BODY_BYTES // len(PIECE) - 1)
    client.sendall(PIECE[1:])


def trickle_body(client, name):
    """Half of a body with a length, then a byte now and then."""
    client.sendall(head(name, f"Content-Length: {BODY_BYTES}\r\n"))
    send_pieces(client, BODY_BYTES // len(PIECE) // 2)
    for _ in range(CROWD_TIMEOUT_S):
        client.sendall(b"x")
        time.sleep(0.5)


def stall_chunked_body(client, name):
    """All of a body in pieces, without its end."""
    client.sendall(head(name, "Transfer-Encoding: chunked\r\n"))
    for _ in range(BODY_BYTES // len(PIECE)):
        client.sendall(b"%x\r\n" % len(PIECE) + PIECE + b"\r\n")


def send_whole_body(client, name):
    client.sendall(head(name, f"Content-Length: {BODY_BYTES}\r\n"))
    send_pieces(client, BODY_BYTES // len(PIECE))


def read_nothing(client, name):
    """Asks for a long answer and does not read it."""
    client.sendall(head(name, "Content-Length: 0\r\n", "/a/long"))


def stall_head(client, name):
    client.sendall(head(name, "")[:20])


SCENARIOS = {"stalled_bodies": (BODY_CLIENTS, stall_whole_body),
             "trickled_bodies": (BODY_CLIENTS, trickle_body),
             "stalled_chunks": (BODY_CLIENTS, stall_chunked_body),
             "whole_bodies": (BODY_CLIENTS, send_whole_body),
             "slow_readers": (READERS, read_nothing),
             "idle_connections": (IDLE_CLIENTS, stall_head)}


def send_long(node, name):
    return send_request(node.outbound_port, "POST", "/a/x", b"x" * BODY_BYTES,
                        {"Host": "h.example", "Request-Id": name, "Deadline-Ms": "20000"})


class Watch:
    """Records the most memory and descriptors that the process has used."""

    def __init__(self, node):
        self.node, self.name, self.most_fds = node, os.path.basename(node.settings_path), 0

    def sample(self):
        try:
            self.most_fds = max(self.most_fds, len(os.listdir(f"/proc/{self.node.process.pid}/fd")))
        except OSError:
            pass

    def peak_mb(self):
        with open(f"/proc/{self.node.process.pid}/status", encoding="utf-8") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmHWM")) / 1024

    def check(self):
        assert self.node.process.poll() is None, f"{self.name} has ended"
        peak = self.peak_mb()
        print(f"{self.name}: {peak:.0f} MB, {self.most_fds} descriptors", flush=True)
        assert peak <= MEMORY_MB, f"{self.name} used {peak:.0f} MB of {MEMORY_MB}"
        assert self.most_fds <= MAX_FDS, f"{self.name} used {self.most_fds} of {MAX_FDS} descriptors"


def start_crowd(port, count, act):
    """Starts the clients; their connections stay open until the process ends."""
    def run(number):
        try:
            client = connect(port)
            clients.append(client)
            act(client, f"crowd{number}")
        except OSError:
            pass  # A node may refuse such a client or close its connection.

    clients = []
    threads = [threading.Thread(target=run, args=[n], daemon=True) for n in range(count)]
    for thread in threads:
        thread.start()
    return clients


def check_nodes(program, store, folder, count, act):
    limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
    nodes = [Node(program, folder, f"n{i}", f"s{i}", f"i-{i}", store.port, limits=limits)
             for i in range(2)]
    try:
        nodes[1].backend.long_answer_bytes = LONG_ANSWER_BYTES
        wait_until("the nodes answer", lambda: all(n.check_in() == 200 for n in nodes))
        config = operator_config(3, "/a/")
        config["limits"]["max_body_bytes"] = BODY_BYTES
        store.put_row("op", "config", config)
        wait_until("a request is served", lambda: nodes[0].send("/a/x", "calm")[0] == 200)
        for number in range(3):
            status = send_long(nodes[0], f"calm{number}")[0]
            assert status == 200, f"a single body of full length was answered {status}"
        watches = [Watch(node) for node in nodes]
        clients = start_crowd(nodes[0].outbound_port, count, act)
        end = time.monotonic() + CROWD_S
        while time.monotonic() < end:
            time.sleep(0.05)
            for watch in watches:
                watch.sample()
        numbers = iter(range(10_000))

        def is_ordinary_request_answered():
            nodes[1].check_in()  # As backend servers do regularly; it may have refused connections.
            return nodes[0].send("/a/x", f"after{next(numbers)}")[0] == 200

        def is_long_request_answered():
            nodes[1].check_in()
            return send_long(nodes[0], f"after{next(numbers)}")[0] == 200

        wait_until("an ordinary request is answered beside the crowd", is_ordinary_request_answered)
        wait_until("a long request is answered beside the crowd", is_long_request_answered)
        for watch in watches:
            watch.sample()
            watch.check()
        print(f"{len(clients)} clients stayed")
    except Exception:
        for node in nodes:
            node.print_log()
        raise
    finally:
        for node in nodes:
            if node.process.poll() is None:
                node.kill()
            node.log_file.close()


def main():
    store = standin.Store(os.path.abspath(sys.argv[2]), free_ports(1)[0])
    try:
        with tempfile.TemporaryDirectory() as folder:
            wait_until("the store is up", store.is_up)
            check_nodes(os.path.abspath(sys.argv[1]), store, folder, *SCENARIOS[sys.argv[3]])
    finally:
        store.stop()
    print(f"passed: {sys.argv[3]}")


if __name__ == "__main__":
    main()

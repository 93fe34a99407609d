"""Reserves blocks of TCP ports on loopback for the processes of a case.

A block stays reserved until this process ends: it holds a lock on the block's file in the temporary
folder, so that cases that run at the same time, in any checkout, never share a port.
"""
import fcntl
import os
import socket
import tempfile

BLOCK_PORTS = 100
# Below the ephemeral port range, so that no outgoing connection occupies a listener's port.
FIRST_PORT, END_PORT = 12000, 32000
HOST = "127.0.0.1"

_held_locks = []


def is_free(port):
    try:
        socket.create_server((HOST, port)).close()
        return True
    except OSError:
        return False


def _try_lock(block):
    """Returns the open, locked file of the block, or None when another process holds it."""
    folder = os.path.join(tempfile.gettempdir(), "camphortally-ports")
    os.makedirs(folder, exist_ok=True)
    file = open(os.path.join(folder, str(block)), "w", encoding="utf-8")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        return file
    except BlockingIOError:
        file.close()
        return None


def reserve_block():
    """Returns the BLOCK_PORTS ports of a block that no other process holds.

    Blocks in which another program listens are passed over. Raises RuntimeError without a free one.
    """
    for first in range(FIRST_PORT, END_PORT, BLOCK_PORTS):
        lock = _try_lock(first)
        if lock is None:
            continue
        # Closed files give up their locks: this one stays open for the life of the process.
        _held_locks.append(lock)
        block = range(first, first + BLOCK_PORTS)
        if all(is_free(port) for port in block):
            return block
    raise RuntimeError(f"no free block of {BLOCK_PORTS} ports in {FIRST_PORT} to {END_PORT}")

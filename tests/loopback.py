"""A loopback address for the sockets of one test process."""

import os
import socket


def own_host():
    """Return a loopback address that differs for each process of a machine.

    A port that a test frees before it binds it may be taken by another test process,
    also by one of another checkout that runs the same tests. Its messages would then
    reach the wrong process.
    """
    high, low = divmod(os.getpid(), 250)
    highest, high = divmod(high, 250)
    return f"127.{1 + highest % 250}.{1 + high}.{1 + low}"


def free_address():
    """Return an address of this process that is free for TCP."""
    with socket.socket() as sock:
        sock.bind((own_host(), 0))
        return sock.getsockname()

"""Synchronous, thread-safe client library for callers: HTTP/1.1 with JSON."""

import random
import threading
import time

from cassiahill import retries
from cassiahill.client_connections import ProxyConnections
from cassiahill.client_results import Result
from cassiahill.client_session import Session, Transaction

__all__ = ["Client", "Result", "Session", "Transaction"]


class Client:
    """Client that sends requests to one of several proxies.

    Parameters
    ----------
    addresses : iterable of (str, int)
        Caller ports of the proxies. The client uses one proxy until it drains or fails,
        then the next.
    caller : str
        Name of the caller; used on connections without TLS, where no certificate
        names it.
    ssl_context : ssl.SSLContext or None
        None for connections without TLS.
    budget : retries.RetryBudget or None
        Limit on retries; a budget with the default values when it is None.
    now : callable
        Returns the monotonic time in seconds.
    random_fraction : callable
        Returns a random number in [0, 1).
    pause : callable
        Sleeps for the given number of seconds.
    first_index : int or None
        Index in ``addresses`` of the proxy to start with; random when it is None.
    """

    def __init__(
        self,
        addresses,
        caller,
        *,
        ssl_context=None,
        budget=None,
        now=time.monotonic,
        random_fraction=random.random,
        pause=time.sleep,
        first_index=None,
    ):
        addresses = list(addresses)
        # A fixed start would send all clients to the same proxy.
        first_index = (
            int(random_fraction() * len(addresses))
            if first_index is None
            else first_index
        )
        addresses = addresses[first_index:] + addresses[:first_index]
        self.connections = ProxyConnections(addresses, caller, ssl_context, now)
        self.now = now
        self.random_fraction = random_fraction
        self.pause = pause
        self._budget = budget or retries.RetryBudget()
        self._lock = threading.Lock()

    def session(self, token=None):
        """Return a session; ``token`` continues a session of another process."""
        return Session(self, token)

    def close(self):
        """Close the idle connections."""
        self.connections.close()

    def __enter__(self):
        return self

    def __exit__(self, *_exc):
        self.close()

    def record_request(self):
        """Record a first attempt in the retry budget."""
        with self._lock:
            self._budget.record_request()

    def decide_retry(self, attempt, error):
        """Return ``retries.RetryAt`` or ``retries.Stop`` for a failed attempt."""
        with self._lock:
            return retries.decide_retry(
                attempt, error, self._budget, self.now(), self.random_fraction()
            )

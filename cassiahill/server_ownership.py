"""Which proxy owns which backend server, without I/O."""

import attrs
import xxhash

STABLE_VIEW = 0.5  # seconds without a change of the view before a claim
CLAIM_INTERVAL = 2.0  # seconds between two claims of the same backend server


@attrs.frozen
class OwnerCandidate:
    """A live proxy."""

    name: str
    failure_domain: str
    leaving: bool = False


@attrs.frozen
class Claim:
    """A claim of a backend server's connections."""

    server: str
    epoch: int
    owner: str


def weight(server, proxy):
    """Return the rendezvous weight of a proxy for a backend server."""
    return xxhash.xxh3_64_intdigest(f"{server}\0{proxy}".encode())


def server_owner(server, server_domain, proxies):
    """Return the name of the proxy that owns a backend server.

    Parameters
    ----------
    server, server_domain : str
        Name and failure domain of the backend server.
    proxies : iterable
        Live proxies with ``name``, ``failure_domain`` and ``leaving``, for example
        ``OwnerCandidate``.

    Returns
    -------
    str or None
        None when no proxy is live and staying.
    """
    staying = [proxy for proxy in proxies if not proxy.leaving]
    near = [proxy for proxy in staying if proxy.failure_domain == server_domain]
    return max(
        (proxy.name for proxy in near or staying),
        key=lambda name: (weight(server, name), name),
        default=None,
    )


class ClaimLimiter:
    """When one proxy may claim backend servers.

    Parameters
    ----------
    own_name : str
    now : float
        Instant of the start in seconds; it counts as a change of the view.
    """

    def __init__(self, own_name, now):
        self._own_name = own_name
        self._view = None
        self._changed_at = now
        self._claimed_at_by_server = {}

    def observe_view(self, proxies, now):
        """Take the current view; return whether it differs from the one before."""
        view = frozenset((p.name, p.failure_domain, p.leaving) for p in proxies)
        if view == self._view:
            return False
        self._view = view
        self._changed_at = now
        return True

    def earliest(self, server):
        """Return the instant from which the server may be claimed."""
        stable_at = self._changed_at + STABLE_VIEW
        claimed_at = self._claimed_at_by_server.get(server)
        if claimed_at is None:
            return stable_at
        return max(stable_at, claimed_at + CLAIM_INTERVAL)

    def claim(self, server, known_epoch, now):
        """Return the claim to make now, or None while none may be made.

        Parameters
        ----------
        server : str
        known_epoch : int
            Highest epoch that the server is known to have.
        now : float
        """
        if now < self.earliest(server):
            return None
        self._claimed_at_by_server[server] = now
        return Claim(server, known_epoch + 1, self._own_name)

    def forget(self, server):
        """Drop a backend server that is no longer configured."""
        self._claimed_at_by_server.pop(server, None)

"""Choice of the proxy that owns a backend server, without I/O."""

import attrs
import xxhash

# Time for which the live proxies must not have changed before a claim.
MIN_STABLE_VIEW_SECONDS = 0.5
CLAIM_INTERVAL_SECONDS = 2.0  # Time between two claims of one server.


@attrs.frozen
class OwnerCandidate:
    """A live proxy that may own backend servers."""

    name: str
    failure_domain: str
    leaving: bool = False


@attrs.frozen
class Claim:
    """A claim of a backend server by its new owner, with the owner's epoch."""

    server: str
    epoch: int
    owner: str


def rendezvous_weight(server, proxy):
    """Return the rendezvous weight of a proxy for a backend server."""
    return xxhash.xxh3_64_intdigest(f"{server}\0{proxy}".encode())


def server_owner(server, server_domain, proxies):
    """Return the name of the proxy that owns a backend server.

    Rendezvous hashing chooses among the proxies of the server's failure domain, or
    among all when that domain has none.

    Parameters
    ----------
    server, server_domain : str
        Name and failure domain of the backend server.
    proxies : iterable
        Live proxies with the fields of ``OwnerCandidate``.

    Returns
    -------
    str or None
        None when every live proxy is leaving.
    """
    staying = [proxy for proxy in proxies if not proxy.leaving]
    same_domain = [proxy for proxy in staying if proxy.failure_domain == server_domain]
    return max(
        (proxy.name for proxy in same_domain or staying),
        key=lambda name: (rendezvous_weight(server, name), name),
        default=None,
    )


class ClaimLimiter:
    """Limits when and how often this proxy claims backend servers.

    Parameters
    ----------
    own_name : str
    now : float
        Instant of the start in seconds; it counts as a change of the live proxies.
    """

    def __init__(self, own_name, now):
        self._own_name = own_name
        self._observed_proxies = None
        self._changed_at = now
        self._claimed_at_by_server = {}

    def observe_view(self, proxies, now):
        """Record the live proxies and return whether they changed.

        Parameters
        ----------
        proxies : iterable of OwnerCandidate
        now : float
            Instant in seconds.
        """
        observed = frozenset(
            (proxy.name, proxy.failure_domain, proxy.leaving) for proxy in proxies
        )
        if observed == self._observed_proxies:
            return False
        self._observed_proxies = observed
        self._changed_at = now
        return True

    def earliest_claim_at(self, server):
        """Return the instant from which the server may be claimed."""
        stable_at = self._changed_at + MIN_STABLE_VIEW_SECONDS
        claimed_at = self._claimed_at_by_server.get(server)
        if claimed_at is None:
            return stable_at
        return max(stable_at, claimed_at + CLAIM_INTERVAL_SECONDS)

    def claim(self, server, known_epoch, now):
        """Return the claim to make now, or None while no claim is allowed.

        Parameters
        ----------
        server : str
        known_epoch : int
            Highest epoch that the server is known to have.
        now : float
            Instant in seconds.
        """
        if now < self.earliest_claim_at(server):
            return None
        self._claimed_at_by_server[server] = now
        return Claim(server, known_epoch + 1, self._own_name)

    def forget_server(self, server):
        """Delete the state of a backend server that was removed from the settings."""
        self._claimed_at_by_server.pop(server, None)

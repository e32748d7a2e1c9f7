"""Settings of one session proxy."""

import attrs

from cassiahill import rate_limits

DEFAULT_CHANGE_SECONDS = 5.0


@attrs.frozen
class SessionProxySettings:
    """Settings of one process.

    Attributes
    ----------
    name : str
    failure_domain : str
    client_address : tuple of (str, int)
        Where clients connect.
    readiness_address : tuple of (str, int)
        Where the balancer asks whether to send clients.
    peer_address : tuple of (str, int)
        Where heartbeats, metrics and the state dump are served.
    relay_address : tuple of (str, int)
        Where other proxies connect to relay sessions.
    seed_addresses : tuple of tuple
        Addresses of proxies to ask for the deployment while the store does not answer.
    grace_seconds : float
        Time between the request to stop and the kill of the process.
    revocation_seconds : float or None
        Time after the store's acknowledgement from which on a key that was taken away
        must not be accepted anywhere; None if the deployment does not limit it.
    change_seconds : float
        Time after the store's acknowledgement from which on a change of the
        configuration must be in force.
    region_by_domain : dict of str to str
        Region of each failure domain; empty in a deployment without regions.
    rate_tolerance : rate_limits.RateTolerance
        By how much the operations of a tenant may exceed its limit.
    """

    name: str
    failure_domain: str
    client_address: tuple
    readiness_address: tuple
    peer_address: tuple
    relay_address: tuple
    seed_addresses: tuple
    grace_seconds: float
    revocation_seconds: float | None = None
    change_seconds: float = DEFAULT_CHANGE_SECONDS
    region_by_domain: dict = attrs.field(factory=dict, hash=False)
    rate_tolerance: rate_limits.RateTolerance = rate_limits.RateTolerance()

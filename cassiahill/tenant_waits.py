"""How long each tenant's requests waited for connections, for operators; no I/O."""

import heapq
import math

import attrs

SHOWN_TENANTS = 10
AVERAGE_SECONDS = 60.0  # Time constant of the waiting time by tenant.


@attrs.define
class TenantWait:
    """Waiting time of one tenant's requests.

    Attributes
    ----------
    seconds : float
        Sum of the waits, which fades with ``AVERAGE_SECONDS``.
    updated_at : float
        Instant to which ``seconds`` belongs.
    longest_seconds : float
        Longest wait since the start.
    """

    updated_at: float
    seconds: float = 0.0
    longest_seconds: float = 0.0

    def faded_seconds(self, now):
        """Return the sum of the waits, faded until ``now``."""
        return self.seconds * math.exp((self.updated_at - now) / AVERAGE_SECONDS)


class TenantWaits:
    """Waiting times of all tenants of one group."""

    def __init__(self):
        self._waits_by_tenant = {}

    def record(self, tenant, seconds, now):
        """Record that a tenant's request was served or refused after a wait."""
        if tenant is None:
            return
        wait = self._waits_by_tenant.setdefault(tenant, TenantWait(now))
        wait.seconds = wait.faded_seconds(now) + seconds
        wait.updated_at = now
        wait.longest_seconds = max(wait.longest_seconds, seconds)

    def forget_others(self, tenants):
        """Keep only the waits of these tenants."""
        self._waits_by_tenant = {
            tenant: wait
            for tenant, wait in self._waits_by_tenant.items()
            if tenant in tenants
        }

    def dump(self, now):
        """Return the tenants with the longest recent waits, longest first."""
        most = heapq.nlargest(
            SHOWN_TENANTS,
            self._waits_by_tenant.items(),
            key=lambda item: item[1].faded_seconds(now),
        )
        return [
            {
                "tenant": tenant,
                "waited": wait.faded_seconds(now),
                "longest": wait.longest_seconds,
            }
            for tenant, wait in most
        ]

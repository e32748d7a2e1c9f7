"""Start-time fair queueing of the tenants' requests; does no I/O.

The order is meant for one tenant that sends many times its usual load while servers
have no free slot: its requests wait behind one another and not before those of others.
A request's tag is the virtual time at which it would start if each tenant had its own
server, as fast as the tenant's weight says. Smaller tags are served first.
"""

import math

import attrs

MIN_TENANTS_TO_FORGET = 64  # With fewer, looking for idle tenants is not worth it.


def weights(directory):
    """Return the weight of each tenant, by name.

    The weight is the tenant's rate, and at least the mean of all limited rates: with
    less, the second of two requests of a small tenant would wait for 1 / rate, behind
    a large one's whole queue. A tenant without a limit has the mean.

    Parameters
    ----------
    directory : tenants.TenantDirectory

    Returns
    -------
    dict of str to float
    """
    rates = [tenant.rate for tenant in directory.by_name.values()]
    limited = [rate for rate in rates if 0.0 < rate < math.inf]
    mean = sum(limited) / len(limited) if limited else 1.0
    return {
        name: max(mean, tenant.rate) if tenant.rate < math.inf else mean
        for name, tenant in directory.by_name.items()
    }


@attrs.define
class FairOrder:
    """Tags of the requests that wait with the same priority.

    Attributes
    ----------
    virtual_time : float
        Largest start tag of a request that was served.
    """

    virtual_time: float = 0.0
    _finish_tags_by_tenant: dict = attrs.field(factory=dict)

    def start_tag(self, tenant, weight):
        """Return the tag of a tenant's next request, and charge the tenant for it.

        Parameters
        ----------
        tenant : str or None
        weight : float
            Requests per unit of virtual time.
        """
        if len(self._finish_tags_by_tenant) >= MIN_TENANTS_TO_FORGET:
            self._forget_idle_tenants()
        tag = max(self.virtual_time, self._finish_tags_by_tenant.get(tenant, 0.0))
        self._finish_tags_by_tenant[tenant] = tag + 1.0 / weight
        return tag

    def refund(self, tenant, weight):
        """Take back the charge for a request that was not served.

        Otherwise a tenant whose flood was refused would stay behind the others long
        after it has ended.
        """
        finish_tag = self._finish_tags_by_tenant.get(tenant, 0.0) - 1.0 / weight
        if finish_tag <= self.virtual_time:
            self._finish_tags_by_tenant.pop(tenant, None)
        else:
            self._finish_tags_by_tenant[tenant] = finish_tag

    def record_served(self, start_tag):
        """Advance the virtual time to the tag of a request that is served."""
        self.virtual_time = max(self.virtual_time, start_tag)

    def _forget_idle_tenants(self):
        """Drop the tags that no longer delay a request."""
        self._finish_tags_by_tenant = {
            tenant: finish_tag
            for tenant, finish_tag in self._finish_tags_by_tenant.items()
            if finish_tag > self.virtual_time
        }

"""Tenants: callers that hold keys, with limits on their rate of operations.

Sessions and relays hold digests only, and log lines hold neither keys nor digests. The
keys are in the document of the configuration, which proxies also get from one another.
"""

import hashlib
import math

import attrs

KEY_DIGEST_BYTES = 16
LOWEST_PRIORITY = 9


def digest_key(key):
    """Return the digest of a caller's key, as text.

    Parameters
    ----------
    key : str
    """
    return hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()


@attrs.frozen
class Tenant:
    """A tenant of one version of the configuration.

    Attributes
    ----------
    name : str
        Told to backend servers.
    key_digests : frozenset of str
        Digests of the keys that its callers may present.
    rate : float
        Operations per second that all proxies together may start; infinite without a
        limit.
    burst : float
        Operations beyond the rate that it may start at once.
    priority : int
        0 is the most urgent.
    """

    name: str
    key_digests: frozenset = attrs.field(repr=False)
    rate: float = math.inf
    burst: float = math.inf
    priority: int = LOWEST_PRIORITY

    @property
    def is_limited(self):
        """Whether its operations are limited."""
        return math.isfinite(self.rate + self.burst)


@attrs.frozen
class TenantDirectory:
    """All tenants of one version of the configuration.

    Attributes
    ----------
    by_name : dict of str to Tenant
    by_key_digest : dict of str to Tenant
    names_by_shared_digest : dict of str to set of str
        Names of the tenants that hold a digest which several hold.
    """

    by_name: dict
    by_key_digest: dict = attrs.field(repr=False)
    names_by_shared_digest: dict = attrs.field(factory=dict, repr=False)

    @classmethod
    def from_tenants(cls, tenants):
        """Return the directory of an iterable of tenants.

        A key that several tenants hold identifies none of them.
        """
        by_name = {}
        by_key_digest = {}
        names_by_shared_digest = {}
        for tenant in tenants:
            by_name[tenant.name] = tenant
            for digest in tenant.key_digests:
                first = by_key_digest.setdefault(digest, tenant)
                if first is not tenant:
                    names = names_by_shared_digest.setdefault(digest, {first.name})
                    names.add(tenant.name)
        for digest in names_by_shared_digest:
            del by_key_digest[digest]
        return cls(by_name, by_key_digest, names_by_shared_digest)

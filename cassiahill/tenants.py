"""Tenants: callers that hold keys, with limits on their rate of operations.

Keys are kept and passed on as digests only, so that no message between proxies, dump or
log line can hold one.
"""

import hashlib
import math

import attrs

KEY_DIGEST_BYTES = 16


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
    """

    name: str
    key_digests: frozenset = attrs.field(repr=False)
    rate: float = math.inf
    burst: float = math.inf


@attrs.frozen
class TenantDirectory:
    """All tenants of one version of the configuration.

    Attributes
    ----------
    by_name : dict of str to Tenant
    by_key_digest : dict of str to Tenant
    """

    by_name: dict
    by_key_digest: dict = attrs.field(repr=False)

    @classmethod
    def from_tenants(cls, tenants):
        """Return the directory of an iterable of tenants.

        A key that several tenants hold identifies none of them.
        """
        by_name = {}
        by_key_digest = {}
        shared_digests = set()
        for tenant in tenants:
            by_name[tenant.name] = tenant
            for digest in tenant.key_digests:
                if by_key_digest.setdefault(digest, tenant) is not tenant:
                    shared_digests.add(digest)
        for digest in shared_digests:
            del by_key_digest[digest]
        return cls(by_name, by_key_digest)

"""Checks whether a session's caller may run a statement now.

The checks concern callers with a key only: they pass on public routes and in a
deployment without tenants.
"""

import enum

import attrs

from cassiahill import errors
from cassiahill.statements import Code, Reply

OLD_CONFIGURATION_DETAIL = "the configuration may be outdated"


class RefusalReason(enum.Enum):
    """Why a caller is refused; a label of a metric."""

    UNKNOWN_KEY = "unknown_key"
    REVOKED_KEY = "revoked_key"
    OLD_CONFIGURATION = "old_configuration"
    RATE_LIMIT = "rate_limit"


@attrs.frozen
class Caller:
    """Who uses a session.

    Attributes
    ----------
    key_digest : str
        Digest of the key with which the session was opened.
    tenant : str or None
        None if the session needed no key when it was opened.
    """

    key_digest: str = attrs.field(repr=False)
    tenant: str | None


def _is_always_young_enough(_now):
    return True


def _always_admit(_tenant_name, _now):
    return True


def _ignore_refusal(_reason):
    pass


class CallerChecks:
    """Identifies callers and decides whether their statements are refused.

    Parameters
    ----------
    get_configuration : callable
        Returns the present ``catalog.Configuration``.
    clock : clock.Clock
    is_young_enough : callable
        Takes the present instant; returns whether the configuration is proved young
        enough to rely on its keys.
    admit : callable
        Takes a tenant's name and the present instant; returns whether the tenant may
        start an operation, which is then counted against its limit.
    count_refusal : callable
        Called with the ``RefusalReason`` of each refusal.
    """

    def __init__(
        self,
        get_configuration,
        clock,
        is_young_enough=_is_always_young_enough,
        admit=_always_admit,
        count_refusal=_ignore_refusal,
    ):
        self._get_configuration = get_configuration
        self._clock = clock
        self._is_young_enough = is_young_enough
        self._admit = admit
        self._count_refusal = count_refusal

    def identify(self, route, key_digest):
        """Return the ``Caller`` that opens a session.

        Parameters
        ----------
        route : catalog.Route
            Route of the session's database.
        key_digest : str

        Raises
        ------
        errors.Unauthenticated
            If the route needs a key and no tenant holds this one.
        errors.ConfigurationUnproved
            If the key is not known, but the configuration may lack newer keys.
        """
        tenants = self._get_configuration().tenants
        if tenants is None or route.public:
            return Caller(key_digest, None)
        tenant = tenants.by_key_digest.get(key_digest)
        if tenant is None and not self._is_young_enough(self._clock.now()):
            self._count_refusal(RefusalReason.OLD_CONFIGURATION)
            raise errors.ConfigurationUnproved(OLD_CONFIGURATION_DETAIL)
        if tenant is None:
            self._count_refusal(RefusalReason.UNKNOWN_KEY)
            raise errors.Unauthenticated("the key is not known")
        return Caller(key_digest, tenant.name)

    def needs_keys(self):
        """Return whether the deployment has tenants, so that callers have keys."""
        return self._get_configuration().tenants is not None

    def renew(self, caller, route):
        """Return the caller with the tenant that holds its key now.

        A route may come to need a key, and a key may pass to another tenant, while the
        session is open. A caller whose key is not in force is returned unchanged.
        """
        tenants = self._get_configuration().tenants
        tenant_name = None
        if tenants is not None and not route.public:
            holder = tenants.by_key_digest.get(caller.key_digest)
            tenant_name = caller.tenant if holder is None else holder.name
        if tenant_name == caller.tenant:
            return caller
        return Caller(caller.key_digest, tenant_name)

    def is_in_force(self, caller, route):
        """Return whether a caller needs no key or its tenant still holds its key."""
        tenants = self._get_configuration().tenants
        if tenants is None or route.public:
            return True
        tenant = tenants.by_key_digest.get(caller.key_digest)
        return tenant is not None and tenant.name == caller.tenant

    def refusal(self, caller, route, starts_operation):
        """Return the reply that refuses a statement, or None if it may run.

        Parameters
        ----------
        caller : Caller
        route : catalog.Route
        starts_operation : bool
            Whether the statement is a single one or begins a transaction.

        Returns
        -------
        statements.Reply or None
            With the code ``BUSY`` or ``UNAUTHENTICATED``; the statement has not run.
        """
        if self._get_configuration().tenants is None or route.public:
            return None
        now = self._clock.now()
        if not self._is_young_enough(now):
            self._count_refusal(RefusalReason.OLD_CONFIGURATION)
            return Reply(code=Code.BUSY, detail=OLD_CONFIGURATION_DETAIL)
        if not self.is_in_force(caller, route):
            self._count_refusal(RefusalReason.REVOKED_KEY)
            return Reply(
                code=Code.UNAUTHENTICATED, detail="the key is no longer in force"
            )
        if starts_operation and not self._admit(caller.tenant, now):
            self._count_refusal(RefusalReason.RATE_LIMIT)
            return Reply(code=Code.BUSY, detail="the tenant is at its rate limit")
        return None

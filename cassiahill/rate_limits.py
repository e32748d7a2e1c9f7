"""Admits the operations of tenants within their limits; does no I/O.

The decision is meant for tenants between less than one and some hundred operations per
second, whose traffic reaches few proxies or all, and for floods of one tenant. The
limit holds over all proxies in each span of the window: a proxy admits with a token
bucket of the share that it may use now (``rate_shares``). The shares add up to at most
the whole, so all buckets together hold at most the burst, and gain tokens at no more
than the rate.

The tolerance is divided: one part enlarges the burst, because a burst of few operations
that is divided among proxies would refuse what comes together by chance. A smaller part
is an allowance for the first operations of a tenant whose part is lent to others. The
rest is left for operations that wait between admission and execution.
"""

import collections
import math

import attrs

from cassiahill import event_log, rate_shares, rendezvous

BURST_SLACK_SHARE = 1 / 2
BURST_EXCESS_SHARE = 1 / 2
ALLOWANCE_SLACK_SHARE = 3 / 8
ALLOWANCE_EXCESS_SHARE = 1 / 8
DEMAND_SECONDS = 4.0  # Time constant of the average demand.
# The average of a tenant that is new here is taken over at least this time.
MIN_DEMAND_SECONDS = 0.5
# A tenant that is used again within this time still has a share.
RECENT_USE_SECONDS = 60.0
LOG_INTERVAL_SECONDS = 5.0
DUMPED_TENANTS = 10


@attrs.frozen
class RateTolerance:
    """By how much the operations in a window may exceed a limit.

    Attributes
    ----------
    window_seconds : float
    excess : float
        Fraction of the limit.
    slack : float
        Number of operations.
    """

    window_seconds: float = 1.0
    excess: float = 0.0
    slack: float = 0.0

    def burst_for(self, tenant):
        """Return the burst that the buckets of all proxies together may hold."""
        limit = tenant.rate * self.window_seconds + tenant.burst
        if limit <= 0.0:
            return 0.0
        excess_operations = BURST_EXCESS_SHARE * self.excess * limit
        return tenant.burst + BURST_SLACK_SHARE * self.slack + excess_operations

    def allowance_for(self, tenant):
        """Return how many operations per window are admitted without a share."""
        limit = tenant.rate * self.window_seconds + tenant.burst
        if limit <= 0.0:
            return 0
        excess_operations = ALLOWANCE_EXCESS_SHARE * self.excess * limit
        return math.floor(ALLOWANCE_SLACK_SHARE * self.slack + excess_operations)


@attrs.define
class TokenBucket:
    """Tokens for the operations of one tenant at one proxy.

    Attributes
    ----------
    tokens : float
    updated_at : float
    """

    tokens: float
    updated_at: float

    def advance(self, rate, capacity, now):
        """Add the tokens since the last call, and drop what exceeds the capacity.

        Parameters
        ----------
        rate : float
            Tokens per second.
        capacity : float
        now : float
        """
        elapsed_seconds = max(0.0, now - self.updated_at)
        self.tokens = min(capacity, self.tokens + rate * elapsed_seconds)
        self.updated_at = max(now, self.updated_at)

    def take(self):
        """Take one token; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@attrs.define
class TenantUse:
    """One tenant's operations at this proxy.

    Attributes
    ----------
    bucket : TokenBucket
    used_at : float
        Instant of the last operation.
    started_at : float
        Instant of the first one.
    demand : float
        Operations per second, refused ones included, weighted by their age.
    refused_count : int
    allowance : int or None
        Operations per window that are admitted without tokens; None until computed.
    allowance_used_at : collections.deque of float
        Instants at which such operations were admitted.
    logged_at : float
        Instant of the last log line.
    """

    bucket: TokenBucket
    used_at: float
    started_at: float
    demand: float = 0.0
    refused_count: int = 0
    allowance: int | None = None
    allowance_used_at: collections.deque = attrs.field(factory=collections.deque)
    logged_at: float = -math.inf

    def demand_at(self, now):
        """Return the average demand at an instant, over the time of use so far."""
        observed_seconds = max(MIN_DEMAND_SECONDS, now - self.started_at)
        observed_weight = 1.0 - math.exp(-observed_seconds / DEMAND_SECONDS)
        return self._weighted_demand(now) / observed_weight

    def record_operation(self, now):
        """Add an operation to the demand."""
        self.demand = self._weighted_demand(now) + 1.0 / DEMAND_SECONDS
        self.used_at = now

    def _weighted_demand(self, now):
        elapsed_seconds = max(0.0, now - self.used_at)
        return self.demand * math.exp(-elapsed_seconds / DEMAND_SECONDS)

    def take_allowance(self, window_seconds, now):
        """Return whether the allowance of the window still has room, and use it."""
        while self.allowance_used_at and (
            self.allowance_used_at[0] <= now - window_seconds
        ):
            self.allowance_used_at.popleft()
        if len(self.allowance_used_at) >= self.allowance:
            return False
        self.allowance_used_at.append(now)
        return True


class RateLimits:
    """Admission of all tenants' operations at this proxy.

    Parameters
    ----------
    own_name : str
    tolerance : RateTolerance
    now : float
        Start of the process.
    rank_owners : callable or None
        Takes a tenant's name and returns the owners, those first that serve it; None
        for the order of rendezvous hashing.

    Attributes
    ----------
    lease : rate_shares.RateLease
    owner_names : frozenset of str
        Proxies that have a static part of each limit.
    admitted_count, refused_count : int
    """

    def __init__(self, own_name, tolerance, now, rank_owners=None):
        self._own_name = own_name
        self._tolerance = tolerance
        self._started_at = now
        self._rank_owners = rank_owners or self._rank_by_hash
        self._uses_by_tenant = {}
        self._tenants_by_name = {}
        self._expected_names = frozenset()
        self.lease = rate_shares.RateLease(now)
        self.owner_names = frozenset()
        self.admitted_count = 0
        self.refused_count = 0

    @property
    def limits_tenants(self):
        """Whether there are tenants."""
        return bool(self._tenants_by_name)

    def install(self, directory, now):
        """Apply the limits of a new configuration.

        Parameters
        ----------
        directory : tenants.TenantDirectory or None
        now : float
        """
        self._advance_all(now)
        self._tenants_by_name = {} if directory is None else directory.by_name
        for name in list(self._uses_by_tenant):
            tenant = self._tenants_by_name.get(name)
            if tenant is not None and tenant.is_limited:
                self._uses_by_tenant[name].allowance = None
            else:
                del self._uses_by_tenant[name]

    def set_owners(self, owner_names, now):
        """Set the proxies that have a static part; empty while they are unknown."""
        owner_names = frozenset(owner_names)
        if owner_names == self.owner_names:
            return
        self._advance_all(now)
        self.owner_names = owner_names
        for use in self._uses_by_tenant.values():
            use.allowance = None

    def expect_tenants(self, names, now):
        """Set the tenants whose sessions are sent to this proxy.

        They are reported with a small demand before their first operation, so that it
        finds a share and tokens. A loan goes to those that report demand.
        """
        self._expected_names = frozenset(
            name
            for name in names
            if name in self._tenants_by_name and self._tenants_by_name[name].is_limited
        )
        for name in self._expected_names - self._uses_by_tenant.keys():
            use = self._start_use(self._tenants_by_name[name], now)
            self._uses_by_tenant[name] = use

    def admit(self, tenant_name, now):
        """Return whether an operation that a tenant starts is within its limit.

        An admitted operation is counted.

        Parameters
        ----------
        tenant_name : str
        now : float
        """
        tenant = self._tenants_by_name.get(tenant_name)
        if tenant is None or not tenant.is_limited:
            return True
        use = self._uses_by_tenant.get(tenant_name)
        if use is None:
            use = self._uses_by_tenant[tenant_name] = self._start_use(tenant, now)
        use.record_operation(now)
        self._advance(tenant, use.bucket, now)
        if use.allowance is None:
            use.allowance = self._allowance_for(tenant)
        if use.bucket.take() or self._take_allowance(use, now):
            self.admitted_count += 1
            return True
        self.refused_count += 1
        use.refused_count += 1
        if now - use.logged_at >= LOG_INTERVAL_SECONDS:
            use.logged_at = now
            event_log.event(
                "rate_limited",
                tenant=tenant_name,
                refused=use.refused_count,
                share=round(self._share(tenant_name, now), 4),
                lent=self.lease.is_lent(now),
            )
        return False

    def report(self, promoter_name, now):
        """Return the report for a promoter; see ``rate_shares.RateLease.report``."""
        self._forget_unused(now)
        demand_by_tenant = {
            name: round(max(use.demand_at(now), self._expected_demand(name)), 3)
            for name, use in self._uses_by_tenant.items()
        }
        is_owner = self._own_name in self.owner_names
        return self.lease.report(promoter_name, is_owner, demand_by_tenant, now)

    def accept(self, promoter_name, answer, sent_at, now):
        """Take over a promoter's answer; see ``rate_shares.RateLease.accept``."""
        self._advance_all(now)
        return self.lease.accept(promoter_name, answer, sent_at, now)

    def dump(self, now):
        """Return counts and the tenants that were refused most, as plain values."""
        refused_most = sorted(
            (item for item in self._uses_by_tenant.items() if item[1].refused_count),
            key=lambda item: -item[1].refused_count,
        )[:DUMPED_TENANTS]
        return {
            "admitted": self.admitted_count,
            "refused": self.refused_count,
            "owners": len(self.owner_names),
            "lent": self.lease.is_lent(now),
            "refused_most": {
                name: {
                    "refused": use.refused_count,
                    "demand": round(use.demand_at(now), 3),
                    "share": round(self._share(name, now), 4),
                }
                for name, use in refused_most
            },
        }

    @property
    def _static_share(self):
        if self._own_name not in self.owner_names:
            return 0.0
        return 1.0 / len(self.owner_names)

    def _expected_demand(self, tenant_name):
        """Return the least demand to report for a tenant."""
        is_expected = tenant_name in self._expected_names
        return rate_shares.FULLY_RAISED_DEMAND if is_expected else 0.0

    def _share(self, tenant_name, now):
        """Return the fraction of a tenant's limit that this proxy may use now."""
        phases = self.lease.phases(tenant_name, self._static_share, now, now)
        return phases[-1][1]

    def _start_use(self, tenant, now):
        """Return the use of a tenant that was not used here recently.

        The static part belongs to this proxy alone, so its tokens have gathered since
        it may be used. A loan starts without tokens, because it is lent to those that
        report demand.
        """
        use = TenantUse(TokenBucket(0.0, now), now, now)
        static_from = self.lease.static_from
        if not self.lease.is_lent(now) and static_from <= now:
            gathered_since = max(static_from, self.lease.lent_until)
            use.bucket.updated_at = gathered_since
            self._advance(tenant, use.bucket, now)
        return use

    def _advance_all(self, now):
        for name, use in self._uses_by_tenant.items():
            self._advance(self._tenants_by_name[name], use.bucket, now)

    def _advance(self, tenant, bucket, now):
        """Bring a bucket up to date through the phases since it was last used."""
        burst = self._tolerance.burst_for(tenant)
        for ends_at, share in self.lease.phases(
            tenant.name, self._static_share, bucket.updated_at, now
        ):
            bucket.advance(share * tenant.rate, share * burst, ends_at)

    def _allowance_for(self, tenant):
        """Return this proxy's part of a tenant's allowance, a whole number.

        What cannot be divided equally goes to the owners that serve the tenant if it is
        a small one.
        """
        if self._own_name not in self.owner_names:
            return 0
        count, remainder = divmod(
            self._tolerance.allowance_for(tenant), len(self.owner_names)
        )
        if remainder:
            count += self._own_name in self._rank_owners(tenant.name)[:remainder]
        return count

    def _rank_by_hash(self, tenant_name):
        return rendezvous.rank(tenant_name, self.owner_names)

    def _take_allowance(self, use, now):
        """Use the allowance, except in the first window.

        A former run of this process may have used its own in that window.
        """
        window_seconds = self._tolerance.window_seconds
        if now - self._started_at < window_seconds:
            return False
        return use.take_allowance(window_seconds, now)

    def _forget_unused(self, now):
        """Forget tenants that were not used recently and whose bucket is full."""
        for name, use in list(self._uses_by_tenant.items()):
            recently_used = now - use.used_at < RECENT_USE_SECONDS
            if recently_used or name in self._expected_names:
                continue
            tenant = self._tenants_by_name[name]
            self._advance(tenant, use.bucket, now)
            burst = self._tolerance.burst_for(tenant)
            if use.bucket.tokens >= self._share(name, now) * burst:
                del self._uses_by_tenant[name]

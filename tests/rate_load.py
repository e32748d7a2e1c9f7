"""Load of many tenants on a fleet of owners, in virtual time.

The traffic falls with the tenant's rank; the domains' traffic differs and rises and
falls at different phases. A small tenant is served by one owner of each group, a large
one by all owners of the operation's domain.
"""

import collections
import itertools
import math
import random

import attrs

from cassiahill import rendezvous
from tests.rate_fleet import TOLERANCE, RateFleet, directory

DOMAIN_SHARES = {"east": 0.37, "middle": 0.35, "west": 0.28}
GROUPS = ("orders", "stock", "people", "books")
TENANT_COUNT = 79
LARGEST_TRAFFIC = 150.0
TRAFFIC_EXPONENT = 1.2
LIMIT_PER_TRAFFIC = 1.6
LARGE_TENANTS = 2  # Those with more than a tenth of the sum of all rates.
WAVE_SHARE = 0.27
WAVE_SECONDS = 40.0
STEP_SECONDS = 0.02


@attrs.define
class TenantOutcome:
    """Operations of one tenant.

    Attributes
    ----------
    offered, admitted : int
    within_limit : int
        Operations that a counter over all proxies, without tolerance, lets pass.
    lost : int
        Those of them that were refused.
    """

    offered: int = 0
    admitted: int = 0
    within_limit: int = 0
    lost: int = 0


class PlainLimit:
    """A sliding window over all proxies, which knows every operation at once."""

    def __init__(self, rate, burst):
        self.most = rate * TOLERANCE.window_seconds + burst
        self._counted_at = collections.deque()

    def count(self, now):
        """Return whether one more operation is within the limit, and count it then."""
        while self._counted_at and self._counted_at[0] <= now - (
            TOLERANCE.window_seconds
        ):
            self._counted_at.popleft()
        if len(self._counted_at) + 1 > self.most:
            return False
        self._counted_at.append(now)
        return True


class RateLoad:
    """Plays the load; see the module's description.

    Attributes
    ----------
    fleet : RateFleet
    traffic_by_tenant : dict of str to float
        Usual operations per second.
    flooding : str or None
        Tenant whose traffic is multiplied by ``flood_factor``.
    outcomes : dict of str to TenantOutcome
        Since the last call of ``forget_outcomes``.
    """

    def __init__(self, seed=1):
        self._rng = random.Random(seed)
        self.traffic_by_tenant = {
            f"tenant-{rank}": LARGEST_TRAFFIC * rank**-TRAFFIC_EXPONENT
            for rank in range(1, TENANT_COUNT + 1)
        }
        self.owners = {
            f"{group}-{domain}-{number}": domain
            for group in GROUPS
            for domain in DOMAIN_SHARES
            for number in (1, 2)
        }
        names = list(self.owners)
        random.Random(seed).shuffle(names)
        self.fleet = RateFleet(names, self.tenants())
        self.flooding = None
        self.flood_factor = 7.5
        self.limits = {
            name: PlainLimit(tenant.rate, tenant.burst)
            for name, tenant in self.fleet.tenants.by_name.items()
        }
        self._owners_by_tenant_and_domain = self._choose_owners()
        self.forget_outcomes()

    def tenants(self, **factors):
        """Return the tenants with their usual limits, times given factors."""
        limits = {}
        for name, traffic in self.traffic_by_tenant.items():
            limit = LIMIT_PER_TRAFFIC * traffic * factors.get(name, 1.0)
            limits[name] = (limit, max(1.0, limit))
        return directory(**limits)

    def start(self, promoter, seconds=0.0):
        """Elect a promoter that all know, and play."""
        self.fleet.elect(promoter)
        self.fleet.learn_promoter_everywhere()
        self.play(seconds)
        self.forget_outcomes()

    def forget_outcomes(self):
        """Start new counts."""
        self.outcomes = collections.defaultdict(TenantOutcome)

    def total(self, without=()):
        """Return the sum of the outcomes of all tenants but some."""
        total = TenantOutcome()
        for name, outcome in self.outcomes.items():
            if name not in without:
                total.offered += outcome.offered
                total.admitted += outcome.admitted
                total.within_limit += outcome.within_limit
                total.lost += outcome.lost
        return total

    def play(self, seconds):
        """Play the load for a while."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.fleet.advance(STEP_SECONDS)
            self._offer_operations()

    def _choose_owners(self):
        chosen = {}
        domains = dict.fromkeys(self.owners, "")
        for rank, name in enumerate(self.traffic_by_tenant, 1):
            ranked = rendezvous.rank_by_domain(name, domains)[""]
            for domain in DOMAIN_SHARES:
                if rank <= LARGE_TENANTS:
                    names = [owner for owner in ranked if self.owners[owner] == domain]
                else:
                    names = [
                        next(owner for owner in ranked if owner.startswith(group))
                        for group in GROUPS
                    ]
                chosen[name, domain] = names
        return chosen

    def _offer_operations(self):
        now = self.fleet.now
        domain_rates = {
            domain: share
            * (
                1.0
                + WAVE_SHARE
                * math.sin(2.0 * math.pi * (now / WAVE_SECONDS + number / 3.0))
            )
            for number, (domain, share) in enumerate(DOMAIN_SHARES.items())
        }
        sources = list(itertools.product(self.traffic_by_tenant, domain_rates))
        rates = [
            self.traffic_by_tenant[name]
            * domain_rates[domain]
            * (self.flood_factor if name == self.flooding else 1.0)
            for name, domain in sources
        ]
        count = self._poisson(sum(rates) * STEP_SECONDS)
        for name, domain in self._rng.choices(sources, rates, k=count):
            self._offer(name, domain)

    def _poisson(self, mean):
        """Return a random number of events that come independently."""
        count = 0
        elapsed = self._rng.expovariate(1.0)
        while elapsed < mean:
            count += 1
            elapsed += self._rng.expovariate(1.0)
        return count

    def _offer(self, tenant_name, domain):
        owners = self._owners_by_tenant_and_domain[tenant_name, domain]
        owner = self._rng.choice(owners)
        outcome = self.outcomes[tenant_name]
        outcome.offered += 1
        admitted = self.fleet.admit(owner, tenant_name)
        within_limit = self.limits[tenant_name].count(self.fleet.now)
        outcome.admitted += admitted
        outcome.within_limit += within_limit
        outcome.lost += within_limit and not admitted

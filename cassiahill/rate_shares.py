"""Shares of the tenants' rate limits that proxies lend one another; does no I/O.

The decision is meant for demand that is uneven and moves: a small tenant is served by
one owner of each group, the traffic of a failure domain rises and falls, and a flood
comes through few proxies. Each owner has an equal static part of every limit. It gives
the part to the promoter's pot with each heartbeat, and is lent a share by its demand.

At each instant, what all proxies may use of a limit adds up to at most the whole:

- The answer to a heartbeat carries the promoter's time as a stamp, and the next
  heartbeat returns it. An owner promises not to use its part until ``PROMISE_SECONDS``
  after it received the stamp; the promoter lends the part until ``LENT_SECONDS`` after
  it issued the stamp. A stamp is issued before it is received, so the order holds
  however late a heartbeat is processed, whichever answer is lost and whoever is
  suspended.
- A returned stamp also shows which answer the owner has received. Until then, and until
  a replaced loan ends, the pot counts the largest share that the owner may be using.
- An owner contributes to one pot at a time. It promises its part to a new promoter at
  once, which may count it when the promises to others have ended, or earlier when all
  owners have reported what they hold of other pots (the roll call). Then the loans in
  use are all known, and the new promoter takes them over.
- A process that starts does not know what it promised, so it uses nothing of its part
  for ``PROMISE_SECONDS``. It may be lent shares at once.
"""

import math

import attrs

from cassiahill.heartbeats import RateAnswer, RateReport

# Loans outlast a change of the promoter (up to 2.5 s), the restart of the former one
# and two heartbeats, so that its successor can take them over.
PROMISE_SECONDS = 5.0
# The difference allows for clocks that run at slightly different rates.
LENT_SECONDS = 4.9
# A part counts for new loans for this long after the owner's last stamp, so that a
# quick restart does not take it from the pot. Loans then still outlast a change of the
# promoter.
STAMP_MAX_AGE_SECONDS = 2.4
# Added to each reported demand in operations per second, so that the shares of a tenant
# with few operations do not follow each single one. Demand below
# ``FULLY_RAISED_DEMAND`` is raised by less: a proxy that a tenant hardly uses should
# not take a share from one that it uses more.
ADDED_DEMAND = 1.5
FULLY_RAISED_DEMAND = 0.02


def demand_weight(demand):
    """Return the weight of a reported demand in the division of a pot."""
    return demand + ADDED_DEMAND * min(1.0, demand / FULLY_RAISED_DEMAND)


@attrs.define
class RateLease:
    """What one proxy may use of the limits: its static part, a loan, or nothing.

    Attributes
    ----------
    started_at : float
        Start of the process.
    share_by_tenant : dict of str to float
        Fraction of the limit that is lent, by the tenant's name.
    lent_until : float
    """

    started_at: float
    share_by_tenant: dict = attrs.field(factory=dict)
    lent_until: float = -math.inf
    _lending_pot_id: str = ""
    _promoter_name: str | None = None
    _pot_id: str = ""
    _stamp: float = 0.0
    _stamp_received_at: float = 0.0
    _promised_until_by_pot: dict = attrs.field(factory=dict)

    @property
    def static_from(self):
        """Instant from which the static part may be used."""
        return max(
            self.started_at + PROMISE_SECONDS,
            *self._promised_until_by_pot.values(),
            0.0,
        )

    def is_lent(self, now):
        """Return whether a loan is valid."""
        return now < self.lent_until

    def phases(self, tenant_name, static_share, since, now):
        """Return what may be used of a tenant's limit in a span of time.

        Parameters
        ----------
        tenant_name : str
        static_share : float
            Fraction of the limit that is this proxy's static part.
        since, now : float

        Returns
        -------
        list of tuple of (float, float)
            End of each phase and the share that may be used in it, in order. The last
            phase ends at ``now``.
        """
        static_from = self.static_from
        phases = []
        if since < self.lent_until:
            share = self.share_by_tenant.get(tenant_name, 0.0)
            phases.append((min(now, self.lent_until), share))
        if max(since, self.lent_until) < static_from and self.lent_until < now:
            phases.append((min(now, static_from), 0.0))
        if max(static_from, self.lent_until) <= now:
            phases.append((now, static_share))
        return phases

    def report(self, promoter_name, is_owner, demand_by_tenant, now):
        """Return the report for a promoter; promises it the static part.

        Parameters
        ----------
        promoter_name : str
        is_owner : bool
            Whether this proxy has a static part.
        demand_by_tenant : dict of str to float
            Operations per second, refused ones included.
        now : float

        Returns
        -------
        heartbeats.RateReport
        """
        if promoter_name != self._promoter_name:
            self._promoter_name = promoter_name
            self._pot_id = ""
        if not self._pot_id:
            return RateReport("")
        promises = self._promised_until_by_pot
        for pot_id in [pot_id for pot_id, until in promises.items() if until <= now]:
            del promises[pot_id]
        if is_owner:
            promises[self._pot_id] = self._stamp_received_at + PROMISE_SECONDS
        is_free = now >= self.started_at + PROMISE_SECONDS and all(
            pot_id == self._pot_id for pot_id in promises
        )
        holds_foreign = self.is_lent(now) and self._lending_pot_id != self._pot_id
        return RateReport(
            self._pot_id,
            self._stamp,
            is_free,
            demand_by_tenant,
            self.share_by_tenant if holds_foreign else {},
            self.lent_until - now if holds_foreign else 0.0,
        )

    def accept(self, promoter_name, answer, sent_at, now):
        """Take over the answer to a report.

        Parameters
        ----------
        promoter_name : str
            Proxy that answered.
        answer : heartbeats.RateAnswer
        sent_at : float
            Instant at which the report was made.
        now : float

        Returns
        -------
        bool
            Whether another report is due at once, because it can return the first stamp
            of a pot.
        """
        is_reordered = answer.pot_id == self._pot_id and answer.stamp <= self._stamp
        if promoter_name != self._promoter_name or is_reordered:
            return False
        is_first_stamp = answer.pot_id != self._pot_id
        self._pot_id = answer.pot_id
        self._stamp = answer.stamp
        self._stamp_received_at = now
        if answer.valid_seconds > 0.0:
            self._lending_pot_id = answer.pot_id
            self.share_by_tenant = answer.share_by_tenant
            self.lent_until = sent_at + answer.valid_seconds
        return is_first_stamp


@attrs.frozen
class Loan:
    """Shares that one answer lends.

    Attributes
    ----------
    stamp : float
        Stamp of the answer.
    valid_until : float
    share_by_tenant : dict of str to float
    """

    stamp: float
    valid_until: float
    share_by_tenant: dict


@attrs.define
class Party:
    """What the promoter knows of one proxy.

    Attributes
    ----------
    report : heartbeats.RateReport
        The newest report.
    loans : list of Loan
        Those that the proxy may be using, in the order of their stamps.
    foreign_loan : Loan or None
        What it holds of another promoter's pot.
    is_free : bool
        Whether its part is promised to no other pot. A process that has restarted does
        not know; what its former run reported a short time before still counts.
    """

    report: RateReport = attrs.field(factory=lambda: RateReport("", -math.inf))
    loans: list = attrs.field(factory=list)
    foreign_loan: Loan | None = None
    is_free: bool = False

    def is_recent(self, now):
        """Return whether the newest report returned a recent stamp."""
        return now - self.report.stamp <= STAMP_MAX_AGE_SECONDS

    def record(self, report, now):
        """Replace the report, and drop the loans that it shows to be replaced."""
        is_continued = report.stamp - self.report.stamp <= STAMP_MAX_AGE_SECONDS
        self.is_free = report.is_free or (self.is_free and is_continued)
        self.report = report
        received = [loan for loan in self.loans if loan.stamp <= report.stamp]
        self.loans = received[-1:] + self.loans[len(received) :]
        self.foreign_loan = None
        if report.held_share_by_tenant:
            valid_until = now + report.held_seconds
            self.foreign_loan = Loan(0.0, valid_until, report.held_share_by_tenant)

    def drop_ended_loans(self, now):
        """Drop the loans that are no longer valid."""
        self.loans = [loan for loan in self.loans if loan.valid_until > now]
        if self.foreign_loan is not None and self.foreign_loan.valid_until <= now:
            self.foreign_loan = None

    def largest_share(self, tenant_name, now):
        """Return the largest share of a tenant that the proxy may be using."""
        share = 0.0
        if self.foreign_loan is not None:
            share = self.foreign_loan.share_by_tenant.get(tenant_name, 0.0)
        for loan in self.loans:
            if loan.valid_until > now:
                share = max(share, loan.share_by_tenant.get(tenant_name, 0.0))
        return share


class RatePot:
    """The parts of all limits that proxies have given to one promoter.

    Parameters
    ----------
    pot_id : str
        Differs for each term of a promoter.
    """

    def __init__(self, pot_id):
        self.pot_id = pot_id
        self._parties_by_name = {}
        # Most tenants are used at few proxies. The parties of a tenant are those that
        # reported demand for it or hold a loan of it.
        self._parties_by_tenant = {}
        self._last_stamp = -math.inf

    def answer(self, name, report, owner_names, now):
        """Return the answer to a proxy's report.

        Parameters
        ----------
        name : str
        report : heartbeats.RateReport
        owner_names : collection of str
            Proxies that have a static part.
        now : float

        Returns
        -------
        heartbeats.RateAnswer
        """
        stamp = self._last_stamp = max(now, math.nextafter(self._last_stamp, math.inf))
        nothing_lent = RateAnswer(self.pot_id, stamp)
        if report.pot_id != self.pot_id:
            return nothing_lent
        party = self._parties_by_name.setdefault(name, Party())
        if report.stamp < party.report.stamp:
            return nothing_lent
        party.record(report, now)
        for tenant_name in (*report.demand_by_tenant, *report.held_share_by_tenant):
            parties = self._parties_by_tenant.setdefault(tenant_name, {})
            parties[name] = party
        self._drop_ended(now)
        roll_call, contributors = self._contributors(owner_names, now)
        if not contributors or (party.foreign_loan is not None and not roll_call):
            return nothing_lent
        pot_share = len(contributors) / len(owner_names)
        valid_until = min(other.report.stamp for other in contributors) + LENT_SECONDS
        share_by_tenant = self._shares_for(party, pot_share, now)
        party.loans.append(Loan(stamp, valid_until, share_by_tenant))
        return RateAnswer(self.pot_id, stamp, valid_until - now, share_by_tenant)

    def dump(self, owner_names, now):
        """Return the number of owners and of those whose parts are in the pot."""
        roll_call, contributors = self._contributors(owner_names, now)
        return {
            "owners": len(owner_names),
            "contributors": len(contributors),
            "roll_call": roll_call,
        }

    def _drop_ended(self, now):
        """Drop ended loans, and proxies that were not heard and hold none."""
        for name, party in list(self._parties_by_name.items()):
            party.drop_ended_loans(now)
            holds_none = not party.loans and party.foreign_loan is None
            if holds_none and not party.is_recent(now):
                del self._parties_by_name[name]

    def _contributors(self, owner_names, now):
        """Return whether all owners have reported, and those whose parts count."""
        recent_owners = [
            self._parties_by_name[name]
            for name in owner_names
            if name in self._parties_by_name
            and self._parties_by_name[name].is_recent(now)
        ]
        if len(recent_owners) == len(owner_names):
            return True, recent_owners
        return False, [party for party in recent_owners if party.is_free]

    def _shares_for(self, party, pot_share, now):
        """Return a proxy's shares by its demand, of what others may not be using."""
        share_by_tenant = {}
        for tenant_name, demand in party.report.demand_by_tenant.items():
            own_weight = weight = demand_weight(demand)
            in_use = 0.0
            parties = self._parties_by_tenant[tenant_name]
            for name, other in list(parties.items()):
                if other is party:
                    continue
                other_demand = other.report.demand_by_tenant.get(tenant_name)
                other_share = other.largest_share(tenant_name, now)
                if other_demand is not None and other.is_recent(now):
                    weight += demand_weight(other_demand)
                elif other_share <= 0.0:
                    del parties[name]
                in_use += other_share
            share = pot_share * own_weight / weight if weight > 0.0 else 0.0
            share_by_tenant[tenant_name] = max(0.0, min(share, pot_share - in_use))
        return share_by_tenant

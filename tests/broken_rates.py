"""Broken versions of the rate limits, which the search must detect."""

from cassiahill import rate_limits, rate_shares


class EndlessLease(rate_shares.RateLease):
    """Uses what it was lent until it is lent something else."""

    def accept(self, promoter_name, answer, sent_at, now):
        result = super().accept(promoter_name, answer, sent_at, now)
        if self.share_by_tenant:
            self.lent_until = now + 3600.0
        return result


class LimitsWithEndlessLease(rate_limits.RateLimits):
    """Keeps lent shares after the promoter that lent them."""

    def __init__(self, own_name, tolerance, now):
        super().__init__(own_name, tolerance, now)
        self.lease = EndlessLease(now)


class LimitsWithoutWait(rate_limits.RateLimits):
    """Uses its static part at once after a start."""

    def __init__(self, own_name, tolerance, now):
        super().__init__(own_name, tolerance, now)
        self.lease.started_at = now - rate_shares.PROMISE_SECONDS


class LimitsWithFullBucket(LimitsWithoutWait):
    """Starts with a full bucket of its static part for each tenant."""

    def _start_use(self, tenant, now):
        use = super()._start_use(tenant, now)
        use.bucket.tokens = self._static_share * self._tolerance.burst_for(tenant)
        return use


class PotLendsTwice(rate_shares.RatePot):
    """Lends what others may still be using."""

    def _shares_for(self, party, pot_share, now):
        shares = super()._shares_for(party, pot_share, now)
        return dict.fromkeys(shares, pot_share)


class PotDatesByReceipt(rate_shares.RatePot):
    """Takes a report for as young as its receipt, however late that is."""

    def answer(self, name, report, owner_names, now):
        if report.pot_id == self.pot_id:
            report.stamp = now
        return super().answer(name, report, owner_names, now)


BROKEN_LIMITS = {
    "endless lease": {"limits_class": LimitsWithEndlessLease},
    "full bucket at the start": {"limits_class": LimitsWithFullBucket},
    "static part at once": {"limits_class": LimitsWithoutWait},
    "parts lent twice": {"pot_class": PotLendsTwice},
    "late reports count": {"pot_class": PotDatesByReceipt},
}

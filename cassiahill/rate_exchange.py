"""Exchange of rate limits between a proxy and the promoter, carried by heartbeats."""

import msgspec

from cassiahill import rate_shares


class RateExchange:
    """Both sides of the exchange in one process.

    Parameters
    ----------
    clock : clock.Clock
    rate_limits : rate_limits.RateLimits
    """

    def __init__(self, clock, rate_limits):
        self._clock = clock
        self._rate_limits = rate_limits
        self._pot = rate_shares.RatePot("")

    def report(self, promoter_name):
        """Return the ``RateReport`` for a promoter; unset without tenants."""
        if not self._rate_limits.limits_tenants:
            return msgspec.UNSET
        return self._rate_limits.report(promoter_name, self._clock.now())

    def answer(self, name, report, term):
        """Return the ``RateAnswer`` to a proxy's report; asked at the promoter."""
        if self._pot.pot_id != term:
            self._pot = rate_shares.RatePot(term)
        return self._pot.answer(
            name, report, self._rate_limits.owner_names, self._clock.now()
        )

    def apply_answer(self, promoter_name, answer, sent_at):
        """Take over the promoter's answer; return whether to report again at once."""
        now = self._clock.now()
        return self._rate_limits.accept(promoter_name, answer, sent_at, now)

    def dump_pot(self, now):
        """Return the state of the promoter's pot as plain values."""
        return self._pot.dump(self._rate_limits.owner_names, now)

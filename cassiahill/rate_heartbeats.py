"""Decides which heartbeats and answers carry reports on the rate limits."""

import msgspec


class RateHeartbeats:
    """Reports and answers on the rate limits in the heartbeats of one process.

    Parameters
    ----------
    process_state : process_state.ProcessState
    election : promoter_election.PromoterElection
    own_name : str
    """

    def __init__(self, process_state, election, own_name):
        self._process_state = process_state
        self._election = election
        self._own_name = own_name

    def report_for(self, member):
        """Return the report to a member if it is the promoter, or unset."""
        promoter = self._election.promoter
        if promoter is None or promoter.name != member.name:
            return msgspec.UNSET
        return self._process_state.rate_report(member.name)

    def answer(self, name, report):
        """Return the answer to a proxy's report, or unset."""
        term = self._election.own_term
        if report is msgspec.UNSET or term is None:
            return msgspec.UNSET
        return self._process_state.answer_rate_report(name, report, term)

    def apply_answer(self, promoter_name, answer, asked_at):
        """Take over the promoter's answer; return whether to report again at once."""
        if answer is msgspec.UNSET:
            return False
        return self._process_state.apply_rate_answer(promoter_name, answer, asked_at)

    def exchange_own(self, now):
        """Give this process its share of the rate limits; it is the promoter."""
        report = self._process_state.rate_report(self._own_name)
        # The promoter sends itself no heartbeat, so it cannot report again at once.
        self.apply_answer(self._own_name, self.answer(self._own_name, report), now)

"""Broken versions of the session modules; ``test_broken_session`` shows each fail."""

import math

from cassiahill import backend, errors, freshness, outcomes, routing
from cassiahill.freshness import Containment


class MarksIgnored(routing.ReplicaFirstPolicy):
    """Chooses a server without looking at the session's mark."""

    def route(self, request, mark, *state):
        return super().route(request, None, *state)


class AnswersUnchecked(freshness.GroupView):
    """Accepts each answer, also of a server that lost its data in a restart."""

    @staticmethod
    def answer_contains_mark(target, position, mark):
        return True


class ReportTimeAge(freshness.GroupView):
    """Takes the time since a replica's last answer for the age of its data."""

    def answer_age(self, target, position, now):
        return self.age(target.server, now)

    def age(self, server, now):
        status = self.status_by_server.get(server)
        return math.inf if status is None else now - status.received_at


class UnconfirmedAge(freshness.GroupView):
    """Counts a replica's age from a primary that may have been replaced."""

    def age(self, server, now):
        status = self.status_by_server[server]
        for position, sent_at in zip(
            reversed(self._sample_positions), reversed(self._sample_times), strict=True
        ):
            if position <= status.position:
                return now - sent_at
        return math.inf


class SuffixUnchecked(freshness.GroupView):
    """Compares positions without asking whether a promotion dropped a suffix."""

    def contains(self, server, mark):
        status = self.status_by_server.get(server)
        if status is None or status.last_term < mark.term:
            return Containment.WAIT
        return Containment.YES if status.position >= mark.position else Containment.WAIT


def resolve_without_closing(key, digest, term, _created, timeout):
    """Report "not run" for an absent key without closing it."""
    try:
        found = yield outcomes.read_key_batch(key, term, timeout)
    except errors.StatementFailed:
        return outcomes.NotRun(errors.KeyClosed("no table"))
    except errors.CassiahillError as error:
        return outcomes.Unknown(key, error)
    outcome = outcomes._outcome_of_row(found, digest)
    return outcome or outcomes.NotRun(errors.KeyClosed("absent"))


def keyed_write_in_two_transactions(write):
    """Store the key in a transaction of its own, after that of the statement."""
    try:
        found = yield outcomes.read_key_batch(write.key, write.term, write.timeout)
    except errors.StatementFailed:
        yield outcomes.create_table_batch(write.term, write.timeout)
    except errors.CassiahillError as error:
        return outcomes.Unknown(write.key, error)
    else:
        known = outcomes._outcome_of_row(found, write.digest)
        if known is not None:
            return known
    statement = backend.Batch((write.statement,), write.term, False, write.timeout)
    full = outcomes.keyed_write_batch(write)
    key_batch = backend.Batch(full.statements[:1], write.term, False, write.timeout)
    try:
        result = yield statement
        yield key_batch
    except errors.CassiahillError as error:
        return outcomes.Unknown(write.key, error)
    done = result.results[0]
    return outcomes.Done(done, write.server, result.term, result.position)

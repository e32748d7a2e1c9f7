"""Broken versions of the session components, which the tests must detect."""

import math

from cassiahill import backend, errors, freshness, outcomes, routing
from cassiahill.freshness import Containment


class MarkIgnoringPolicy(routing.ReplicaFirstPolicy):
    """Chooses a server without looking at the session's mark."""

    def route(self, request, mark, *routing_state):
        return super().route(request, None, *routing_state)


class UncheckedAnswerView(freshness.GroupView):
    """Accepts every answer, even from a server that lost its data in a restart."""

    @staticmethod
    def answer_contains_mark(target, position, mark):
        return True


class AgeSinceReportView(freshness.GroupView):
    """Uses the time since a replica's last status as the age of its data."""

    def answer_age(self, target, position, now):
        return self.age(target.server, now)

    def age(self, server, now):
        status = self.status_by_server.get(server)
        return math.inf if status is None else now - status.received_at


class UnconfirmedAge(freshness.GroupView):
    """Computes a replica's age without confirming that the primary is current."""

    def age(self, server, now):
        status = self.status_by_server[server]
        for position, sent_at in zip(
            reversed(self._sample_positions), reversed(self._sample_times), strict=True
        ):
            if position <= status.position:
                return now - sent_at
        return math.inf


class UncheckedSuffixView(freshness.GroupView):
    """Compares positions without checking whether a promotion dropped a log suffix."""

    def contains(self, server, mark):
        status = self.status_by_server.get(server)
        if status is None or status.last_term < mark.term:
            return Containment.WAIT
        return Containment.YES if status.position >= mark.position else Containment.WAIT


def resolve_without_closing(key, digest, term, _created_at, timeout):
    """Report "not run" for an absent key without storing a row that closes the key."""
    try:
        key_result = yield outcomes.read_key_batch(key, term, timeout)
    except errors.StatementFailed:
        return outcomes.NotRun(errors.KeyClosed("no table"))
    except errors.CassiahillError as error:
        return outcomes.Unknown(key, error)
    outcome = outcomes._outcome_of_row(key_result, digest)
    return outcome or outcomes.NotRun(errors.KeyClosed("absent"))


def keyed_write_in_two_transactions(write):
    """Run the statement and store its key in two separate transactions."""
    try:
        key_result = yield outcomes.read_key_batch(write.key, write.term, write.timeout)
    except errors.StatementFailed:
        yield outcomes.create_table_batch(write.term, write.timeout)
    except errors.CassiahillError as error:
        return outcomes.Unknown(write.key, error)
    else:
        stored_outcome = outcomes._outcome_of_row(key_result, write.digest)
        if stored_outcome is not None:
            return stored_outcome
    statement_batch = backend.Batch(
        (write.statement,), write.term, False, write.timeout
    )
    keyed_batch = outcomes.keyed_write_batch(write)
    key_batch = backend.Batch(
        keyed_batch.statements[:1], write.term, False, write.timeout
    )
    try:
        result = yield statement_batch
        yield key_batch
    except errors.CassiahillError as error:
        return outcomes.Unknown(write.key, error)
    statement_result = result.results[0]
    return outcomes.Done(statement_result, write.server, result.term, result.position)

"""Deliberately broken versions of the promotion and of the acknowledgement.

``python -m tests.broken_failover NAME`` shows the events by which Hypothesis finds the
fault of one of them.
"""

import sys

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from cassiahill import acknowledgement, promotion
from tests import failover_model


class TrackerWithoutMajority(acknowledgement.AckTracker):
    """Acknowledges a write as soon as the primary has answered."""

    def _is_confirmed(self, write):
        return True


class TrackerIgnoringTerm(acknowledgement.AckTracker):
    """Counts logs that reach the write's position in any term."""

    def _is_confirmed(self, write):
        logs = self._logs_by_server.values()
        return sum(log[1] >= write.position for log in logs) >= self._majority_size


class PromotionWithoutMajority(promotion.Promotion):
    """Promotes without reaching a majority of the servers."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._majority_size = 1


class PromotionOfFirstReplica(promotion.Promotion):
    """Promotes the first replica that answers, even if its log is not the longest."""

    def _candidate_log_ends(self, now):
        log_ends = super()._candidate_log_ends(now)
        first_server = next(
            (server for server in self._log_ends_by_server if server in log_ends), None
        )
        return {} if first_server is None else {first_server: log_ends[first_server]}


def _model(name, **overrides):
    return type(name, (failover_model.FailoverModel,), overrides)


def _make_promotion_of(part_type, shared_id=False):
    def make_promotion(self, promoter, avoided_servers, known_term):
        self.promotion_count += 1
        promotion_id = "observer" if shared_id else f"{promoter}/{self.promotion_count}"
        return part_type(
            failover_model.SERVERS, promotion_id, avoided_servers, known_term, self.rng
        )

    return make_promotion


def _make_tracker_of(part_type):
    return lambda self: part_type(failover_model.SERVERS)


BROKEN_MODELS = {
    "eager-acknowledgement": _model(
        "Eager", make_tracker=_make_tracker_of(TrackerWithoutMajority)
    ),
    "term-ignored": _model(
        "Forgetful", make_tracker=_make_tracker_of(TrackerIgnoringTerm)
    ),
    "no-majority": _model(
        "Lonely", make_promotion=_make_promotion_of(PromotionWithoutMajority)
    ),
    "first-replica": _model(
        "Hasty", make_promotion=_make_promotion_of(PromotionOfFirstReplica)
    ),
    "shared-name": _model(
        "Shared", make_promotion=_make_promotion_of(promotion.Promotion, shared_id=True)
    ),
}

# Left out of the tests, because the search for it takes up to about 15 s, depending on
# the examples.
SLOW_TO_FIND = {"shared-name"}


def run(model, max_examples=2000, max_steps=50):
    """Search for events that violate an invariant of a model.

    Raises
    ------
    AssertionError
        When an invariant is violated.
    """
    run_state_machine_as_test(
        model,
        settings=settings(
            max_examples=max_examples,
            stateful_step_count=max_steps,
            derandomize=True,
            deadline=None,
            database=None,
            phases=(Phase.generate,),
            report_multiple_bugs=False,
        ),
    )


if __name__ == "__main__":
    run(BROKEN_MODELS[sys.argv[1]])

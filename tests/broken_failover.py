"""Deliberately broken versions of the promotion and of the acknowledgement.

Run one with ``python -m tests.broken_failover NAME`` to see hypothesis break it.
"""

import sys

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from cassiahill import acknowledgement, promotion
from tests import failover_model


class EagerTracker(acknowledgement.AckTracker):
    """Acknowledges when the primary answered."""

    def _is_confirmed(self, write):
        return True


class ForgetfulTracker(acknowledgement.AckTracker):
    """Counts logs that contain the position, whatever their term."""

    def _is_confirmed(self, write):
        reports = self._logs_by_server.values()
        return sum(r[1] >= write.position for r in reports) >= self._majority


class LonelyPromotion(promotion.Promotion):
    """Promotes without a majority."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._majority = 1


class HastyPromotion(promotion.Promotion):
    """Promotes the first replica that answers, whatever its log."""

    def _candidate_log_ends(self, now):
        ends = super()._candidate_log_ends(now)
        first = next((s for s in self._log_ends_by_server if s in ends), None)
        return {} if first is None else {first: ends[first]}


def _model(name, **hooks):
    return type(name, (failover_model.FailoverModel,), hooks)


def _promotion_of(cls, shared_name=False):
    def make_promotion(self, name, suspects, known_term):
        self.started += 1
        by = "observer" if shared_name else f"{name}/{self.started}"
        return cls(failover_model.SERVERS, by, suspects, known_term, self.rng)

    return make_promotion


def _tracker_of(cls):
    return lambda self: cls(failover_model.SERVERS)


BROKEN_MODELS = {
    "eager-acknowledgement": _model("Eager", make_tracker=_tracker_of(EagerTracker)),
    "term-ignored": _model("Forgetful", make_tracker=_tracker_of(ForgetfulTracker)),
    "no-majority": _model("Lonely", make_promotion=_promotion_of(LonelyPromotion)),
    "first-replica": _model("Hasty", make_promotion=_promotion_of(HastyPromotion)),
    "shared-name": _model(
        "Shared", make_promotion=_promotion_of(promotion.Promotion, shared_name=True)
    ),
}

# Found by ``python -m tests.broken_failover shared-name`` after about 15 s.
SLOW_TO_FIND = {"shared-name"}


def run(model, examples=2000, steps=50):
    """Search for a violated invariant; raises ``AssertionError`` when one is found."""
    run_state_machine_as_test(
        model,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            database=None,
            phases=(Phase.generate,),
            report_multiple_bugs=False,
        ),
    )


if __name__ == "__main__":
    run(BROKEN_MODELS[sys.argv[1]])

"""Long random histories from fixed seeds, which reach rare combinations of events."""

import random
import unittest

from tests import broken_session as broken
from tests.database_model import SERVER_NAMES
from tests.session_model import FRESHNESS_CHOICES, SessionModel
from tests.session_parts import Components

EVENT_COUNT = 250
SEED_COUNT = 100
BROKEN_SEED_COUNT = 150  # Each broken version must be found within these seeds.


def run_history(components, seed):
    """Return the findings and the operations of one history."""
    model, rng = SessionModel(components), random.Random(seed)
    lag_probability = rng.choice(
        (0.0, 0.3, 0.8)
    )  # Probability that a replica does not pull.
    for _ in range(EVENT_COUNT):
        run_random_event(model, rng, lag_probability)
        if model.findings:
            break
    return model.finish_and_check(), model.recorder.operations


def run_random_event(model, rng, lag_probability):
    """Choose one kind of event at random and run it."""
    event = rng.choices(
        (send_request, deliver_message, replicate, inject_fault, give_up_write),
        weights=(16, 23, 24, 4, 1),
    )[0]
    event(model, rng, lag_probability)


def send_request(model, rng, _lag_probability):
    """Send a write, a resolve request or a read of a random session."""
    session_index, proxy_index, item = (
        rng.randrange(2),
        rng.randrange(2),
        rng.choice("xy"),
    )
    match rng.randrange(4):
        case 0:
            model.write(session_index, proxy_index, item, rng.choice((None, "k")))
        case 1:
            model.resolve(session_index, proxy_index)
        case _:
            model.read(session_index, proxy_index, item, rng.choice(FRESHNESS_CHOICES))


def deliver_message(model, rng, _lag_probability):
    """Run, time out or answer a random batch in flight."""
    index = rng.randrange(9)
    match rng.randrange(10):
        case 0 if model.delayed_batches:
            model.run_delayed_batch(index)
        case 1 if model.sent_requests:
            model.delay_batch(index)
        case 2 if model.sent_requests:
            model.execute_batch(index)
        case 3 | 4 if model.executed_requests:
            model.answer_request(index)
        case _ if model.sent_requests:
            model.complete_batch(index, rng.random() < 0.8)


def replicate(model, rng, lag_probability):
    """Let a replica pull and a proxy poll it; the status may be lost."""
    server, proxy_index = rng.choice(SERVER_NAMES), rng.randrange(2)
    if rng.random() > lag_probability:
        model.pull(server, rng.randint(1, 5))
    model.poll(server, proxy_index, rng.choice((0.0, 0.0, 0.05)))
    if rng.random() < 0.8:
        model.deliver_status(-1)
    else:
        model.lose_status(-1)


def inject_fault(model, rng, _lag_probability):
    """Promote or restart a database, or advance the clock."""
    match rng.randrange(8):
        case 0:
            model.promote(rng.choice(SERVER_NAMES))
        case 1:
            model.promote(model.primary.name)
        case 2:
            model.restart(rng.choice(SERVER_NAMES))
        case _:
            model.advance_time(rng.choice((0.01, 0.1, 0.5)))


def give_up_write(model, rng, _lag_probability):
    """Expire pending acknowledgements; abandon the write of a random session."""
    model.give_up_write(rng.randrange(2))


class LongHistoriesTest(unittest.TestCase):
    def test_no_findings(self):
        """Guards against violations of section 1.3 (1, 5, 6) that need many events.

        A session misses its own writes or earlier reads, or a write is lost or runs
        twice.
        """
        operation_counts = {}
        for seed in range(SEED_COUNT):
            findings, operations = run_history(Components(), seed)
            self.assertEqual(findings, [], f"seed {seed}")
            for operation in operations:
                kind = (operation.kind, operation.outcome)
                operation_counts[kind] = operation_counts.get(kind, 0) + 1
        for kind in (("read", "done"), ("write", "done"), ("write", "not_run")):
            self.assertGreater(
                operation_counts.get(kind, 0), SEED_COUNT // 2, operation_counts
            )

    def test_broken_versions_are_found(self):
        """Guards against random histories that do not reveal a broken version."""
        unchecked_view = broken.UncheckedAnswerView
        for name, components in {
            "marks ignored": Components(
                policy=broken.MarkIgnoringPolicy, view=unchecked_view
            ),
            "age by report time": Components(view=broken.AgeSinceReportView),
            "no closing row": Components(resolve=broken.resolve_without_closing),
            "two transactions": Components(
                keyed_write=broken.keyed_write_in_two_transactions
            ),
            "suffix not checked": Components(view=broken.UncheckedSuffixView),
        }.items():
            with self.subTest(name):
                found = any(
                    run_history(components, seed)[0]
                    for seed in range(BROKEN_SEED_COUNT)
                )
                self.assertTrue(found)

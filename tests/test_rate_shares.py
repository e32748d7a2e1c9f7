"""Tests of ``cassiahill.rate_shares``."""

import unittest

from cassiahill.heartbeats import RateAnswer, RateReport
from cassiahill.rate_shares import (
    LENT_SECONDS,
    PROMISE_SECONDS,
    STAMP_MAX_AGE_SECONDS,
    RateLease,
    RatePot,
)

OWNERS = ("p1", "p2")
START = 100.0


class Exchange:
    """Two owners that report to one pot."""

    def __init__(self):
        self.pot = RatePot("pot")
        self.leases = {name: RateLease(START) for name in OWNERS}

    def report(self, name, now, **demand_by_tenant):
        """Let an owner report and take the answer; return the answer."""
        lease = self.leases[name]
        report = lease.report("promoter", True, demand_by_tenant, now)
        answer = self.pot.answer(name, report, OWNERS, now)
        lease.accept("promoter", answer, now, now)
        return answer


class RateLeaseTest(unittest.TestCase):
    def test_phases_after_a_loan(self):
        """Guards against a static part that is used while it may be lent."""
        exchange = Exchange()
        for at in (0.0, 0.1, 0.2):
            for name in OWNERS:
                exchange.report(name, START + at, acme=1.0)
        lease = exchange.leases["p1"]
        since = START + 0.2
        now = START + 60.0
        phases = lease.phases("acme", 0.5, since, now)
        ends = [ends_at for ends_at, _ in phases]
        self.assertEqual([share for _, share in phases], [0.5, 0.0, 0.5])
        self.assertLessEqual(ends[0], START + 0.2 + LENT_SECONDS)
        self.assertGreaterEqual(ends[1], START + 0.1 + PROMISE_SECONDS)
        self.assertEqual(ends[2], now)

    def test_first_report_to_a_promoter_contributes_nothing(self):
        """Guards against a contribution whose age the promoter cannot tell."""
        lease = RateLease(START)
        self.assertEqual(
            lease.report("promoter", True, {"acme": 1.0}, START), RateReport("")
        )

    def test_answer_of_a_former_promoter(self):
        """Guards against a loan of a promoter to which nothing is reported now."""
        lease = RateLease(START)
        lease.report("new", True, {}, START)
        answer = RateAnswer("old pot", START, 2.0, {"acme": 1.0})
        self.assertFalse(lease.accept("old", answer, START, START))
        self.assertFalse(lease.is_lent(START))

    def test_older_answer_does_not_replace_a_newer_one(self):
        """Guards against a larger share that the promoter has taken back."""
        lease = RateLease(START)
        lease.report("promoter", True, {}, START)
        lease.accept("promoter", RateAnswer("pot", 2.0, 2.0, {"acme": 0.2}), 0.0, 0.0)
        lease.accept("promoter", RateAnswer("pot", 1.0, 2.0, {"acme": 1.0}), 0.0, 0.0)
        self.assertEqual(lease.share_by_tenant, {"acme": 0.2})

    def test_part_is_free_for_another_promoter_when_the_promise_has_ended(self):
        """Guards against a part that two promoters lend."""
        exchange = Exchange()
        exchange.report("p1", START)
        exchange.report("p1", START + 10.0)
        exchange.report("p1", START + 10.05)
        lease = exchange.leases["p1"]
        lease.report("other", True, {}, START + 10.1)
        lease.accept("other", RateAnswer("other pot", 5.0), START + 10.1, START + 10.1)
        report = lease.report("other", True, {}, START + 10.2)
        self.assertFalse(report.is_free)
        later = START + 10.2 + PROMISE_SECONDS
        self.assertTrue(lease.report("other", True, {}, later).is_free)


class RatePotTest(unittest.TestCase):
    def setUp(self):
        self.exchange = Exchange()

    def lend(self, now, **demands):
        """Let both owners report three times, so that the division is settled."""
        answers = {}
        for number in range(3):
            for name in OWNERS:
                answers[name] = self.exchange.report(
                    name, now + 0.1 * number, acme=demands[name]
                )
        return {name: answer.share_by_tenant for name, answer in answers.items()}

    def test_shares_follow_the_demand(self):
        """Guards against refusals at a busy owner while another one has room."""
        shares = self.lend(START, p1=90.0, p2=10.0)
        self.assertGreater(shares["p1"]["acme"], 0.8)
        total = shares["p1"]["acme"] + shares["p2"]["acme"]
        self.assertAlmostEqual(total, 1.0, places=2)

    def test_share_is_lent_again_only_when_it_was_given_back(self):
        """Guards against two owners that use the same share."""
        self.lend(START, p1=100.0, p2=0.0)
        answer = self.exchange.report("p2", START + 0.4, acme=900.0)
        self.assertLess(answer.share_by_tenant["acme"], 0.1)
        self.exchange.report("p1", START + 0.5, acme=100.0)
        answer = self.exchange.report("p2", START + 0.6, acme=900.0)
        self.assertLess(answer.share_by_tenant["acme"], 0.1)
        self.exchange.report("p1", START + 0.7, acme=100.0)
        answer = self.exchange.report("p2", START + 0.8, acme=900.0)
        self.assertGreater(answer.share_by_tenant["acme"], 0.8)

    def test_part_of_a_silent_owner_is_not_lent(self):
        """Guards against a part that its owner uses again."""
        self.lend(START, p1=10.0, p2=10.0)
        later = START + 2 * PROMISE_SECONDS
        for _ in range(3):
            later += 0.3
            answer = self.exchange.report("p1", later, acme=10.0)
        self.assertAlmostEqual(answer.share_by_tenant["acme"], 0.5)

    def test_dump_tells_whose_parts_count(self):
        """Guards against a pot in which nobody sees that parts are missing."""
        self.lend(START, p1=10.0, p2=10.0)
        dump = self.exchange.pot.dump(OWNERS, START + 0.3)
        self.assertEqual(dump, {"owners": 2, "contributors": 2, "roll_call": True})
        later = START + 0.3 + 2 * STAMP_MAX_AGE_SECONDS
        dump = self.exchange.pot.dump(OWNERS, later)
        self.assertEqual(dump, {"owners": 2, "contributors": 0, "roll_call": False})

    def test_late_report_lends_nothing(self):
        """Guards against a part whose promise has ended when its report arrives."""
        exchange = self.exchange
        for name in OWNERS:
            exchange.report(name, START)
        late = exchange.leases["p1"].report("promoter", True, {"acme": 1.0}, START)
        now = START + STAMP_MAX_AGE_SECONDS + 0.1
        answer = exchange.pot.answer("p1", late, OWNERS, now)
        self.assertEqual(answer.valid_seconds, 0.0)

    def test_loans_of_the_former_promoter_are_taken_over(self):
        """Guards against refusals by all owners after a change of the promoter."""
        self.lend(START, p1=90.0, p2=10.0)
        self.exchange.pot = RatePot("next pot")
        held = dict(self.exchange.leases["p1"].share_by_tenant)
        for lease in self.exchange.leases.values():
            lease.report("another", True, {}, START + 1.0)
        for at in (1.1, 1.2, 1.3):
            for name, demand in (("p1", 90.0), ("p2", 10.0)):
                answer = self.exchange.report(name, START + at, acme=demand)
        self.assertEqual(answer.pot_id, "next pot")
        self.assertGreater(answer.valid_seconds, LENT_SECONDS - 1.0)
        lease = self.exchange.leases["p1"]
        self.assertGreaterEqual(lease.share_by_tenant["acme"], 0.9 * held["acme"])


if __name__ == "__main__":
    unittest.main()

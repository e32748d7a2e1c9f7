"""Tests of ``cassiahill.primary_symptoms``."""

import unittest

from cassiahill import primary_symptoms
from cassiahill.primary_symptoms import PrimarySymptoms


class PromotionReasonTest(unittest.TestCase):
    def test_primary_must_be_unreachable_for_a_while(self):
        """Guards against a promotion because of one lost answer."""
        symptoms = PrimarySymptoms("a", unreachable_since=10.0)
        self.assertIsNone(primary_symptoms.promotion_reason(symptoms, 10.45))
        self.assertEqual(
            primary_symptoms.promotion_reason(symptoms, 10.8), "unreachable"
        )

    def test_refused_connections_count_sooner(self):
        """Guards against a needlessly long outage when the primary's process ends."""
        symptoms = PrimarySymptoms(
            "a", unreachable_since=10.0, refuses_connections=True
        )
        self.assertEqual(
            primary_symptoms.promotion_reason(symptoms, 10.4), "unreachable"
        )

    def test_each_symptom_alone(self):
        """Guards against a symptom that causes no promotion."""
        for symptoms in (
            PrimarySymptoms("a", draining=True),
            PrimarySymptoms(None, primary_unknown_since=10.0),
            PrimarySymptoms("a", writes_unacknowledged_since=10.0),
            PrimarySymptoms("a", reported_unreachable_since=10.0),
        ):
            self.assertIsNotNone(
                primary_symptoms.promotion_reason(symptoms, 11.5), symptoms
            )
        self.assertIsNone(primary_symptoms.promotion_reason(PrimarySymptoms("a"), 11.5))


if __name__ == "__main__":
    unittest.main()

"""Tests of ``cassiahill.outcomes`` on the SQL log of the stand-in."""

import unittest

from cassiahill import errors, messages, outcomes
from cassiahill.messages import Statement
from tests.database_model import Database

INSERT = Statement("INSERT INTO items VALUES (?, ?)", ("x", 1))
LOST = errors.OutcomeUnknown("lost")


class OutcomesTest(unittest.TestCase):
    def setUp(self):
        self.database = Database("s1")
        self.database.become_primary(0.0)
        self.run_sql("CREATE TABLE items (item, value UNIQUE)")

    def run_sql(self, sql):
        batch = outcomes.backend.Batch((Statement(sql),), 1, False, 1.0)
        return self.database.execute(batch, 0.0).results[0]

    def count(self, table="items"):
        return self.run_sql(f"SELECT COUNT(*) FROM {table}").rows[0][0]

    def drive(self, steps, lose=()):
        """Run the batches; the answers with the given numbers are lost."""
        try:
            batch, number = next(steps), 0
            while True:
                try:
                    result = self.database.execute(batch, 0.0)
                except errors.CassiahillError as error:
                    result = error
                if number in lose:
                    result = LOST
                number += 1
                failed = isinstance(result, errors.CassiahillError)
                batch = steps.throw(result) if failed else steps.send(result)
        except StopIteration as stop:
            return stop.value

    def write(self, statement=INSERT, key="k", lose=(), term=1):
        digest = outcomes.statement_digest(statement)
        return self.drive(
            outcomes.keyed_write(
                outcomes.KeyedWrite(key, digest, statement, "s1", term, 5.0, 1.0)
            ),
            lose,
        )

    def resolve(self, key="k", statement=INSERT, lose=()):
        digest = outcomes.statement_digest(statement)
        return self.drive(outcomes.resolve(key, digest, 1, 5.0, 1.0), lose)

    def test_retry_gets_the_stored_answer(self):
        """Guards against a payment that runs twice."""
        first = self.write()
        self.assertFalse(first.repeated)
        second = self.write()
        self.assertTrue(second.repeated)
        self.assertEqual(second.result.row_count, 1)
        self.assertEqual((second.server, self.count()), ("s1", 1))

    def test_lost_answer_is_resolved_as_done(self):
        """Guards against "not run" for a write whose answer was lost."""
        self.write(key="earlier", statement=Statement("INSERT INTO items VALUES (0,0)"))
        self.assertIsInstance(self.write(lose={0}), outcomes.Unknown)
        done = outcomes.answer_body(self.resolve())
        self.assertEqual((done["outcome"], done["answer"]["row_count"]), ("done", 1))

    def test_late_attempt_after_resolve_does_not_run(self):
        """Guards against a first attempt that runs after "not run" was reported."""
        resolved = self.resolve()
        self.assertIsInstance(resolved.error, errors.KeyClosed)
        self.assertIsNotNone(resolved.position)
        self.assertEqual(outcomes.answer_body(resolved)["outcome"], "not_run")
        self.assertIsInstance(self.write().error, errors.KeyClosed)
        self.assertEqual(self.count(), 0)
        self.assertIsInstance(self.resolve().error, errors.KeyClosed)

    def test_another_statement_is_a_conflict(self):
        """Guards against the answer of another statement under a reused key."""
        self.write()
        other = Statement(INSERT.sql, ("x", 2))
        self.assertIsInstance(self.write(other).error, errors.KeyConflict)
        self.assertIsInstance(self.resolve(statement=other).error, errors.KeyConflict)
        self.assertNotEqual(
            outcomes.statement_digest(Statement("s", (1,))),
            outcomes.statement_digest(Statement("s", (1.0,))),
        )

    def test_failing_statement_leaves_no_key(self):
        """Guards against a key that is used up by a statement that failed."""
        self.write()
        outcome = self.write(INSERT, key="other")
        self.assertIsInstance(outcome.error, errors.StatementFailed)
        self.assertEqual(self.count("cassiahill_keys"), 1)

    def test_row_counts_are_stored(self):
        """Guards against a repeated answer with another row count."""
        self.run_sql("INSERT INTO items VALUES ('x', 7), ('x', 8)")
        statements = (
            ("UPDATE items SET item = 'y'", 2),
            ("CREATE TABLE other (a)", 0),
            ("DELETE FROM items WHERE value = 99", 0),
            ("INSERT INTO items VALUES ('z', 9) RETURNING value", 1),
        )
        for sql, expected in statements:
            with self.subTest(sql):
                first = self.write(Statement(sql), key=sql)
                stored = self.write(Statement(sql), key=sql)
                self.assertEqual(first.result.row_count, expected)
                self.assertEqual(stored.result.row_count, expected)

    def test_lost_lookup_is_unknown(self):
        """Guards against "not run" while an earlier attempt may have run."""
        self.write()
        self.assertIsInstance(self.write(lose={1}), outcomes.Unknown)
        with self.assertRaises(errors.OutcomeUnknown):
            outcomes.answer_body(self.resolve(lose={0}))

    def test_refused_term_is_not_run(self):
        """Guards against "unknown" for what the database refused."""
        self.assertIsInstance(self.write(term=2), outcomes.NotRun)

    def test_old_keys_are_dropped_in_small_batches(self):
        """Guards against keys that grow without bound, and against long locks."""
        for number in range(outcomes.MAX_DELETED_KEYS + 1):
            self.write(Statement("SELECT 1"), key=f"k{number}")
        later = 6.0 + outcomes.KEPT_SECONDS
        counts = []
        for now in (4.0 + outcomes.KEPT_SECONDS, later, later, later):
            batch = outcomes.delete_expired_keys_batch(1, now, 1.0)
            counts.append(self.database.execute(batch, 0.0).results[0].row_count)
        self.assertEqual(counts, [0, outcomes.MAX_DELETED_KEYS, 1, 0])

    def test_keys_of_two_callers_differ(self):
        """Guards against one caller's answer to another caller's request."""
        self.assertNotEqual(
            outcomes.stored_key("a", "b:c"), outcomes.stored_key("a:b", "c")
        )

    def test_transaction_key_settles_a_lost_commit(self):
        """Guards against a lost commit that cannot be resolved."""
        self.drive(outcomes.resolve("other", None, 1, 5.0, 1.0))
        first = outcomes.transaction_key_statement("t", "s1", 1, 5.0)
        batch = outcomes.backend.Batch((first, INSERT), 1, False, 1.0)
        self.database.execute(batch, 0.0)
        done = self.drive(outcomes.resolve("t", None, 1, 5.0, 1.0))
        self.assertIsInstance(done, outcomes.Done)
        with self.assertRaises(errors.StatementFailed):
            self.database.execute(batch, 0.0)

    def test_keys_fit_the_column(self):
        """Guards against keys that a database with column lengths refuses."""
        longest = outcomes.stored_key("c" * 64, "k" * messages.MAX_KEY_CHARACTERS)
        self.assertLessEqual(len(longest), 300)

"""Tests of ``cassiahill.outcomes`` on the SQL log of the stand-in database."""

import unittest

from cassiahill import errors, messages, outcomes
from cassiahill.messages import Statement
from tests.database_model import Database

INSERT = Statement("INSERT INTO items VALUES (?, ?)", ("x", 1))
LOST_ANSWER = errors.OutcomeUnknown("lost")


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

    def run_batches(self, generator, lost_indexes=()):
        """Run the batches of a generator; answers with the given indexes are lost."""
        try:
            batch, batch_index = next(generator), 0
            while True:
                try:
                    result = self.database.execute(batch, 0.0)
                except errors.CassiahillError as error:
                    result = error
                if batch_index in lost_indexes:
                    result = LOST_ANSWER
                batch_index += 1
                failed = isinstance(result, errors.CassiahillError)
                batch = generator.throw(result) if failed else generator.send(result)
        except StopIteration as stop:
            return stop.value

    def write(self, statement=INSERT, key="k", lost_indexes=(), term=1):
        digest = outcomes.statement_digest(statement)
        return self.run_batches(
            outcomes.keyed_write(
                outcomes.KeyedWrite(key, digest, statement, "s1", term, 5.0, 1.0)
            ),
            lost_indexes,
        )

    def resolve(self, key="k", statement=INSERT, lost_indexes=()):
        digest = outcomes.statement_digest(statement)
        return self.run_batches(
            outcomes.resolve(key, digest, 1, 5.0, 1.0), lost_indexes
        )

    def test_retry_gets_the_stored_answer(self):
        """Guards against a write that runs twice."""
        first = self.write()
        self.assertFalse(first.repeated)
        second = self.write()
        self.assertTrue(second.repeated)
        self.assertEqual(second.result.row_count, 1)
        self.assertEqual((second.server, self.count()), ("s1", 1))

    def test_lost_answer_is_resolved_as_done(self):
        """Guards against reporting a write as not run because its answer was lost."""
        self.write(key="earlier", statement=Statement("INSERT INTO items VALUES (0,0)"))
        self.assertIsInstance(self.write(lost_indexes={0}), outcomes.Unknown)
        outcome = outcomes.answer_body(self.resolve())
        self.assertEqual(
            (outcome["outcome"], outcome["answer"]["row_count"]), ("done", 1)
        )

    def test_late_attempt_after_resolve_does_not_run(self):
        """Guards against a late attempt of a write that was reported as not run."""
        outcome = self.resolve()
        self.assertIsInstance(outcome.error, errors.KeyClosed)
        self.assertIsNotNone(outcome.position)
        self.assertEqual(outcomes.answer_body(outcome)["outcome"], "not_run")
        self.assertIsInstance(self.write().error, errors.KeyClosed)
        self.assertEqual(self.count(), 0)
        self.assertIsInstance(self.resolve().error, errors.KeyClosed)

    def test_key_of_another_statement_is_a_conflict(self):
        """Guards against the answer of another statement with the same key."""
        self.write()
        other_statement = Statement(INSERT.sql, ("x", 2))
        self.assertIsInstance(self.write(other_statement).error, errors.KeyConflict)
        self.assertIsInstance(
            self.resolve(statement=other_statement).error, errors.KeyConflict
        )
        self.assertNotEqual(
            outcomes.statement_digest(Statement("s", (1,))),
            outcomes.statement_digest(Statement("s", (1.0,))),
        )

    def test_failing_statement_leaves_no_key(self):
        """Guards against a key that a failed statement makes unusable."""
        self.write()
        outcome = self.write(INSERT, key="other")
        self.assertIsInstance(outcome.error, errors.StatementFailed)
        self.assertEqual(self.count("cassiahill_keys"), 1)

    def test_row_counts_are_stored(self):
        """Guards against a repeated answer with a wrong row count."""
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
        """Guards against reporting as not run a write that may have run before."""
        self.write()
        self.assertIsInstance(self.write(lost_indexes={1}), outcomes.Unknown)
        with self.assertRaises(errors.OutcomeUnknown):
            outcomes.answer_body(self.resolve(lost_indexes={0}))

    def test_refused_term_is_not_run(self):
        """Guards against an unknown outcome for a write that the database refused."""
        self.assertIsInstance(self.write(term=2), outcomes.NotRun)

    def test_expired_keys_are_deleted_in_small_batches(self):
        """Guards against a table of keys that only grows, and against long locks."""
        for key_index in range(outcomes.MAX_DELETED_KEYS + 1):
            self.write(Statement("SELECT 1"), key=f"k{key_index}")
        expired_at = 6.0 + outcomes.KEY_RETENTION_SECONDS
        counts = []
        for now in (
            4.0 + outcomes.KEY_RETENTION_SECONDS,
            expired_at,
            expired_at,
            expired_at,
        ):
            batch = outcomes.delete_expired_keys_batch(1, now, 1.0)
            counts.append(self.database.execute(batch, 0.0).results[0].row_count)
        self.assertEqual(counts, [0, outcomes.MAX_DELETED_KEYS, 1, 0])

    def test_keys_of_two_callers_differ(self):
        """Guards against one caller getting the stored answer of another."""
        self.assertNotEqual(
            outcomes.stored_key("a", "b:c"), outcomes.stored_key("a:b", "c")
        )

    def test_transaction_key_resolves_a_lost_commit(self):
        """Guards against an unresolvable outcome of a commit whose answer was lost."""
        self.run_batches(outcomes.resolve("other", None, 1, 5.0, 1.0))
        first = outcomes.transaction_key_statement("t", "s1", 1, 5.0)
        batch = outcomes.backend.Batch((first, INSERT), 1, False, 1.0)
        self.database.execute(batch, 0.0)
        outcome = self.run_batches(outcomes.resolve("t", None, 1, 5.0, 1.0))
        self.assertIsInstance(outcome, outcomes.Done)
        with self.assertRaises(errors.StatementFailed):
            self.database.execute(batch, 0.0)

    def test_keys_fit_the_column(self):
        """Guards against keys longer than the column, which some databases refuse."""
        longest = outcomes.stored_key("c" * 64, "k" * messages.MAX_KEY_CHARACTERS)
        self.assertLessEqual(len(longest), 300)

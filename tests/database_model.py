"""In-memory replicated databases that follow the rules of ``standins.database``."""

from cassiahill import backend, errors, freshness
from standins import sqllog

GROUP_NAME = "g"
SERVER_NAMES = ("s1", "s2", "s3")


class Database:
    """One database server of a replicated group, without I/O."""

    def __init__(self, name):
        self.name = name
        self.log = sqllog.SqlLog()
        self.term = 1
        self.role = "replica"
        self.recovering = False
        self.commit_times = []  # In seconds, one for each log entry.

    def execute(self, batch, now):
        """Execute a batch of statements at ``now``; return its ``BatchResult``.

        Raises
        ------
        errors.StaleTerm
            When the batch has another term, or writes and this is not the primary.
        """
        if batch.term != self.term or not (batch.read_only or self.role == "primary"):
            raise errors.StaleTerm(f"term {self.term}")
        statements = [
            [statement.sql, list(statement.params)] for statement in batch.statements
        ]
        if batch.read_only:
            results = self.log.read(statements)
        else:
            results = self._write(statements, now)
        return backend.BatchResult(
            self.term,
            self.log.position,
            tuple(backend.StatementResult(**result) for result in results),
        )

    def _write(self, statements, now):
        self.log.working_copy.execute("BEGIN")
        try:
            results = [
                sqllog.run_statement(self.log.working_copy, *statement)
                for statement in statements
            ]
        except errors.StatementFailed:
            self.log.working_copy.execute("ROLLBACK")
            raise
        self.log.working_copy.execute("COMMIT")
        self.append(sqllog.LogEntry(self.term, statements), now)
        return results

    def append(self, entry, commit_time):
        """Append a log entry that was committed at ``commit_time``, in seconds."""
        self.log.append(entry)
        self.commit_times.append(commit_time)

    def restart(self):
        """Restart without any data, because the log is only in memory."""
        self.__init__(self.name)
        self.term = 0
        self.recovering = True

    def has_entry(self, index, term):
        """Return whether the log entry at an index exists and has the given term."""
        return index < self.log.position and self.log.entries[index].term == term

    def become_primary(self, now):
        """Become the primary and append the empty entry that starts its term."""
        self.role = "primary"
        self.append(sqllog.LogEntry(self.term, []), now)
        self.log.reset_working_copy()

    def pull(self, primary, max_entries):
        """Drop entries that the primary does not have; copy at most ``max_entries``."""
        own_entries, primary_entries = self.log.entries, primary.log.entries
        common_length = 0
        while (
            common_length < min(len(own_entries), len(primary_entries))
            and own_entries[common_length].term == primary_entries[common_length].term
        ):
            common_length += 1
        if common_length < len(own_entries):
            self.log.truncate(common_length)
            del self.commit_times[common_length:]
        for index in range(
            common_length, min(len(primary_entries), common_length + max_entries)
        ):
            self.append(primary_entries[index], primary.commit_times[index])
        if len(own_entries) == len(primary_entries):
            self.recovering = False

    def status(self, sent_at):
        """Return the answer to a status poll that was sent at ``sent_at``."""
        term_starts = tuple(self.log.term_starts())
        return freshness.ServerStatus(
            self.name, GROUP_NAME, self.role, self.term, self.log.position,
            self.log.last_term, term_starts, "", 0.0, sent_at, sent_at,
        )  # fmt: skip


class DatabaseGroup:
    """Three databases with one primary, and a simulated clock in seconds."""

    def __init__(self):
        self.now = 100.0
        self.durable_entries = set()  # (index, term) of majority-confirmed entries.
        self.databases = {name: Database(name) for name in SERVER_NAMES}
        self.databases["s1"].become_primary(self.now)

    @property
    def primary(self):
        """The primary of the highest term."""
        primaries = [
            database
            for database in self.databases.values()
            if database.role == "primary"
        ]
        return max(primaries, key=lambda database: database.term)

    @property
    def key_table_exists(self):
        """Whether the primary has the table of idempotency keys."""
        sql = "SELECT 1 FROM sqlite_master WHERE name = 'cassiahill_keys'"
        return bool(self.primary.log.read([[sql, []]])[0]["rows"])

    def advance_time(self, seconds):
        """Advance the simulated clock."""
        self.now += seconds

    def pull(self, name, max_entries=1):
        """Let a replica copy at most ``max_entries`` log entries from the primary."""
        replica = self.databases[name]
        if replica.role == "replica" and replica.term <= self.primary.term:
            replica.term = self.primary.term
            replica.pull(self.primary, max_entries)
            if replica.log.last_term == replica.term:
                # The replica and the primary are a majority. They have an entry of the
                # current term, which makes all earlier entries durable; an entry of an
                # earlier term alone could still be replaced.
                entries = enumerate(replica.log.entries)
                self.durable_entries.update(
                    (index, entry.term) for index, entry in entries
                )

    def promote(self, unreachable_name):
        """Start a new term without one database, which a partition separates.

        The reachable database with the latest log becomes the primary.
        """
        reachable = [
            database
            for database in self.databases.values()
            if database.name != unreachable_name
        ]
        if any(database.recovering for database in reachable):
            return  # A database that has not caught up refuses a new term.
        term = max(database.term for database in self.databases.values()) + 1
        for database in reachable:
            database.term, database.role = term, "replica"
        candidate = max(
            reachable,
            key=lambda database: (database.log.last_term, database.log.position),
        )
        for index, entry in enumerate(candidate.log.entries):
            # An entry without a majority could not have been acknowledged, so its age
            # counts from this promotion.
            if (index, entry.term) not in self.durable_entries:
                candidate.commit_times[index] = self.now
        candidate.become_primary(self.now)

    def restart(self, name):
        """Restart a replica unless another database is recovering.

        Two restarts at once would lose acknowledged data.
        """
        database = self.databases[name]
        if database.role == "replica" and not any(
            database.recovering for database in self.databases.values()
        ):
            database.restart()

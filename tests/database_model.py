"""Model of a group of databases: the rules of ``standins.database`` without sockets."""

from cassiahill import backend, errors, freshness
from standins import sqllog

GROUP = "g"
SERVERS = ("s1", "s2", "s3")


class Database:
    """A database without I/O; the rules are those of ``standins.database``."""

    def __init__(self, name):
        self.name = name
        self.log = sqllog.SqlLog()
        self.term = 1
        self.role = "replica"
        self.recovering = False
        self.commit_times = []

    def execute(self, batch, now):
        if batch.term != self.term or not (batch.read_only or self.role == "primary"):
            raise errors.StaleTerm(f"term {self.term}")
        statements = [[s.sql, list(s.params)] for s in batch.statements]
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
        self.log.work.execute("BEGIN")
        try:
            results = [sqllog.run(self.log.work, *s) for s in statements]
        except errors.StatementFailed:
            self.log.work.execute("ROLLBACK")
            raise
        self.log.work.execute("COMMIT")
        self.append(sqllog.Entry(self.term, statements), now)
        return results

    def append(self, entry, commit_time):
        self.log.append(entry)
        self.commit_times.append(commit_time)

    def restart(self):
        """Lose everything, as hosts have no disks."""
        self.__init__(self.name)
        self.term = 0
        self.recovering = True

    def has(self, index, term):
        """Return whether the log has the entry of a term at an index."""
        return index < self.log.position and self.log.entries[index].term == term

    def become_primary(self, now):
        self.role = "primary"
        self.append(sqllog.Entry(self.term, []), now)
        self.log.prepare_writing()

    def pull(self, primary, limit):
        """Drop what the primary does not have, then take over some entries."""
        own, theirs = self.log.entries, primary.log.entries
        common = 0
        while (
            common < min(len(own), len(theirs))
            and own[common].term == theirs[common].term
        ):
            common += 1
        if common < len(own):
            self.log.truncate(common)
            del self.commit_times[common:]
        for index in range(common, min(len(theirs), common + limit)):
            self.append(theirs[index], primary.commit_times[index])
        if len(own) == len(theirs):
            self.recovering = False

    def status(self, sent_at):
        starts = tuple(self.log.term_starts())
        return freshness.ServerStatus(
            self.name, GROUP, self.role, self.term, self.log.position,
            self.log.last_term, starts, "", 0.0, sent_at, sent_at,
        )  # fmt: skip


class Group:
    """Three databases with one primary, and the time."""

    def __init__(self):
        self.now = 100.0
        self.durable = set()  # (index, term) of entries that cannot be dropped.
        self.databases = {name: Database(name) for name in SERVERS}
        self.databases["s1"].become_primary(self.now)

    @property
    def primary(self):
        primaries = [d for d in self.databases.values() if d.role == "primary"]
        return max(primaries, key=lambda database: database.term)

    @property
    def keys_exist(self):
        """Whether the primary has the table of keys."""
        sql = "SELECT 1 FROM sqlite_master WHERE name = 'cassiahill_keys'"
        return bool(self.primary.log.read([[sql, []]])[0]["rows"])

    def advance(self, seconds):
        self.now += seconds

    def pull(self, name, limit=1):
        replica = self.databases[name]
        if replica.role == "replica" and replica.term <= self.primary.term:
            replica.term = self.primary.term
            replica.pull(self.primary, limit)
            if replica.log.last_term == replica.term:
                # A majority has an entry of the current term, and so all before it; an
                # entry of an earlier term alone could still be replaced.
                entries = enumerate(replica.log.entries)
                self.durable.update((index, entry.term) for index, entry in entries)

    def promote(self, absent):
        """Promote among the two databases that a partition leaves together."""
        present = [d for d in self.databases.values() if d.name != absent]
        if any(d.recovering for d in present):
            return  # A database that has not caught up refuses a new term.
        term = max(d.term for d in self.databases.values()) + 1
        for database in present:
            database.term, database.role = term, "replica"
        best = max(present, key=lambda d: (d.log.last_term, d.log.position))
        for index, entry in enumerate(best.log.entries):
            # What could not have been acknowledged becomes part of the data now.
            if (index, entry.term) not in self.durable:
                best.commit_times[index] = self.now
        best.become_primary(self.now)

    def restart(self, name):
        """Restart a replica; more at once would lose acknowledged data."""
        database = self.databases[name]
        if database.role == "replica" and not any(
            d.recovering for d in self.databases.values()
        ):
            database.restart()

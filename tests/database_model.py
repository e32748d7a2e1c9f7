"""Model of a database: the rules of ``standins.database`` without sockets."""

from cassiahill import backend, errors, freshness
from standins import sqllog

GROUP = "g"


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

"""Database adapter in memory, for tests: replication is advanced by hand."""

import attrs

from cassiahill import backend, errors, freshness, kernel
from cassiahill.loop import completed_future, failed_future


@attrs.define
class MemoryDatabase:
    """One database of a ``MemoryGroup``: a log with terms, without rows.

    ``entries`` holds ``(term, statements)``. ``reachable`` is False while callers get
    no answer; ``primary_unreachable_seconds`` is in seconds and set by hand.
    """

    name: str
    group: str
    term: int = 1
    role: str = "replica"
    primary: str = ""
    raised_by: str = ""
    entries: list = attrs.field(factory=list)
    epoch: int = 0
    owner: str = ""
    connections: list = attrs.field(factory=list)
    primary_unreachable_seconds: float = 0.0
    recovering: bool = False
    reachable: bool = True

    @property
    def position(self):
        """Position of the last entry."""
        return len(self.entries)

    @property
    def last_term(self):
        """Term of the last entry; 0 when the log is empty."""
        return self.entries[-1][0] if self.entries else 0

    def status(self, now):
        """Return a ``freshness.ServerStatus`` polled at ``now``."""
        starts = {}
        for position, (term, _) in enumerate(self.entries, start=1):
            starts.setdefault(term, position)
        return freshness.ServerStatus(
            server=self.name,
            group=self.group,
            role=self.role,
            term=self.term,
            position=self.position,
            last_term=self.last_term,
            term_starts=tuple(starts.items()),
            primary=self.primary,
            primary_unreachable_seconds=0.0
            if self.role == "primary"
            else self.primary_unreachable_seconds,
            sent_at=now,
            received_at=now,
            epoch=self.epoch,
            recovering=self.recovering,
        )

    def write(self, term, statements):
        """Append one transaction and return its position."""
        self.check_term(term)
        if self.role != "primary":
            raise errors.StaleTerm("the database is not the primary")
        self.entries.append((self.term, statements))
        return self.position

    def check_term(self, term):
        """Raise ``errors.StaleTerm`` unless the database is in the term."""
        if term != self.term:
            raise errors.StaleTerm(f"the database is in term {self.term}")

    def raise_term(self, term, by):
        """Raise the term and return the end of the log."""
        if self.recovering:
            raise errors.NotRunError("the database has not caught up since its start")
        if term < self.term or (term == self.term and by != self.raised_by):
            raise errors.StaleTerm(f"the database is in term {self.term}")
        if term > self.term:
            self.term = term
            self.raised_by = by
            self.role = "replica"
            self.primary = ""
        return backend.LogEnd(self.name, self.last_term, self.position)

    def promote(self, term, by):
        """Become the primary of a term that ``by`` raised."""
        if (term, by) != (self.term, self.raised_by):
            raise errors.StaleTerm(f"the database is in term {self.term}")
        if self.role != "primary":
            self.role = "primary"
            self.primary = self.name
            self.entries.append((term, ()))

    def follow(self, term, primary):
        """Become a replica of ``primary``."""
        if term < self.term:
            raise errors.StaleTerm(f"the database is in term {self.term}")
        if primary == self.name:
            raise errors.NotRunError("a database cannot follow itself")
        if term > self.term or self.role != "primary":
            self.raised_by = "" if term > self.term else self.raised_by
            self.term = term
            self.role = "replica"
            self.primary = primary
            self.primary_unreachable_seconds = 0.0

    def claim(self, epoch, owner):
        """Close the connections of lower epochs."""
        if epoch < self.epoch or (epoch == self.epoch and owner != self.owner):
            raise errors.StaleEpoch(f"epoch {self.epoch} is held by {self.owner}")
        self.epoch = epoch
        self.owner = owner
        for connection in self.connections[:]:
            if connection.epoch < epoch:
                connection.close()

    def pull(self, source, count):
        """Copy up to ``count`` entries from the primary; return how many."""
        if (
            source.role != "primary"
            or source.name != self.primary
            or source.term < self.term
        ):
            return 0
        while self.entries and (
            self.position > source.position
            or self.entries[-1][0] != source.entries[self.position - 1][0]
        ):
            self.entries.pop()
        news = source.entries[self.position : self.position + count]
        self.entries.extend(news)
        if self.position == source.position:
            self.recovering = False
        return len(news)


class MemoryGroup:
    """Databases of one group; the first one is the primary of term 1.

    Parameters
    ----------
    group : str
    names : iterable of str
    clock : clock.Clock
    """

    def __init__(self, group, names, clock):
        self.clock = clock
        self.databases_by_name = {
            name: MemoryDatabase(name, group, entries=[(1, ())]) for name in names
        }
        first, *others = self.databases_by_name.values()
        first.role = "primary"
        first.primary = first.name
        for other in others:
            other.primary = first.name

    def replicate(self, name, count=1):
        """Let a replica pull up to ``count`` entries from its primary."""
        replica = self.databases_by_name[name]
        source = self.databases_by_name.get(replica.primary)
        if source is None or source is replica:
            return 0
        return replica.pull(source, count)


class MemoryConnection(backend.BackendConnection):
    """Connection to a ``MemoryDatabase``; reads have no rows."""

    def __init__(self, database, epoch):
        self.epoch = epoch
        self.closed = False
        self._database = database
        self._transaction = None
        database.connections.append(self)

    def execute(self, batch, deadline):
        """Run a batch; each statement has an empty result."""
        return self._answer(self._execute, batch)

    def begin(self, term, deadline):
        """Open a transaction."""
        return self._answer(self._begin, term)

    def commit(self, term, deadline):
        """Commit the open transaction."""
        return self._answer(self._commit, term)

    def rollback(self, deadline):
        """Roll back the open transaction."""
        return self._answer(self._roll_back)

    def reset(self, deadline):
        """Drop the state of the session."""
        return self._answer(self._roll_back)

    def close(self):
        """Close the connection."""
        if not self.closed:
            self.closed = True
            self._transaction = None
            self._database.connections.remove(self)

    def _answer(self, call, *args):
        if self.closed:
            return failed_future(errors.ConnectionLost("the connection closed"))
        return _answer(self._database, call, *args)

    def _execute(self, batch):
        self._database.check_term(batch.term)
        if not batch.read_only and self._transaction is not None:
            self._transaction.extend(batch.statements)
        elif not batch.read_only:
            self._database.write(batch.term, batch.statements)
        empty = backend.StatementResult([], [], 0)
        return self._result((empty,) * len(batch.statements))

    def _begin(self, term):
        self._database.check_term(term)
        if self._transaction is not None:
            raise errors.NotRunError("a transaction is open")
        self._transaction = []
        return self._result()

    def _commit(self, term):
        self._database.check_term(term)
        if self._transaction is None:
            raise errors.NoTransaction("no transaction is open")
        statements, self._transaction = self._transaction, None
        if statements:
            self._database.write(term, tuple(statements))
        return self._result()

    def _roll_back(self):
        self._transaction = None
        return self._result()

    def _result(self, results=()):
        return backend.BatchResult(
            self._database.term, self._database.position, results
        )


@kernel.register("backend", "memory")
class MemoryBackend(backend.Backend):
    """Backend server in memory; all futures are done when they are returned.

    Parameters
    ----------
    group : MemoryGroup
    name : str
    """

    def __init__(self, group, name):
        self.name = name
        self.database = group.databases_by_name[name]
        self.group = self.database.group
        self._clock = group.clock

    def connect(self, epoch, owner, deadline):
        """Open a connection."""
        return _answer(self.database, self._connect, epoch)

    def status(self, known, wait, deadline):
        """Poll the status; it never waits for a change."""
        return _answer(self.database, self.database.status, self._clock.now())

    def probe(self, deadline):
        """Poll the status."""
        return self.status(None, 0.0, deadline)

    def raise_term(self, term, by, deadline):
        """Raise the term of the database."""
        return _answer(self.database, self.database.raise_term, term, by)

    def promote(self, term, by, deadline):
        """Make the database the primary."""
        return _answer(self.database, self.database.promote, term, by)

    def follow(self, term, primary, address, deadline):
        """Make the database a replica."""
        return _answer(self.database, self.database.follow, term, primary)

    def claim(self, epoch, owner, deadline):
        """Claim the database's connections."""
        return _answer(self.database, self.database.claim, epoch, owner)

    def _connect(self, epoch):
        if epoch < self.database.epoch:
            raise errors.StaleEpoch(f"epoch {self.database.epoch} is in force")
        return MemoryConnection(self.database, epoch)


def _answer(database, call, *args):
    if not database.reachable:
        return failed_future(errors.BackendUnavailable(f"{database.name} is silent"))
    try:
        return completed_future(call(*args))
    except errors.CassiahillError as error:
        return failed_future(error)

"""Database adapter in memory, for tests; the test calls each step of replication."""

import attrs

from cassiahill import backend, errors, freshness, kernel
from cassiahill.loop import completed_future, failed_future


@attrs.define
class MemoryDatabase:
    """One database of a ``MemoryGroup``: a log with terms, without rows.

    Attributes
    ----------
    name, group : str
    term : int
        Highest term that was raised here or taken from a primary.
    role : {"primary", "replica"}
    primary : str
        Name of the primary that it follows, or its own name as the primary; empty
        after its term was raised.
    raised_by : str
        Id of the promotion that raised the term.
    entries : list of (int, tuple)
        Term and statements of each transaction.
    epoch : int
        Highest epoch that a server owner has claimed.
    owner : str
        Name of that server owner.
    connections : list of MemoryConnection
    primary_unreachable_seconds : float
        What a replica reports; set by the test.
    recovering : bool
        Whether the database has not caught up with its primary since its start.
    reachable : bool
        False while calls get no answer; set by the test.
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
        """Log position of the last entry; 0 when the log is empty."""
        return len(self.entries)

    @property
    def last_term(self):
        """Term of the last entry; 0 when the log is empty."""
        return self.entries[-1][0] if self.entries else 0

    def status(self, now):
        """Return the ``freshness.ServerStatus`` that a poll at ``now`` finds."""
        first_positions_by_term = {}
        for position, (term, _) in enumerate(self.entries, start=1):
            first_positions_by_term.setdefault(term, position)
        return freshness.ServerStatus(
            server=self.name,
            group=self.group,
            role=self.role,
            term=self.term,
            position=self.position,
            last_term=self.last_term,
            term_starts=tuple(first_positions_by_term.items()),
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
        """Append one transaction to the log and return its position."""
        self.check_term(term)
        if self.role != "primary":
            raise errors.StaleTerm("the database is not the primary")
        self.entries.append((self.term, statements))
        return self.position

    def check_term(self, term):
        """Raise ``errors.StaleTerm`` unless the database is in the term."""
        if term != self.term:
            raise errors.StaleTerm(f"the database is in term {self.term}")

    def raise_term(self, term, promotion_id):
        """Raise the term for a promotion and return the ``backend.LogEnd``."""
        if self.recovering:
            raise errors.NotRunError("the database has not caught up since its start")
        if term < self.term or (term == self.term and promotion_id != self.raised_by):
            raise errors.StaleTerm(f"the database is in term {self.term}")
        if term > self.term:
            self.term = term
            self.raised_by = promotion_id
            self.role = "replica"
            self.primary = ""
        return backend.LogEnd(self.name, self.last_term, self.position)

    def promote(self, term, promotion_id):
        """Become the primary of the term that the promotion raised."""
        if (term, promotion_id) != (self.term, self.raised_by):
            raise errors.StaleTerm(f"the database is in term {self.term}")
        if self.role != "primary":
            self.role = "primary"
            self.primary = self.name
            self.entries.append((term, ()))

    def follow(self, term, primary):
        """Become a replica of the primary of a term."""
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
        """Close the connections of lower epochs, and refuse to open new ones."""
        if epoch < self.epoch or (epoch == self.epoch and owner != self.owner):
            raise errors.StaleEpoch(f"epoch {self.epoch} is held by {self.owner}")
        self.epoch = epoch
        self.owner = owner
        for connection in self.connections[:]:
            if connection.epoch < epoch:
                connection.close()

    def pull(self, source, max_entries):
        """Copy up to ``max_entries`` entries from the primary; return their number.

        First drops the entries that the primary does not have.
        """
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
        new_entries = source.entries[self.position : self.position + max_entries]
        self.entries.extend(new_entries)
        if self.position == source.position:
            self.recovering = False
        return len(new_entries)


class MemoryGroup:
    """Databases of one group; the first one is the primary of term 1.

    Parameters
    ----------
    group : str
        Name of the group.
    names : iterable of str
        Names of its databases.
    clock : clock.Clock
    """

    def __init__(self, group, names, clock):
        self.clock = clock
        self.databases_by_name = {
            name: MemoryDatabase(name, group, entries=[(1, ())]) for name in names
        }
        primary, *replicas = self.databases_by_name.values()
        primary.role = "primary"
        primary.primary = primary.name
        for replica in replicas:
            replica.primary = primary.name

    def replicate(self, name, max_entries=1):
        """Copy up to ``max_entries`` entries to a replica; return their number."""
        replica = self.databases_by_name[name]
        source = self.databases_by_name.get(replica.primary)
        if source is None or source is replica:
            return 0
        return replica.pull(source, max_entries)


class MemoryConnection(backend.BackendConnection):
    """Connection to a ``MemoryDatabase``; reads return no rows."""

    def __init__(self, database, epoch):
        self.epoch = epoch
        self.closed = False
        self._database = database
        self._open_transaction = None
        database.connections.append(self)

    def execute(self, batch, deadline):
        """Run a batch; each statement has an empty result."""
        return self._call(self._execute, batch)

    def begin(self, term, deadline):
        """Open a transaction on this connection."""
        return self._call(self._begin, term)

    def commit(self, term, deadline):
        """Commit the open transaction."""
        return self._call(self._commit, term)

    def rollback(self, deadline):
        """Roll back the open transaction."""
        return self._call(self._roll_back)

    def reset(self, deadline):
        """Drop the connection's session state."""
        return self._call(self._roll_back)

    def close(self):
        """Close the connection."""
        if not self.closed:
            self.closed = True
            self._open_transaction = None
            self._database.connections.remove(self)

    def _call(self, method, *args):
        if self.closed:
            return failed_future(errors.ConnectionLost("the connection closed"))
        return _call_database(self._database, method, *args)

    def _execute(self, batch):
        self._database.check_term(batch.term)
        if not batch.read_only and self._open_transaction is not None:
            self._open_transaction.extend(batch.statements)
        elif not batch.read_only:
            self._database.write(batch.term, batch.statements)
        empty_result = backend.StatementResult([], [], 0)
        return self._batch_result((empty_result,) * len(batch.statements))

    def _begin(self, term):
        self._database.check_term(term)
        if self._open_transaction is not None:
            raise errors.NotRunError("a transaction is open")
        self._open_transaction = []
        return self._batch_result()

    def _commit(self, term):
        self._database.check_term(term)
        if self._open_transaction is None:
            raise errors.NoTransaction("no transaction is open")
        statements, self._open_transaction = self._open_transaction, None
        if statements:
            self._database.write(term, tuple(statements))
        return self._batch_result()

    def _roll_back(self):
        self._open_transaction = None
        return self._batch_result()

    def _batch_result(self, results=()):
        return backend.BatchResult(
            self._database.term, self._database.position, results
        )


@kernel.register("backend", "memory")
class MemoryBackend(backend.Backend):
    """Backend server in memory; every returned future is already done.

    Parameters
    ----------
    group : MemoryGroup
    name : str
        Name of the database in the group.
    """

    def __init__(self, group, name):
        self.name = name
        self.database = group.databases_by_name[name]
        self.group = self.database.group
        self._clock = group.clock

    def connect(self, epoch, owner, deadline):
        """Open a connection; the future's result is a ``BackendConnection``."""
        return _call_database(self.database, self._connect, epoch)

    def status(self, known_status, max_wait_seconds, deadline):
        """Poll the status, without waiting for a change."""
        return _call_database(self.database, self.database.status, self._clock.now())

    def probe(self, deadline):
        """Poll the status, without waiting for a change."""
        return self.status(None, 0.0, deadline)

    def raise_term(self, term, promotion_id, deadline):
        """Raise the term for a promotion; the future's result is a ``LogEnd``."""
        return _call_database(
            self.database, self.database.raise_term, term, promotion_id
        )

    def promote(self, term, promotion_id, deadline):
        """Make the database the primary of the term that the promotion raised."""
        return _call_database(self.database, self.database.promote, term, promotion_id)

    def follow(self, term, primary, address, deadline):
        """Make the database a replica of ``primary``."""
        return _call_database(self.database, self.database.follow, term, primary)

    def claim(self, epoch, owner, deadline):
        """Close the connections of lower epochs, and refuse to open new ones."""
        return _call_database(self.database, self.database.claim, epoch, owner)

    def _connect(self, epoch):
        if epoch < self.database.epoch:
            raise errors.StaleEpoch(f"epoch {self.database.epoch} is in force")
        return MemoryConnection(self.database, epoch)


def _call_database(database, method, *args):
    if not database.reachable:
        return failed_future(
            errors.BackendUnavailable(f"{database.name} does not answer")
        )
    try:
        return completed_future(method(*args))
    except errors.CassiahillError as error:
        return failed_future(error)

"""Builders for the tests of sessions and of their groups."""

from cassiahill.catalog import Consistency, GroupLimits, Route
from cassiahill.groupwork import GroupWork
from cassiahill.leasesteps import Job, SessionState
from cassiahill.sessionwork import SessionWork, Transaction
from cassiahill.statements import Access, Commit, Execute, Run
from tests.line_group import LineGroup, TypedDialect
from tests.stepped_loop import SteppedLoop

TIMEOUT = 0.8


def make_route(consistency=Consistency.OWN_WRITES, **changes):
    """Return a route of the database ``shop``."""
    fields = {
        "database": "shop",
        "group": "orders",
        "consistency": consistency,
        "max_age": 1.0,
        "timeout": TIMEOUT,
        "target": 0.2,
        "priority": 1,
    }
    return Route(**{**fields, **changes})


class Bench:
    """A loop, a group in memory, and this process's work at it."""

    def __init__(
        self, own_domain="domain-a", servers=("a", "b", "c"), synchronous=True
    ):
        self.loop = SteppedLoop()
        self.servers = LineGroup(self.loop, servers=servers, synchronous=synchronous)
        self.draining_since_by_id = {}
        self.group = GroupWork(
            self.loop,
            TypedDialect(),
            "orders",
            "proxy-1",
            own_domain,
            self.draining_since_by_id.get,
            self.servers.connect,
        )
        self.group.active = True
        self.group.set_limits(GroupLimits("orders", 20, synchronous), 1)
        for server_id in servers:
            self.group.put_server(self.servers.registered(server_id), None)
        self.loop.advance(0.5)
        self._next_id = 0

    def session(self, consistency=Consistency.OWN_WRITES, **changes):
        """Return the work of a new session."""
        route = make_route(consistency, **changes)
        return SessionWork(self.loop, self.group, route, SessionState())

    def job(self, statement, access=Access.READ, shape=None):
        """Return a job that arrives now."""
        self._next_id += 1
        now = self.loop.clock.now()
        return Job(
            f"request-{self._next_id}", statement, shape, access, now, now + TIMEOUT
        )

    def read(self, session, text="read 1"):
        """Run a read outside a transaction and return its reply."""
        return self.loop.result(session.run(self.job(Run(Access.READ, text))))

    def write(self, session, text="write 1"):
        """Run a write outside a transaction and return its reply."""
        job = self.job(Run(Access.WRITE, text), Access.WRITE)
        return self.loop.result(session.run(job))

    def execute(self, session, shape):
        """Run a prepared statement and return its reply."""
        job = self.job(Execute("own", "1"), shape.access, shape)
        return self.loop.result(session.run(job))

    def begin(self, read_only=False):
        """Return a transaction that begins now."""
        return Transaction(read_only, self.loop.clock.now())

    def run_in(self, session, transaction, text="write 1", access=Access.WRITE):
        """Run a statement in a transaction and return its reply."""
        job = self.job(Run(access, text), access)
        return self.loop.result(session.run_in(transaction, job))

    def commit(self, session, transaction):
        """Commit a transaction and return the reply."""
        job = self.job(Commit(), None)
        return self.loop.result(session.run_in(transaction, job))

    def ran(self, text=None):
        """Return the ids of the servers that ran a text, in order."""
        return [one[1] for one in self.servers.ran if text in {None, one[2]}]

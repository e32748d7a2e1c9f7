"""Builders for the tests of sessions and of their groups."""

from cassiahill.catalog import Consistency, GroupLimits, Route
from cassiahill.server_group import ServerGroup
from cassiahill.session_executor import SessionExecutor, Transaction
from cassiahill.statement_sender import SessionRequest, SessionState
from cassiahill.statements import Access, Commit, Execute, Run
from tests.line_group import InMemoryDialect, InMemoryGroup
from tests.stepped_loop import SteppedLoop

TIMEOUT_SECONDS = 0.8


def make_route(consistency=Consistency.OWN_WRITES, **changes):
    """Return a route of the database ``shop``."""
    fields = {
        "database": "shop",
        "group": "orders",
        "consistency": consistency,
        "max_age": 1.0,
        "timeout": TIMEOUT_SECONDS,
        "target": 0.2,
        "priority": 1,
    }
    return Route(**{**fields, **changes})


class GroupFixture:
    """A loop, a group in memory, and this process's work at it."""

    def __init__(
        self, own_domain="domain-a", servers=("a", "b", "c"), synchronous=True
    ):
        self.loop = SteppedLoop()
        self.servers = InMemoryGroup(
            self.loop, servers=servers, synchronous=synchronous
        )
        self.draining_since_by_id = {}
        self.group = ServerGroup(
            self.loop,
            InMemoryDialect(),
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
        return SessionExecutor(self.loop, self.group, route, SessionState())

    def make_request(self, statement, access=Access.READ, shape=None):
        """Return a job that arrives now."""
        self._next_id += 1
        now = self.loop.clock.now()
        return SessionRequest(
            f"request-{self._next_id}",
            statement,
            shape,
            access,
            now,
            now + TIMEOUT_SECONDS,
        )

    def read(self, session, text="read 1"):
        """Run a read outside a transaction and return its reply."""
        return self.loop.result(session.run(self.make_request(Run(Access.READ, text))))

    def write(self, session, text="write 1"):
        """Run a write outside a transaction and return its reply."""
        job = self.make_request(Run(Access.WRITE, text), Access.WRITE)
        return self.loop.result(session.run(job))

    def execute(self, session, shape):
        """Run a prepared statement and return its reply."""
        job = self.make_request(Execute("own", "1"), shape.access, shape)
        return self.loop.result(session.run(job))

    def begin(self, read_only=False):
        """Return a transaction that begins now."""
        return Transaction(read_only, self.loop.clock.now())

    def run_in_transaction(
        self, session, transaction, text="write 1", access=Access.WRITE
    ):
        """Run a statement in a transaction and return its reply."""
        job = self.make_request(Run(access, text), access)
        return self.loop.result(session.run_in_transaction(transaction, job))

    def commit(self, session, transaction):
        """Commit a transaction and return the reply."""
        job = self.make_request(Commit(), None)
        return self.loop.result(session.run_in_transaction(transaction, job))

    def ran(self, text=None):
        """Return the ids of the servers that ran a text, in order."""
        return [one[1] for one in self.servers.ran if text in {None, one[2]}]

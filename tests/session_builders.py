"""Fixtures for the tests of sessions and their groups."""

from cassiahill.catalog import Consistency, GroupLimits, Route
from cassiahill.regions import Regions
from cassiahill.server_group import ServerGroup
from cassiahill.session_executor import SessionExecutor, Transaction
from cassiahill.statement_sender import SessionRequest, SessionState
from cassiahill.statements import Access, Commit, Execute, Run
from tests.line_group import InMemoryDialect, InMemoryGroup
from tests.stepped_loop import SteppedLoop

TIMEOUT_SECONDS = 0.8


def make_route(consistency=Consistency.OWN_WRITES, **overrides):
    """Return a route of the database ``shop``; ``overrides`` replace its fields."""
    fields = {
        "database": "shop",
        "group": "orders",
        "consistency": consistency,
        "max_age": 1.0,
        "timeout": TIMEOUT_SECONDS,
        "target": 0.2,
        "priority": 1,
    }
    return Route(**{**fields, **overrides})


class GroupFixture:
    """An event loop with a manual clock, an in-memory group and its ``ServerGroup``.

    Parameters
    ----------
    own_domain : str
        Failure domain of the proxy.
    servers : tuple of str
        Ids of the group's servers; the first one is the primary.
    synchronous : bool
        Whether a commit is acknowledged only after a replica has received it.
    region_by_domain : dict of str to str, or None
        Region of each failure domain; None without regions.
    """

    def __init__(
        self,
        own_domain="domain-a",
        servers=("a", "b", "c"),
        synchronous=True,
        region_by_domain=None,
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
            Regions(own_domain, region_by_domain or {}),
        )
        self.group.active = True
        self.group.set_limits(GroupLimits("orders", 20, synchronous), 1)
        for server_id in servers:
            self.group.put_server(self.servers.registered(server_id), None)
        self.loop.advance(0.5)
        self._next_id = 0

    def session(self, consistency=Consistency.OWN_WRITES, tenant=None, **overrides):
        """Return a ``SessionExecutor`` for a new session; see ``make_route``."""
        route = make_route(consistency, **overrides)
        return SessionExecutor(self.loop, self.group, route, SessionState(), tenant)

    def make_request(self, statement, access=Access.READ, shape=None):
        """Return a ``SessionRequest`` that arrives now."""
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
        request = self.make_request(Run(Access.WRITE, text), Access.WRITE)
        return self.loop.result(session.run(request))

    def execute(self, session, shape):
        """Execute a prepared statement and return its reply."""
        request = self.make_request(Execute("own", "1"), shape.access, shape)
        return self.loop.result(session.run(request))

    def begin(self, read_only=False):
        """Return a ``Transaction`` that the client begins now."""
        return Transaction(read_only, self.loop.clock.now())

    def run_in_transaction(
        self, session, transaction, text="write 1", access=Access.WRITE
    ):
        """Run a statement in a transaction and return its reply."""
        request = self.make_request(Run(access, text), access)
        return self.loop.result(session.run_in_transaction(transaction, request))

    def commit(self, session, transaction):
        """Commit a transaction and return the reply."""
        request = self.make_request(Commit(), None)
        return self.loop.result(session.run_in_transaction(transaction, request))

    def ran(self, text=None):
        """Return the ids of the servers that ran a text, or any text, in order."""
        return [
            execution[1]
            for execution in self.servers.ran
            if text in {None, execution[2]}
        ]

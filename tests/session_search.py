"""State machines that search for consistency violations of sessions.

They also search for configuration versions that go back.
``python -m tests.session_search --examples N`` searches with fresh seeds.
"""

import argparse

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cassiahill.catalog import Catalog, Configuration, Consistency
from cassiahill.statements import Access, Code, Run, Shape
from tests.session_builders import GroupFixture

SERVERS = ("a", "b", "c")
MAX_AGE_SECONDS = 1.0  # Staleness bound of the routes of ``session_builders``.
SHAPES = (Shape(Access.READ, "read shape"), Shape(Access.WRITE, "write shape"))
CLIENT_INDEXES = st.integers(0, 2)
REPLICAS = st.sampled_from(SERVERS[1:])


class ClientSession:
    """One session, and the state that the search expects of it."""

    def __init__(self, fixture, consistency):
        self.executor = fixture.session(consistency)
        self.consistency = consistency
        self.transaction = None
        self.connection = None
        self.last_commit = None

    @property
    def values(self):
        """The session's values by name."""
        return self.executor._session_state.values_by_name


class SessionMachine(RuleBasedStateMachine):
    """Three sessions of different consistency at one group with injected faults."""

    def __init__(self):
        super().__init__()
        self.fixture = GroupFixture()
        self.clients = [
            ClientSession(self.fixture, consistency) for consistency in Consistency
        ]
        self.acknowledged = []

    # Client actions

    @rule(
        client_index=CLIENT_INDEXES,
        name=st.sampled_from("xy"),
        value=st.integers(0, 2),
    )
    def set_value(self, client_index, name, value):
        """Set a session value by name."""
        self.clients[client_index].values[name] = str(value)

    @rule(client_index=CLIENT_INDEXES, access=st.sampled_from(Access))
    def run_statement(self, client_index, access):
        """Run a statement, inside the open transaction if there is one."""
        statement = Run(access, "text")
        self._run_request(
            self.clients[client_index], self.fixture.make_request(statement, access)
        )

    @rule(client_index=CLIENT_INDEXES, shape=st.sampled_from(SHAPES))
    def execute_prepared(self, client_index, shape):
        """Execute a prepared statement unless a transaction is open."""
        client = self.clients[client_index]
        if client.transaction is None:
            ran_before = len(self.fixture.servers.ran)
            arrived_at = self.fixture.loop.clock.now()
            reply = self.fixture.execute(client.executor, shape)
            self._check_reply(client, shape.access, reply, ran_before, arrived_at)
            for execution in self.fixture.servers.ran[ran_before:]:
                assert execution[2] == shape.text, "another statement ran"

    @rule(client_index=CLIENT_INDEXES, read_only=st.booleans())
    def begin_transaction(self, client_index, read_only):
        """Begin a transaction unless one is open."""
        client = self.clients[client_index]
        if client.transaction is None:
            on_primary = client.consistency is Consistency.PRIMARY
            client.transaction = self.fixture.begin(read_only and not on_primary)
            client.connection = None

    @rule(client_index=CLIENT_INDEXES, commit=st.booleans())
    def end_transaction(self, client_index, commit):
        """Commit or roll back the open transaction."""
        client = self.clients[client_index]
        transaction, client.transaction = client.transaction, None
        if transaction is None or transaction.lease is None:
            return
        if transaction.failed or not commit:
            client.executor.roll_back(transaction)
            return
        wrote = transaction.wrote
        reply = self.fixture.commit(client.executor, transaction)
        if wrote and reply.code is None:
            self._record_acknowledged(client, reply.position)

    # Server faults

    @rule(server_id=REPLICAS, lagging=st.booleans())
    def set_lagging(self, server_id, lagging):
        """Make a replica stop applying, or catch up."""
        self.fixture.servers.by_id[server_id].lagging = lagging
        if not lagging:
            self.fixture.servers.catch_up(server_id)

    @rule(server_id=st.sampled_from(SERVERS), count=st.integers(1, 2))
    def lose_answers(self, server_id, count):
        """Make a server lose its next answers."""
        self.fixture.servers.by_id[server_id].lose_answers = count

    @rule(seconds=st.sampled_from((0.05, 0.4, 2.0)))
    def advance_clock(self, seconds):
        """Advance the clock."""
        self.fixture.loop.advance(seconds)

    @precondition(
        lambda self: all(client.transaction is None for client in self.clients)
    )
    @rule(server_id=st.sampled_from(SERVERS))
    def promote(self, server_id):
        """Promote a server that has received all acknowledged commits."""
        servers = self.fixture.servers
        log = servers.by_id[server_id].log
        has_all = all(position in log for _, position in self.acknowledged)
        if server_id != servers.primary and has_all:
            servers.promote(server_id)

    # Invariants

    @invariant()
    def open_transactions_share_no_connection(self):
        """Check that each open transaction has a connection of its own."""
        connection_ids = [
            id(client.transaction.lease.connection)
            for client in self.clients
            if client.transaction is not None and client.transaction.lease is not None
        ]
        assert len(connection_ids) == len(set(connection_ids)), (
            "two transactions share a connection"
        )

    def _run_request(self, client, request):
        ran_before = len(self.fixture.servers.ran)
        transaction = client.transaction
        if transaction is None:
            reply = self.fixture.loop.result(client.executor.run(request))
            self._check_reply(
                client, request.access, reply, ran_before, request.arrived_at
            )
        elif not transaction.failed:
            if transaction.read_only and request.access is Access.WRITE:
                return
            self.fixture.loop.result(
                client.executor.run_in_transaction(transaction, request)
            )
            self._check_values(client, ran_before)
            for execution in self.fixture.servers.ran[ran_before:]:
                client.connection = client.connection or execution[4]
                assert execution[4] is client.connection, "the connection was changed"

    def _check_reply(self, client, access, reply, ran_before, arrived_at):
        self._check_values(client, ran_before)
        if reply.code is not None:
            assert access is Access.WRITE or reply.code is not Code.OUTCOME_UNKNOWN
            return
        if access is Access.WRITE:
            self._record_acknowledged(client, reply.position)
            return
        for position in self._required_positions(client, arrived_at):
            assert reply.position >= position, "the read is too old"

    def _check_values(self, client, ran_before):
        for execution in self.fixture.servers.ran[ran_before:]:
            assert execution[3] == client.values, "another session's values"

    def _required_positions(self, client, arrived_at):
        """Return the positions that a read of the client must have reached."""
        max_age_by_consistency = {Consistency.PRIMARY: 0.0}
        freshness_bound = arrived_at - max_age_by_consistency.get(
            client.consistency, MAX_AGE_SECONDS
        )
        positions = [
            position
            for acknowledged_at, position in self.acknowledged
            if acknowledged_at <= freshness_bound
        ]
        if client.consistency is Consistency.OWN_WRITES and client.last_commit:
            positions.append(client.last_commit)
        return positions

    def _record_acknowledged(self, client, position):
        client.last_commit = position
        self.acknowledged.append((self.fixture.loop.clock.now(), position))


class ConfigurationMachine(RuleBasedStateMachine):
    """Configuration versions that arrive in any order."""

    def __init__(self):
        super().__init__()
        self.catalog = Catalog()
        self.newest_version = None

    @rule(version=st.integers(1, 30))
    def install_version(self, version):
        """Install a version, which succeeds only if it is newer."""
        installed = self.catalog.install(Configuration(version, {}, {}, 3.0, {}))
        assert installed == (
            self.newest_version is None or version > self.newest_version
        )
        if installed:
            self.newest_version = version

    @invariant()
    def newest_version_is_installed(self):
        """Check that the highest offered version is installed."""
        configuration = self.catalog.configuration
        version = None if configuration is None else configuration.version
        assert version == self.newest_version


def search(machine, examples, steps=40, derandomize=True):
    """Run a state machine; an ``AssertionError`` shows a failing history.

    Parameters
    ----------
    machine : type
        Subclass of ``RuleBasedStateMachine``.
    examples : int
        Histories to generate.
    steps : int
        Maximal number of rules in a history.
    derandomize : bool
        Whether every run generates the same histories.
    """
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=derandomize,
            database=None,
            deadline=None,
            # A broken version may fail in several ways. Which of them the examples find
            # depends on names in the source of the machine.
            report_multiple_bugs=False,
            phases=(Phase.generate, Phase.shrink),
        ),
    )


def main(argv=None):
    """Search with fresh seeds."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--examples", type=int, default=1000)
    examples = parser.parse_args(argv).examples
    for machine in (SessionMachine, ConfigurationMachine):
        search(machine, examples, derandomize=False)
        print(f"{machine.__name__}: {examples} histories, none failed")


if __name__ == "__main__":
    main()

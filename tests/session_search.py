"""State machines that search for a session that sees what it must not.

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
MAX_AGE = 1.0  # Of the routes that ``session_builders`` makes.
SHAPES = (Shape(Access.READ, "read shape"), Shape(Access.WRITE, "write shape"))
SESSIONS = st.integers(0, 2)
REPLICAS = st.sampled_from(SERVERS[1:])


class Client:
    """One session, and what a client remembers of it."""

    def __init__(self, bench, consistency):
        self.work = bench.session(consistency)
        self.consistency = consistency
        self.transaction = None
        self.connection = None
        self.own_commit = None

    @property
    def values(self):
        """The session's values by name."""
        return self.work._state.values_by_name


class SessionMachine(RuleBasedStateMachine):
    """Three sessions of different routes at one group with faults."""

    def __init__(self):
        super().__init__()
        self.bench = GroupFixture()
        self.clients = [Client(self.bench, one) for one in Consistency]
        self.acknowledged = []

    # What clients do

    @rule(number=SESSIONS, name=st.sampled_from("xy"), value=st.integers(0, 2))
    def set_value(self, number, name, value):
        """Set a session value."""
        self.clients[number].values[name] = str(value)

    @rule(number=SESSIONS, access=st.sampled_from(Access))
    def run(self, number, access):
        """Run a statement, inside the transaction if one is open."""
        statement = Run(access, "text")
        self._perform(self.clients[number], self.bench.make_request(statement, access))

    @rule(number=SESSIONS, shape=st.sampled_from(SHAPES))
    def execute(self, number, shape):
        """Run a prepared statement."""
        client = self.clients[number]
        if client.transaction is None:
            before = len(self.bench.servers.ran)
            arrived_at = self.bench.loop.clock.now()
            reply = self.bench.execute(client.work, shape)
            self._check(client, shape.access, reply, before, arrived_at)
            for ran in self.bench.servers.ran[before:]:
                assert ran[2] == shape.text, "another statement ran"

    @rule(number=SESSIONS, read_only=st.booleans())
    def begin(self, number, read_only):
        """Begin a transaction."""
        client = self.clients[number]
        if client.transaction is None:
            on_primary = client.consistency is Consistency.PRIMARY
            client.transaction = self.bench.begin(read_only and not on_primary)
            client.connection = None

    @rule(number=SESSIONS, keep=st.booleans())
    def end(self, number, keep):
        """Commit or roll back."""
        client = self.clients[number]
        transaction, client.transaction = client.transaction, None
        if transaction is None or transaction.lease is None:
            return
        if transaction.failed or not keep:
            client.work.roll_back(transaction)
            return
        wrote = transaction.wrote
        reply = self.bench.commit(client.work, transaction)
        if wrote and reply.code is None:
            self._acknowledge(client, reply.position)

    # What befalls the servers

    @rule(server_id=REPLICAS, lagging=st.booleans())
    def lag(self, server_id, lagging):
        """Let a replica apply late, or catch up."""
        self.bench.servers.by_id[server_id].lagging = lagging
        if not lagging:
            self.bench.servers.catch_up(server_id)

    @rule(server_id=st.sampled_from(SERVERS), count=st.integers(1, 2))
    def lose_answers(self, server_id, count):
        """Lose the next answers of a server."""
        self.bench.servers.by_id[server_id].lose_answers = count

    @rule(seconds=st.sampled_from((0.05, 0.4, 2.0)))
    def wait(self, seconds):
        """Let time pass."""
        self.bench.loop.advance(seconds)

    @precondition(lambda self: all(one.transaction is None for one in self.clients))
    @rule(server_id=st.sampled_from(SERVERS))
    def promote(self, server_id):
        """Promote a server that has all acknowledged commits."""
        servers = self.bench.servers
        log = servers.by_id[server_id].log
        has_all = all(position in log for _, position in self.acknowledged)
        if server_id != servers.primary and has_all:
            servers.promote(server_id)

    # What must hold

    @invariant()
    def open_transactions_share_no_connection(self):
        """Check that each open transaction has a connection of its own."""
        held = [
            id(one.transaction.lease.connection)
            for one in self.clients
            if one.transaction is not None and one.transaction.lease is not None
        ]
        assert len(held) == len(set(held)), "two transactions share a connection"

    def _perform(self, client, job):
        before = len(self.bench.servers.ran)
        transaction = client.transaction
        if transaction is None:
            reply = self.bench.loop.result(client.work.run(job))
            self._check(client, job.access, reply, before, job.arrived_at)
        elif not transaction.failed:
            if transaction.read_only and job.access is Access.WRITE:
                return
            self.bench.loop.result(client.work.run_in_transaction(transaction, job))
            self._check_values(client, before)
            for ran in self.bench.servers.ran[before:]:
                client.connection = client.connection or ran[4]
                assert ran[4] is client.connection, "the connection was changed"

    def _check(self, client, access, reply, before, arrived_at):
        self._check_values(client, before)
        if reply.code is not None:
            assert access is Access.WRITE or reply.code is not Code.OUTCOME_UNKNOWN
            return
        if access is Access.WRITE:
            self._acknowledge(client, reply.position)
            return
        for position in self._must_see(client, arrived_at):
            assert reply.position >= position, "the read is too old"

    def _check_values(self, client, before):
        for ran in self.bench.servers.ran[before:]:
            assert ran[3] == client.values, "another session's values"

    def _must_see(self, client, arrived_at):
        ages = {Consistency.PRIMARY: 0.0}
        oldest = arrived_at - ages.get(client.consistency, MAX_AGE)
        found = [position for at, position in self.acknowledged if at <= oldest]
        if client.consistency is Consistency.OWN_WRITES and client.own_commit:
            found.append(client.own_commit)
        return found

    def _acknowledge(self, client, position):
        client.own_commit = position
        self.acknowledged.append((self.bench.loop.clock.now(), position))


class ConfigurationMachine(RuleBasedStateMachine):
    """Versions that arrive in any order, from the store and from peers."""

    def __init__(self):
        super().__init__()
        self.catalog = Catalog()
        self.newest = None

    @rule(version=st.integers(1, 30))
    def offer(self, version):
        """Offer a version."""
        taken = self.catalog.install(Configuration(version, {}, {}, 3.0, {}))
        assert taken == (self.newest is None or version > self.newest)
        if taken:
            self.newest = version

    @invariant()
    def newest_version_is_in_force(self):
        """Check that the highest version that was offered is in force."""
        configuration = self.catalog.configuration
        version = None if configuration is None else configuration.version
        assert version == self.newest


def search(machine, examples, steps=40, derandomize=True):
    """Run a machine; an ``AssertionError`` shows a history that breaks a rule."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=derandomize,
            database=None,
            deadline=None,
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
        print(f"{machine.__name__}: {examples} histories, none broke a rule")


if __name__ == "__main__":
    main()

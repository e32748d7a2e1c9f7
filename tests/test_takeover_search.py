"""Searches histories of faults for a promotion that loses an acknowledged commit."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import takeover
from cassiahill.loop import completed
from cassiahill.statements import Access, Run
from cassiahill.takeover import OrderResult
from tests.session_builders import GroupFixture
from tests.test_takeover import Orders

SERVERS = ("a", "b", "c")
ACTIONS = st.one_of(
    st.tuples(st.just("write"), st.integers(1, 3)),
    st.tuples(st.just("deaf"), st.sampled_from(SERVERS)),
    st.tuples(st.just("dark"), st.sampled_from(SERVERS)),
    st.tuples(st.just("heal"), st.sampled_from(SERVERS)),
    st.tuples(st.just("drain"), st.sampled_from(SERVERS)),
    st.tuples(st.just("late order"), st.integers(1, 2)),
    st.tuples(st.just("wait"), st.integers(1, 20)),
)


class LateOrders(Orders):
    """Carries an order out some time after it was given."""

    def __init__(self, bench):
        super().__init__(bench)
        self.late = 0

    def promote(self, group, server_id, token):
        if not self.late:
            return super().promote(group, server_id, token)
        self.late -= 1
        self.given.append((server_id, token))
        loop = self._bench.loop
        loop.call_at(loop.clock.now() + 1.5, lambda: self._carry_out(server_id, token))
        return completed(OrderResult.UNANSWERED)

    def _carry_out(self, server_id, token):
        newest = max(one for _, one in self.given)
        if token == newest and self._bench.servers.primary != server_id:
            self._bench.servers.promote(server_id)


class History:
    """Plays actions while the promoter looks at the symptoms."""

    def __init__(self, takeover_class=takeover.Takeover):
        self.bench = GroupFixture()
        self.orders = LateOrders(self.bench)
        tokens = itertools.count(1)
        self.takeover = takeover_class(
            self.bench.loop,
            self.bench.group,
            self.orders,
            lambda: next(tokens),
            lambda: completed(True),
            lambda: None,
        )
        self.lost = []
        self._promote = self.bench.servers.promote
        self.bench.servers.promote = self.promote

    def promote(self, server_id):
        """Promote, and note the acknowledged commits that the server lacks."""
        log = self.bench.servers.by_id[server_id].log
        acknowledged = self.bench.servers.acknowledged
        self.lost += [one for one in acknowledged if one not in log]
        self._promote(server_id)

    def play(self, actions):
        """Play the actions; return the commits that a promotion lost."""
        for name, value in actions:
            self._act(name, value)
            self.wait(1)
        return self.lost

    def wait(self, steps):
        """Let some steps of 0.1 s pass."""
        for _ in range(steps):
            now = self.bench.loop.clock.now()
            self.takeover.start_if_needed(self.bench.group.primary_symptoms(now))
            self.bench.loop.advance(0.1)

    def _act(self, name, value):
        servers = self.bench.servers.by_id
        match name:
            case "write":
                for _ in range(value):
                    job = self.bench.make_request(Run(Access.WRITE, "w"), Access.WRITE)
                    self.bench.loop.spawn(self.bench.session().run(job))
            case "deaf":
                servers[value].not_receiving = True
            case "dark":
                # Two dark servers may hold the only copies; no rule covers that.
                if not any(one.unreachable for one in servers.values()):
                    servers[value].unreachable = True
            case "heal":
                servers[value].unreachable = servers[value].not_receiving = False
            case "drain":
                entry = self.bench.servers.registered(value)
                draining = self.bench.servers.registered(value, draining=True)
                self.bench.group.put_server(draining, entry)
            case "late order":
                self.orders.late = value
            case "wait":
                self.wait(value)


class LongestOfAnswering(takeover.Takeover):
    """A wrong version: it promotes the longest log of those that answer."""

    def _switch(self, primary, reason):
        replicas = [one for one in self._group.pools_by_id if one != primary]
        standings = yield from self._ask_all(replicas, takeover.statements.ReadStatus())
        answering = [one for one in standings if one.received is not None]
        if not answering:
            return False
        longest = max(answering, key=lambda one: one.received).server_id
        return (yield from self._order(longest, self._next_token()))


class SearchTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=250, deadline=None)
    @given(st.lists(ACTIONS, max_size=25))
    def test_no_history_loses_an_acknowledged_commit(self, actions):
        """Guards against a loss in a history that nobody thought of."""
        self.assertEqual(History().play(actions), [])

    def test_draining_replica_with_the_only_copy(self):
        """Guards against the history that the search found with fresh seeds."""
        history = [
            ("deaf", "b"),
            ("drain", "a"),
            ("write", 1),
            ("write", 1),
            ("write", 1),
            ("dark", "c"),
            ("write", 2),
            ("wait", 1),
            ("wait", 15),
        ]
        self.assertEqual(History().play(history), [])

    def test_wrong_version_is_found(self):
        """Guards against a search that cannot fail."""
        history = [
            ("deaf", "b"),
            ("write", 3),
            ("wait", 3),
            ("dark", "c"),
            ("heal", "b"),
            ("deaf", "b"),
            ("wait", 5),
        ]
        found = []
        for extra in (("dark", "a"), ("drain", "a")):
            history_with = [*history, extra, ("wait", 20)]
            played = History(LongestOfAnswering)
            if extra[0] == "dark":
                played.play(history)
                played.bench.servers.by_id["a"].unreachable = True
                played.wait(20)
                found += played.lost
            else:
                found += played.play(history_with)
        self.assertTrue(found)


if __name__ == "__main__":
    unittest.main()

"""Searches sequences of faults for a promotion that loses an acknowledged commit."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import acknowledged_commits, sole_copies, statements, takeover
from cassiahill.loop import completed_future
from cassiahill.promotion_orders import OrderResult
from cassiahill.statements import Access, Run
from tests.session_builders import GroupFixture
from tests.takeover_builders import RecordingOrders

SERVERS = ("a", "b", "c")
ACTIONS = st.one_of(
    st.tuples(st.just("write"), st.integers(1, 3)),
    st.tuples(st.just("not receiving"), st.sampled_from(SERVERS)),
    st.tuples(st.just("unreachable"), st.sampled_from(SERVERS)),
    st.tuples(st.just("heal"), st.sampled_from(SERVERS)),
    st.tuples(st.just("drain"), st.sampled_from(SERVERS)),
    st.tuples(st.just("remove"), st.sampled_from(SERVERS)),
    st.tuples(st.just("lose log"), st.sampled_from(SERVERS)),
    st.tuples(st.just("new promoter"), st.booleans()),
    st.tuples(st.just("late order"), st.integers(1, 2)),
    st.tuples(st.just("wait"), st.integers(1, 20)),
)


class DelayedOrders(RecordingOrders):
    """Leaves the next orders unanswered and carries them out 1.5 s later."""

    def __init__(self, fixture):
        super().__init__(fixture)
        self.delayed_count = 0
        self.delayed_ids = []

    def promote(self, group, server_id, token):
        if not self.delayed_count:
            return super().promote(group, server_id, token)
        self.delayed_count -= 1
        self.promotions.append((server_id, token))
        self.delayed_ids.append(server_id)
        loop = self._fixture.loop
        loop.call_at(
            loop.clock.now() + 1.5, lambda: self._promote_late(server_id, token)
        )
        return completed_future(OrderResult.UNANSWERED)

    def _promote_late(self, server_id, token):
        self.delayed_ids.remove(server_id)
        newest_token = max(used_token for _, used_token in self.promotions)
        if token == newest_token and self._fixture.servers.primary != server_id:
            self._fixture.servers.promote(server_id)


class FaultHistory:
    """Runs actions on a group in memory while the promoter watches it."""

    def __init__(
        self,
        takeover_class=takeover.Takeover,
        sole_copies_class=sole_copies.SoleCopies,
        acknowledged_commits_class=acknowledged_commits.AcknowledgedCommits,
    ):
        self.fixture = GroupFixture()
        # Other proxies tell a new promoter what they have seen.
        self.fixture.group.acknowledged_commits = acknowledged_commits_class()
        self.orders = DelayedOrders(self.fixture)
        self._takeover_class = takeover_class
        self._sole_copies_class = sole_copies_class
        self._tokens = itertools.count(1)
        self._incarnations = itertools.count(2)
        self._start_promoter()
        self._removed_ids = set()
        self.lost_commits = []
        self._promote = self.fixture.servers.promote
        self.fixture.servers.promote = self.promote

    def _start_promoter(self):
        """Start a promoter that knows nothing of what happened before."""
        self.fixture.group.sole_copies = self._sole_copies_class()
        is_in_charge = self._takeover = self._takeover_class(
            self.fixture.loop,
            self.fixture.group,
            self.orders,
            lambda: next(self._tokens),
            lambda strictly=False: completed_future(self._takeover is is_in_charge),
            lambda: None,
        )

    def promote(self, server_id):
        """Promote a server; record the acknowledged commits that its log lacks."""
        log = self.fixture.servers.by_id[server_id].log
        acknowledged = self.fixture.servers.acknowledged
        self.lost_commits += [
            position for position in acknowledged if position not in log
        ]
        self._promote(server_id)

    def run_actions(self, actions):
        """Run the actions; return the commits that a promotion lost."""
        for name, value in actions:
            self._apply_action(name, value)
            self.wait(1)
        return self.lost_commits

    def close(self):
        """Close the event loop, which has descriptors."""
        self.fixture.loop.close()

    def wait(self, steps):
        """Advance by steps of 0.1 s; the promoter looks at the symptoms in each."""
        for _ in range(steps):
            now = self.fixture.loop.clock.now()
            self._takeover.start_if_needed(self.fixture.group.primary_symptoms(now))
            self.fixture.loop.advance(0.1)

    def _apply_action(self, name, value):
        match name:
            case "write":
                for _ in range(value):
                    request = self.fixture.make_request(
                        Run(Access.WRITE, "w"), Access.WRITE
                    )
                    self.fixture.loop.spawn(self.fixture.session().run(request))
            case "late order":
                self.orders.delayed_count = value
            case "new promoter":
                self._start_promoter()
            case "wait":
                self.wait(value)
            case _:
                self._change_server(name, value)

    def _change_server(self, name, value):
        servers = self.fixture.servers.by_id
        match name:
            case "not receiving":
                servers[value].not_receiving = True
            case "unreachable":
                # Two unreachable servers may have the only copies of a commit, which
                # no rule can protect.
                if not any(server.unreachable for server in servers.values()):
                    servers[value].unreachable = True
            case "heal":
                servers[value].not_receiving = False
                servers[value].unreachable = value in self._removed_ids
            case "remove":
                # A server that is lost for good.
                if servers[value].unreachable and value not in self._removed_ids:
                    self._removed_ids.add(value)
                    self.fixture.group.remove_server(value)
            case "lose log":
                self._restart_replica_without_its_log(value)
            case "drain" if value not in self._removed_ids:
                entry = self.fixture.servers.registered(value)
                draining = self.fixture.servers.registered(value, draining=True)
                self.fixture.group.put_server(draining, entry)

    def _restart_replica_without_its_log(self, server_id):
        """Restart a replica, if all other servers have the whole log.

        Nothing protects from an order for it that is carried out after its restart.
        """
        servers = self.fixture.servers
        if servers.primary in {None, server_id} or server_id in self._removed_ids:
            return
        server = servers.by_id[server_id]
        newest = servers.by_id[servers.primary].received
        others_are_well = all(
            other.received == newest and not other.unreachable
            for other in servers.by_id.values()
            if other is not server
        )
        if not others_are_well or self.orders.delayed_ids:
            return
        server.log = server.log[:1]
        server.applied = 1
        previous = self.fixture.group.pools_by_id[server_id].server
        restarted = servers.registered(
            server_id, started_at_ms=next(self._incarnations)
        )
        self.fixture.group.put_server(restarted, previous)


class GivesUpSoleCopies(sole_copies.SoleCopies):
    """Broken version that takes what no replica has for unacknowledged (review/1)."""

    def may_be_beyond(self, position):
        return False


class NothingSeen(acknowledged_commits.AcknowledgedCommits):
    """Broken version that takes no notice of acknowledgements."""

    def record(self, position, now):
        pass


class LongestAnsweringLog(takeover.Takeover):
    """Broken version that promotes the longest log among the replicas that answer."""

    def _replace_primary(self, primary, reason):
        replicas = [
            server_id for server_id in self._group.pools_by_id if server_id != primary
        ]
        statuses = yield from self._statuses.ask_all(replicas, statements.ReadStatus())
        answered = [status for status in statuses if status.received is not None]
        if not answered:
            return False
        longest = max(answered, key=lambda status: status.received).server_id
        return (yield from self._promotions.promote(longest, self._next_token()))


class SearchTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=3000, deadline=None)
    @given(st.lists(ACTIONS, max_size=25))
    def test_no_history_loses_an_acknowledged_commit(self, actions):
        """Guards against the loss of a commit by an unforeseen sequence of faults."""
        history = FaultHistory()
        try:
            self.assertEqual(history.run_actions(actions), [])
        finally:
            history.close()

    def test_draining_replica_with_the_only_copy(self):
        """Guards against the loss of a commit that only a draining replica has.

        The search found this sequence.
        """
        history = [
            ("not receiving", "b"),
            ("drain", "a"),
            ("write", 1),
            ("write", 1),
            ("write", 1),
            ("unreachable", "c"),
            ("write", 2),
            ("wait", 1),
            ("wait", 15),
        ]
        self.assertEqual(FaultHistory().run_actions(history), [])

    def test_second_promotion_keeps_what_only_the_first_one_had(self):
        """Guards against a search that would not find the fault of review/1."""
        history = [
            ("not receiving", "b"),
            ("write", 3),
            ("wait", 3),
            ("unreachable", "a"),
            ("wait", 20),
            ("remove", "a"),
            *[("write", 2), ("wait", 5)] * 8,
        ]
        self.assertEqual(FaultHistory().run_actions(history), [])
        # Either of the two guards is enough here.
        for broken_parts in (
            {"sole_copies_class": GivesUpSoleCopies},
            {"acknowledged_commits_class": NothingSeen},
        ):
            guarded = FaultHistory(**broken_parts)
            self.assertEqual(guarded.run_actions(history), [])
        broken = FaultHistory(
            sole_copies_class=GivesUpSoleCopies,
            acknowledged_commits_class=NothingSeen,
        )
        self.assertTrue(broken.run_actions(history))

    def test_broken_version_loses_commits(self):
        """Guards against a search that finds no loss in a broken version either."""
        history = [
            ("not receiving", "b"),
            ("write", 3),
            ("wait", 3),
            ("unreachable", "c"),
            ("heal", "b"),
            ("not receiving", "b"),
            ("wait", 5),
        ]
        lost_commits_found = []
        for last_action in (("unreachable", "a"), ("drain", "a")):
            extended_history = [*history, last_action, ("wait", 20)]
            history_run = FaultHistory(LongestAnsweringLog)
            if last_action[0] == "unreachable":
                history_run.run_actions(history)
                history_run.fixture.servers.by_id["a"].unreachable = True
                history_run.wait(20)
                lost_commits_found += history_run.lost_commits
            else:
                lost_commits_found += history_run.run_actions(extended_history)
        self.assertTrue(lost_commits_found)


if __name__ == "__main__":
    unittest.main()

"""Model of promotions and acknowledged writes over databases in memory.

Calls, answers, polls and results of writes wait in queues until a rule delivers or
drops them, so that any of them can be late, lost or out of order.
"""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cassiahill import acknowledgement, backend_memory, clock, errors, promotion
from cassiahill import promotion_events as events

SERVERS = ("s1", "s2", "s3")
PROMOTERS = ("p1", "p2", "p3")
WRITERS = 2
server_names = st.sampled_from(SERVERS)
indexes = st.integers(0, 5)


class FailoverModel(RuleBasedStateMachine):
    """Several promoters, writers and unreliable links; has hooks for broken parts."""

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock()
        self.group = backend_memory.MemoryGroup("g", SERVERS, self.clock)
        self.databases = self.group.databases_by_name
        self.rng = random.Random(1)
        self.promotions_by_name = {}
        self.started = 0
        self.writes = 0
        self.calls = []
        self.answers = []
        self.results = []
        self.polls = []
        self.trackers = [self.make_tracker() for _ in range(WRITERS)]
        self.written_by_id = {}
        self.acknowledged = []
        self.writers_by_term = {}

    def make_tracker(self):
        return acknowledgement.AckTracker(SERVERS)

    def make_promotion(self, name, suspects, known_term):
        self.started += 1
        return promotion.Promotion(
            SERVERS, f"{name}/{self.started}", suspects, known_term, self.rng
        )

    def primaries(self):
        return [d for d in self.databases.values() if d.role == "primary"]

    # Promoters

    @rule(name=st.sampled_from(PROMOTERS), seen=server_names)
    def start_promotion(self, name, seen):
        """Start a promotion; the promoter's earlier one died with it."""
        status = self.databases[seen]
        self.promotions_by_name[name] = self.make_promotion(
            name, {status.primary} - {""}, status.term
        )
        self.send(name, events.Start())

    def send(self, name, event):
        machine = self.promotions_by_name[name]
        for action in machine.step(event, self.clock.now()):
            match action:
                case events.ClaimInPlatform(term=term):
                    answer = events.ClaimAnswered(term, True)
                    self.answers.append((name, machine, answer))
                case events.RaiseTerm() | events.Promote() | events.Follow():
                    self.calls.append((name, machine, action))

    @precondition(lambda self: self.calls)
    @rule(index=indexes, answered=st.sampled_from((True, True, True, False)))
    def deliver_call(self, index, answered):
        """Run a call on its database; the answer may be lost."""
        name, machine, action = self.calls.pop(index % len(self.calls))
        database = self.databases[action.server]
        if not database.reachable:
            answered = True
            event = events.CallFailed(action.term, action.server, False)
        else:
            event = self.apply(database, machine.promotion_id, action)
        if answered:
            self.answers.append((name, machine, event))

    @staticmethod
    def apply(database, by, action):
        term, server = action.term, action.server
        try:
            match action:
                case events.RaiseTerm():
                    return events.TermRaised(term, database.raise_term(term, by))
                case events.Promote():
                    database.promote(term, by)
                    return events.Promoted(term, server)
                case events.Follow(primary=primary):
                    database.follow(term, primary)
                    return events.Followed(term, server)
        except errors.StaleTerm:
            return events.CallFailed(term, server, True)
        raise AssertionError(action)

    @precondition(lambda self: self.answers)
    @rule(index=indexes)
    def deliver_answer(self, index):
        """Hand an answer to its promoter, unless that has died."""
        name, machine, event = self.answers.pop(index % len(self.answers))
        if self.promotions_by_name.get(name) is machine:
            self.send(name, event)

    @precondition(lambda self: self.calls or self.answers)
    @rule()
    def deliver_all(self):
        """Deliver everything that is pending."""
        for _ in range(60):
            if self.calls:
                self.deliver_call(0, True)
            elif self.answers:
                self.deliver_answer(0)
            else:
                return

    @rule(name=st.sampled_from(PROMOTERS), seconds=st.sampled_from((0.05, 0.5)))
    def tick(self, name, seconds):
        self.clock.advance(seconds)
        if name in self.promotions_by_name:
            self.send(name, events.Tick())

    @rule(name=st.sampled_from(PROMOTERS))
    def kill_promoter(self, name):
        self.promotions_by_name.pop(name, None)

    @rule(seen=st.sets(server_names, min_size=1))
    def send_follow_to_returning(self, seen):
        """Send the follow commands of an observer that reaches some databases."""
        statuses = [self.databases[s].status(self.clock.now()) for s in sorted(seen)]
        leader = max(statuses, key=lambda s: (s.term, s.role == "primary"))
        for action in promotion.follow_commands(
            statuses, SERVERS, leader.term, leader.server
        ):
            self.apply(self.databases[action.server], "", action)

    # Databases

    @rule(server=server_names, reachable=st.booleans())
    def partition(self, server, reachable):
        self.databases[server].reachable = reachable

    @rule(server=server_names, count=st.sampled_from((1, 1, 20)))
    def replicate(self, server, count):
        self.group.replicate(server, count)

    # Writers

    @precondition(lambda self: self.primaries())
    @rule(index=indexes, writer=st.integers(0, WRITERS - 1))
    def write(self, index, writer):
        """Write to any database that takes itself for the primary."""
        primaries = self.primaries()
        database = primaries[index % len(primaries)]
        self.writes += 1
        position = database.write(database.term, self.writes)
        result = (self.writes, database.name, database.term, position)
        self.written_by_id[self.writes] = result
        self.results.append((writer, result))

    @precondition(lambda self: self.results)
    @rule(index=indexes)
    def deliver_result(self, index):
        writer, result = self.results.pop(index % len(self.results))
        now = self.clock.now()
        self.settle(self.trackers[writer].record_write(*result, now, now + 60.0))

    @rule(server=server_names)
    def poll(self, server):
        self.polls.append(self.databases[server].status(self.clock.now()))

    @precondition(lambda self: self.polls)
    @rule(index=indexes, writer=st.integers(0, WRITERS - 1))
    def deliver_poll(self, index, writer):
        status = self.polls.pop(index % len(self.polls))
        self.settle(self.trackers[writer].record_status(status))
        for name in list(self.promotions_by_name):
            self.send(name, events.Observed(status))

    @precondition(lambda self: self.primaries())
    @rule(index=indexes, replica=server_names, writer=st.integers(0, WRITERS - 1))
    def write_and_confirm(self, index, replica, writer):
        """Write, replicate to one replica and poll it, without delay."""
        self.write(index, writer)
        self.deliver_result(len(self.results) - 1)
        self.replicate(replica, 20)
        self.poll(replica)
        self.deliver_poll(len(self.polls) - 1, writer)

    @rule(name=st.sampled_from(PROMOTERS), order=st.permutations(SERVERS))
    def promote_without_delay(self, name, order):
        """Run one promotion whose calls arrive in a given order."""
        self.start_promotion(name, order[0])
        for _ in range(12):
            mine = [i for i, call in enumerate(self.calls) if call[0] == name]
            mine.sort(key=lambda i: order.index(self.calls[i][2].server))
            if mine:
                self.deliver_call(mine[0], True)
            for i in reversed(range(len(self.answers))):
                if self.answers[i][0] == name:
                    self.deliver_answer(i)

    def settle(self, decisions):
        for decision in decisions:
            if isinstance(decision, acknowledgement.Acknowledge):
                self.acknowledged.append(self.written_by_id[decision.write_id])

    # What must hold

    @invariant()
    def entries_of_a_term_come_from_one_primary(self):
        for database in self.databases.values():
            if database.role == "primary":
                known = self.writers_by_term.setdefault(database.term, database.name)
                assert known == database.name, "two primaries in one term"

    @invariant()
    def one_primary_is_acknowledged_per_term(self):
        servers_by_term = {}
        for _, server, term, _ in self.acknowledged:
            servers_by_term.setdefault(term, set()).add(server)
        assert all(len(servers) == 1 for servers in servers_by_term.values())

    @invariant()
    def later_primaries_hold_acknowledged_writes(self):
        """Cover late acknowledgements in a replaced term, too."""
        for database in self.databases.values():
            if database.role != "primary":
                continue
            for write_id, _, term, position in self.acknowledged:
                if term < database.term:
                    found = database.entries[position - 1 : position]
                    assert found == [(term, write_id)], "acknowledged write is lost"

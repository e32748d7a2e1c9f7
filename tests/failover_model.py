"""Hypothesis model of promotions and acknowledged writes, on databases in memory.

Calls, their answers, status polls and results of writes wait in lists until a rule
delivers or drops them. Each of them can therefore be late, lost or out of order.
"""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cassiahill import acknowledgement, backend_memory, clock, errors, promotion
from cassiahill import promotion_events as events

SERVERS = ("s1", "s2", "s3")
PROMOTERS = ("p1", "p2", "p3")
WRITER_COUNT = 2
SERVER_NAMES = st.sampled_from(SERVERS)
INDEXES = st.integers(0, 5)


class FailoverModel(RuleBasedStateMachine):
    """Promoters and writers over unreliable links.

    Broken versions override ``make_tracker`` and ``make_promotion``.
    """

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock()
        self.group = backend_memory.MemoryGroup("g", SERVERS, self.clock)
        self.databases = self.group.databases_by_name
        self.rng = random.Random(1)
        self.promotion_by_promoter = {}
        self.promotion_count = 0
        self.write_count = 0
        self.calls = []
        self.answers = []
        self.results = []
        self.polls = []
        self.trackers = [self.make_tracker() for _ in range(WRITER_COUNT)]
        self.writes_by_id = {}
        self.acknowledged = []
        self.primary_by_term = {}

    def make_tracker(self):
        return acknowledgement.AckTracker(SERVERS)

    def make_promotion(self, promoter, avoided_servers, known_term):
        self.promotion_count += 1
        return promotion.Promotion(
            SERVERS,
            f"{promoter}/{self.promotion_count}",
            avoided_servers,
            known_term,
            self.rng,
        )

    def primaries(self):
        return [
            database
            for database in self.databases.values()
            if database.role == "primary"
        ]

    # Promoters

    @rule(promoter=st.sampled_from(PROMOTERS), polled_server=SERVER_NAMES)
    def start_promotion(self, promoter, polled_server):
        """Start a promotion; an earlier one of the same promoter is abandoned."""
        status = self.databases[polled_server]
        self.promotion_by_promoter[promoter] = self.make_promotion(
            promoter, {status.primary} - {""}, status.term
        )
        self.handle_event(promoter, events.Start())

    def handle_event(self, promoter, event):
        group_promotion = self.promotion_by_promoter[promoter]
        for action in group_promotion.step(event, self.clock.now()):
            match action:
                case events.ClaimInPlatform(term=term):
                    answer = events.ClaimAnswered(term, True)
                    self.answers.append((promoter, group_promotion, answer))
                case events.RaiseTerm() | events.Promote() | events.Follow():
                    self.calls.append((promoter, group_promotion, action))

    @precondition(lambda self: self.calls)
    @rule(index=INDEXES, answer_arrives=st.sampled_from((True, True, True, False)))
    def deliver_call(self, index, answer_arrives):
        """Run a call at its database; its answer may be lost."""
        promoter, group_promotion, action = self.calls.pop(index % len(self.calls))
        database = self.databases[action.server]
        if not database.reachable:
            answer_arrives = True
            event = events.CallFailed(action.term, action.server, False)
        else:
            event = self.apply(database, group_promotion.promotion_id, action)
        if answer_arrives:
            self.answers.append((promoter, group_promotion, event))

    @staticmethod
    def apply(database, promotion_id, action):
        term, server = action.term, action.server
        try:
            match action:
                case events.RaiseTerm():
                    return events.TermRaised(
                        term, database.raise_term(term, promotion_id)
                    )
                case events.Promote():
                    database.promote(term, promotion_id)
                    return events.Promoted(term, server)
                case events.Follow(primary=primary):
                    database.follow(term, primary)
                    return events.Followed(term, server)
        except errors.StaleTerm:
            return events.CallFailed(term, server, True)
        raise AssertionError(action)

    @precondition(lambda self: self.answers)
    @rule(index=INDEXES)
    def deliver_answer(self, index):
        """Pass an answer to its promotion, unless that was abandoned."""
        promoter, group_promotion, event = self.answers.pop(index % len(self.answers))
        if self.promotion_by_promoter.get(promoter) is group_promotion:
            self.handle_event(promoter, event)

    @precondition(lambda self: self.calls or self.answers)
    @rule()
    def deliver_all(self):
        """Deliver all pending calls and answers."""
        for _ in range(60):
            if self.calls:
                self.deliver_call(0, True)
            elif self.answers:
                self.deliver_answer(0)
            else:
                return

    @rule(promoter=st.sampled_from(PROMOTERS), seconds=st.sampled_from((0.05, 0.5)))
    def tick(self, promoter, seconds):
        self.clock.advance(seconds)
        if promoter in self.promotion_by_promoter:
            self.handle_event(promoter, events.Tick())

    @rule(promoter=st.sampled_from(PROMOTERS))
    def stop_promoter(self, promoter):
        self.promotion_by_promoter.pop(promoter, None)

    @rule(polled_servers=st.sets(SERVER_NAMES, min_size=1))
    def send_follow_commands(self, polled_servers):
        """Run the follow commands of an observer that reaches some databases."""
        statuses = [
            self.databases[server].status(self.clock.now())
            for server in sorted(polled_servers)
        ]
        primary_status = max(
            statuses, key=lambda status: (status.term, status.role == "primary")
        )
        for action in promotion.follow_commands(
            statuses, SERVERS, primary_status.term, primary_status.server
        ):
            self.apply(self.databases[action.server], "", action)

    # Databases

    @rule(server=SERVER_NAMES, reachable=st.booleans())
    def partition(self, server, reachable):
        self.databases[server].reachable = reachable

    @rule(server=SERVER_NAMES, count=st.sampled_from((1, 1, 20)))
    def replicate(self, server, count):
        self.group.replicate(server, count)

    # Writers

    @precondition(lambda self: self.primaries())
    @rule(index=INDEXES, writer=st.integers(0, WRITER_COUNT - 1))
    def write(self, index, writer):
        """Write to a database whose role is primary, even in a replaced term."""
        primaries = self.primaries()
        database = primaries[index % len(primaries)]
        self.write_count += 1
        position = database.write(database.term, self.write_count)
        result = (self.write_count, database.name, database.term, position)
        self.writes_by_id[self.write_count] = result
        self.results.append((writer, result))

    @precondition(lambda self: self.results)
    @rule(index=INDEXES)
    def deliver_result(self, index):
        writer, result = self.results.pop(index % len(self.results))
        now = self.clock.now()
        self.record_acknowledgements(
            self.trackers[writer].record_write(*result, now, now + 60.0)
        )

    @rule(server=SERVER_NAMES)
    def poll(self, server):
        self.polls.append(self.databases[server].status(self.clock.now()))

    @precondition(lambda self: self.polls)
    @rule(index=INDEXES, writer=st.integers(0, WRITER_COUNT - 1))
    def deliver_poll(self, index, writer):
        status = self.polls.pop(index % len(self.polls))
        self.record_acknowledgements(self.trackers[writer].record_status(status))
        for promoter in list(self.promotion_by_promoter):
            self.handle_event(promoter, events.Observed(status))

    @precondition(lambda self: self.primaries())
    @rule(index=INDEXES, replica=SERVER_NAMES, writer=st.integers(0, WRITER_COUNT - 1))
    def write_and_confirm(self, index, replica, writer):
        """Write, replicate to one replica and poll it, without delay."""
        self.write(index, writer)
        self.deliver_result(len(self.results) - 1)
        self.replicate(replica, 20)
        self.poll(replica)
        self.deliver_poll(len(self.polls) - 1, writer)

    @rule(promoter=st.sampled_from(PROMOTERS), order=st.permutations(SERVERS))
    def run_promotion_without_delay(self, promoter, order):
        """Run one promotion whose calls arrive in a given order."""
        self.start_promotion(promoter, order[0])
        for _ in range(12):
            own_indexes = [
                index for index, call in enumerate(self.calls) if call[0] == promoter
            ]
            own_indexes.sort(key=lambda index: order.index(self.calls[index][2].server))
            if own_indexes:
                self.deliver_call(own_indexes[0], True)
            for index in reversed(range(len(self.answers))):
                if self.answers[index][0] == promoter:
                    self.deliver_answer(index)

    def record_acknowledgements(self, decisions):
        for decision in decisions:
            if isinstance(decision, acknowledgement.Acknowledge):
                self.acknowledged.append(self.writes_by_id[decision.write_id])

    # Invariants

    @invariant()
    def entries_of_a_term_come_from_one_primary(self):
        for database in self.databases.values():
            if database.role == "primary":
                primary = self.primary_by_term.setdefault(database.term, database.name)
                assert primary == database.name, "two primaries in one term"

    @invariant()
    def one_primary_is_acknowledged_per_term(self):
        servers_by_term = {}
        for _, server, term, _ in self.acknowledged:
            servers_by_term.setdefault(term, set()).add(server)
        assert all(len(servers) == 1 for servers in servers_by_term.values())

    @invariant()
    def later_primaries_hold_acknowledged_writes(self):
        """Include writes that are acknowledged after their term was replaced."""
        for database in self.databases.values():
            if database.role != "primary":
                continue
            for write_id, _, term, position in self.acknowledged:
                if term < database.term:
                    entries = database.entries[position - 1 : position]
                    assert entries == [(term, write_id)], "acknowledged write is lost"

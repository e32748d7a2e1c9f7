"""Model of a group, two proxies and roaming sessions, driven event by event.

The databases run real SQL on ``standins.sqllog``; the proxies use the real views,
policies, tokens, trackers and outcomes. ``Parts`` exchanges one of them for a broken
version. The naive version is one copy of the acknowledged data.
"""

import contextlib

import attrs

from cassiahill import (
    acknowledgement,
    backend,
    errors,
    history,
    messages,
    outcomes,
    routing,
    tokens,
)
from tests.database_model import GROUP, SERVERS, Group
from tests.session_parts import Call, Parts, Proxy, Session, Write

STATED_AGE = 0.2
DOMAINS = {"s1": "a", "s2": "b", "s3": "c"}
SCHEMA = backend.Batch(
    (messages.Statement("CREATE TABLE items (item, value)"),), 1, False, 1.0
)
FRESHNESS = (messages.OwnWrites(), messages.MaxAge(STATED_AGE), messages.AnyAge())


class Model(Group):
    """All events are methods; each leaves the model in a consistent state."""

    def __init__(self, parts=None):
        self.parts = parts or Parts()
        super().__init__()
        self.databases["s1"].execute(SCHEMA, self.now)
        self.proxies = [Proxy(self.parts), Proxy(self.parts)]
        self.sessions = [Session("a"), Session("b")]
        self.signer = tokens.TokenSigner({"k": b"secret"}, "k")
        self.recorder = history.Recorder()
        self.naive = {}
        self.findings = []
        self.calls = []
        self.answers = []  # Calls that ran and whose answer has not arrived.
        self.late = []  # Batches whose caller gave up before they ran.
        self.statuses = []  # Answers of polls that have not arrived.
        self.waiting = {}  # What to do once a write is acknowledged, by write id.
        self._ids = 0
        self.settle()

    # Events of polls

    def poll(self, name, proxy, asked_before=0.0):
        """Answer a poll; the answer is in flight afterwards."""
        sent_at = max(100.0, self.now - asked_before)
        self.statuses.append((proxy, self.databases[name].status(sent_at)))

    def deliver(self, index=0):
        proxy, status = self.statuses.pop(index % len(self.statuses))
        proxy = self.proxies[proxy]
        proxy.view.record_status(attrs.evolve(status, received_at=self.now))
        for decision in proxy.tracker.record_status(status):
            self._decided(decision)

    def lose_status(self, index=0):
        self.statuses.pop(index % len(self.statuses))

    def confirm(self, proxy=0):
        """Let the replicas catch up and one proxy see it."""
        for name in SERVERS:
            self.pull(name, 10_000)
            self.poll(name, proxy)
            self.deliver(-1)

    def settle(self):
        """Let everything catch up and be seen by both proxies."""
        self.statuses.clear()
        for name in SERVERS:
            if self.databases[name] is not self.primary:
                self.databases[name].role = "replica"
                self.pull(name, 10_000)
        for proxy in range(len(self.proxies)):
            for name in SERVERS:
                self.poll(name, proxy)
                self.deliver()

    # Events of sessions

    def read(self, session, proxy, item, wanted=FRESHNESS[0]):
        """Send a read to where the policy says; return whether it was sent."""
        session, proxy = self.sessions[session], self.proxies[proxy]
        if session.busy:
            return False
        statement = messages.Statement(
            "SELECT value FROM items WHERE item = ?", (item,)
        )
        server = self._route(session, proxy, "read", statement, wanted)
        if server is None:
            return False

        def steps(term):
            return (yield backend.Batch((statement,), term, True, 1.0))

        before = self._mark(session)
        target = proxy.view.read_target(server, self.now)

        def finish(call, result):
            if not proxy.view.answer_contains_mark(target, result.position, before):
                return
            stated = proxy.view.answer_age(target, result.position, self.now)
            self._check_age(call, stated)
            mark = proxy.view.mark_after_read(target, result.position)
            self._advance(session, mark)
            values = tuple(row[0] for row in result.results[0].rows)
            self._record(
                session, "read", item, values=values, outcome=history.DONE,
                term=mark.term, position=mark.position,
                row_count=result.results[0].row_count,
            )  # fmt: skip

        self._start(session, proxy, server, steps(proxy.view.term), finish)
        return True

    def write(self, session, proxy, item, key=None):
        """Start a write, or send the unsettled one again when it has a key."""
        session, proxy = self.sessions[session], self.proxies[proxy]
        if session.busy or (session.write is not None and session.write.key is None):
            return False
        if session.write is None:
            self._ids += 1
            session.write = Write(item, f"v{self._ids}", key and f"{key}{self._ids}")
        write = session.write
        server = self._route(session, proxy, "write", write.statement)
        if server is None:
            if not write.attempted:
                session.write = None
            return False
        self._start(
            session,
            proxy,
            server,
            self._write_steps(write, server, proxy.view.term),
            lambda call, outcome: self._write_ended(call, write, outcome),
        )
        return True

    def _write_steps(self, write, server, term):
        if write.key is None:
            batch = backend.Batch((write.statement,), term, False, 1.0)
            try:
                result = yield batch
            except errors.CassiahillError as error:
                return outcomes.outcome_of_error(error)
            return outcomes.Done(
                result.results[0], server, result.term, result.position
            )
        digest = outcomes.statement_digest(write.statement)
        keyed = outcomes.KeyedWrite(
            write.key, digest, write.statement, server, term, self.now, 1.0
        )
        return (yield from self.parts.keyed_write(keyed))

    def resolve(self, session, proxy):
        """Settle the unsettled write of a session by its key."""
        session, proxy = self.sessions[session], self.proxies[proxy]
        write, server = session.write, proxy.view.primary
        if session.busy or write is None or write.key is None or not server:
            return False
        digest = outcomes.statement_digest(write.statement)
        steps = self.parts.resolve(write.key, digest, proxy.view.term, self.now, 1.0)
        self._start(
            session, proxy, server, steps,
            lambda call, outcome: self._write_ended(call, write, outcome),
        )  # fmt: skip
        return True

    def give_up(self, session):
        """Stop waiting for acknowledgements, and leave a write unsettled."""
        session = self.sessions[session]
        for proxy in self.proxies:
            for decision in proxy.tracker.expire_writes(1e12):
                self._decided(decision)
        if not session.busy and session.write is not None:
            write, session.write = session.write, None
            self._record_write(session, write, history.UNKNOWN)

    # Events of requests in flight

    def arrive(self, index=0, answered=True):
        """Run a batch in flight; its answer may be lost."""
        call = self.execute(index)
        self.answers.remove(call)
        self._answer(call, call.result if answered else errors.OutcomeUnknown("lost"))

    def execute(self, index=0):
        """Run a batch in flight; its answer is in flight afterwards."""
        call = self.calls.pop(index % len(self.calls))
        database = self.databases[call.server]
        try:
            call.result = database.execute(call.batch, self.now)
        except errors.CassiahillError as error:
            call.result = error
        call.terms = [entry.term for entry in database.log.entries]
        self.answers.append(call)
        return call

    def answer(self, index=0):
        """Deliver the answer of a batch that ran."""
        call = self.answers.pop(index % len(self.answers))
        self._answer(call, call.result)

    def delay(self, index=0):
        """Give up on a batch that runs later."""
        call = self.calls.pop(index % len(self.calls))
        self.late.append((call.server, call.batch))
        self._answer(call, errors.OutcomeUnknown("late"))

    def run_late(self, index=0):
        server, batch = self.late.pop(index % len(self.late))
        with contextlib.suppress(errors.CassiahillError):
            self.databases[server].execute(batch, self.now)

    def finish(self):
        """Run what is in flight, settle, and return all findings."""
        while self.calls or self.answers:
            if self.calls:
                self.arrive()
            else:
                self.answer()
        while self.late:
            self.run_late()
        for index in range(len(self.sessions)):
            self.give_up(index)
        self.settle()
        for session in range(len(self.sessions)):
            for item in "xy":
                # The second read follows when the first was told of a divergence.
                if self.read(session, 0, item) or self.read(session, 0, item):
                    self.arrive()
        rows = self.primary.log.read([["SELECT item, value FROM items", []]])[0]["rows"]
        final = {}
        for item, value in rows:
            final.setdefault(item, []).append(value)
        for item, values in self.naive.items():
            if not set(values) <= set(final.get(item, ())):
                self.findings.append(f"the naive copy has more in {item}")
        return self.findings + self.recorder.check(final)

    # Parts of events

    def _route(self, session, proxy, kind, statement, wanted=FRESHNESS[0]):
        request = messages.StatementRequest(
            kind, GROUP, statement, messages.Rank.ROUTINE, self.now + 1.0, wanted,
            None, False, "caller", session.token,
        )  # fmt: skip
        route = proxy.policy.route(
            request, self._mark(session), proxy.view, {}, set(), "a", DOMAINS, self.now
        )
        if isinstance(route, routing.Refuse):
            session.token = None
            self._record(session, kind, "", outcome=history.DIVERGED)
        return route.server if isinstance(route, routing.ToServer) else None

    def _start(self, session, proxy, server, steps, finish):
        session.busy = True
        batch = next(steps)
        unknown = proxy.view.mark_for_unknown_write(proxy.view.term)
        extends = proxy.view.history_contains(self._mark(session))
        self.calls.append(
            Call(session, proxy, server, steps, batch, finish, unknown, extends)
        )

    def _answer(self, call, result):
        try:
            if isinstance(result, errors.CassiahillError):
                call.batch = call.steps.throw(result)
            else:
                call.batch = call.steps.send(result)
            self.calls.append(call)
        except StopIteration as stop:
            call.session.busy = False
            call.finish(call, stop.value)
        except errors.CassiahillError:
            call.session.busy = False  # A read failed.

    def _write_ended(self, call, write, outcome):
        """Wait for the acknowledgement of what proves an outcome."""
        if getattr(outcome, "position", None) is None:
            self._write_settled(call, write, outcome)
            return
        self._ids += 1
        call.session.busy = True
        self.waiting[self._ids] = (call, write, outcome)
        for decision in call.proxy.tracker.record_write(
            self._ids, call.server, outcome.term, outcome.position, self.now, 1e9
        ):
            self._decided(decision)

    def _decided(self, decision):
        call, write, outcome = self.waiting.pop(decision.write_id)
        call.session.busy = False
        if isinstance(decision, acknowledgement.ReportUnknown):
            outcome = outcomes.Unknown(
                write.key, errors.OutcomeUnknown("not confirmed")
            )
        self._write_settled(call, write, outcome)

    def _write_settled(self, call, write, outcome):
        session = call.session
        match outcome:
            case outcomes.Done():
                session.write = None
                mark = tokens.Mark(outcome.term, outcome.position)
                if call.may_advance:
                    self._advance(session, mark)
                self.naive.setdefault(write.item, []).append(write.value)
                self._record_write(session, write, history.DONE, mark)
                if outcome.result.row_count != 1:
                    self.findings.append(f"row count {outcome.result.row_count}")
            case outcomes.NotRun(error):
                proven = isinstance(error, errors.KeyClosed)
                if proven or not write.attempted:
                    session.write = None
                    self._record_write(session, write, history.NOT_RUN)
            case outcomes.Unknown():
                write.attempted = True
                if call.may_advance:
                    self._advance(session, call.mark_for_unknown_write)
                if write.key is None:
                    session.write = None
                    self._record_write(session, write, history.UNKNOWN)

    def _mark(self, session):
        return self.signer.decode(session.token, "caller").marks_by_group.get(GROUP)

    def _advance(self, session, mark):
        token = self.signer.decode(session.token, "caller").with_mark(GROUP, mark)
        session.token = self.signer.encode(token)

    def _check_age(self, call, stated):
        true_age = 0.0
        for index, entry in enumerate(self.primary.log.entries):
            if index >= len(call.terms) or call.terms[index] != entry.term:
                true_age = self.now - self.primary.commit_times[index]
                break
        if true_age > stated + 1e-9:
            self.findings.append(f"age {true_age:.3f} s, stated {stated:.3f} s")

    def _record_write(self, session, write, outcome, mark=None):
        mark = mark or tokens.Mark(0, 0)
        self._record(
            session, "write", write.item, value=write.value, key=write.key,
            outcome=outcome, term=mark.term, position=mark.position,
        )  # fmt: skip

    def _record(self, session, kind, item, **fields):
        self.recorder.record(history.Operation(session.name, kind, item, **fields))

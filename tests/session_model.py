"""Simulation of a database group, two proxies and two sessions that use either proxy.

The databases run real SQL on ``standins.sqllog``; the proxies use the real views,
policies, tokens, trackers and outcomes. ``Components`` replaces one of them by a broken
version. The final data is compared with a plain copy of the acknowledged writes.
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
from tests.database_model import GROUP_NAME, SERVER_NAMES, DatabaseGroup
from tests.session_parts import Components, InFlightRequest, Proxy, Session, Write

MAX_AGE_SECONDS = 0.2
DOMAIN_BY_SERVER = {"s1": "a", "s2": "b", "s3": "c"}
CREATE_TABLE_BATCH = backend.Batch(
    (messages.Statement("CREATE TABLE items (item, value)"),), 1, False, 1.0
)
FRESHNESS_CHOICES = (
    messages.OwnWrites(),
    messages.MaxAge(MAX_AGE_SECONDS),
    messages.AnyAge(),
)


class SessionModel(DatabaseGroup):
    """Simulated group, proxies and sessions; each public method is one event.

    Databases are given by name; sessions, proxies and messages in flight by index.
    """

    def __init__(self, components=None):
        self.components = components or Components()
        super().__init__()
        self.databases["s1"].execute(CREATE_TABLE_BATCH, self.now)
        self.proxies = [Proxy(self.components), Proxy(self.components)]
        self.sessions = [Session("a"), Session("b")]
        self.signer = tokens.TokenSigner({"k": b"secret"}, "k")
        self.recorder = history.Recorder()
        self.acknowledged_values_by_item = {}
        self.findings = []
        self.sent_requests = []
        self.executed_requests = []  # Their batch ran; its answer has not arrived.
        self.delayed_batches = []  # (server, batch) that runs after its time-out.
        self.statuses_in_flight = []  # (proxy index, status) not yet delivered.
        self.unacknowledged_writes = {}  # write id: (request, write, outcome)
        self._last_id = 0
        self.catch_up_all()

    # Status polls

    def poll(self, server, proxy_index, request_age_seconds=0.0):
        """Let a database answer a status poll; the answer is in flight afterwards."""
        sent_at = max(100.0, self.now - request_age_seconds)
        self.statuses_in_flight.append(
            (proxy_index, self.databases[server].status(sent_at))
        )

    def deliver_status(self, index=0):
        """Deliver a status in flight to its proxy."""
        proxy_index, status = self.statuses_in_flight.pop(
            index % len(self.statuses_in_flight)
        )
        proxy = self.proxies[proxy_index]
        proxy.view.record_status(attrs.evolve(status, received_at=self.now))
        for decision in proxy.tracker.record_status(status):
            self._handle_ack_decision(decision)

    def lose_status(self, index=0):
        """Drop a status in flight."""
        self.statuses_in_flight.pop(index % len(self.statuses_in_flight))

    def confirm_replication(self, proxy_index=0):
        """Let the replicas catch up and one proxy poll all databases."""
        for server in SERVER_NAMES:
            self.pull(server, 10_000)
            self.poll(server, proxy_index)
            self.deliver_status(-1)

    def catch_up_all(self):
        """Let all databases follow the primary, and both proxies poll them all."""
        self.statuses_in_flight.clear()
        for server in SERVER_NAMES:
            if self.databases[server] is not self.primary:
                self.databases[server].role = "replica"
                self.pull(server, 10_000)
        for proxy_index in range(len(self.proxies)):
            for server in SERVER_NAMES:
                self.poll(server, proxy_index)
                self.deliver_status()

    # Requests of sessions

    def read(self, session_index, proxy_index, item, freshness=FRESHNESS_CHOICES[0]):
        """Send a read to the server that the policy chooses; return if it was sent."""
        session, proxy = self.sessions[session_index], self.proxies[proxy_index]
        if session.busy:
            return False
        statement = messages.Statement(
            "SELECT value FROM items WHERE item = ?", (item,)
        )
        server = self._choose_server(session, proxy, "read", statement, freshness)
        if server is None:
            return False

        def read_batches(term):
            return (yield backend.Batch((statement,), term, True, 1.0))

        session_mark = self._session_mark(session)
        target = proxy.view.read_target(server, self.now)

        def record_read(request, result):
            if not proxy.view.answer_contains_mark(
                target, result.position, session_mark
            ):
                return
            stated_age = proxy.view.answer_age(target, result.position, self.now)
            self._check_age(request, stated_age)
            mark = proxy.view.mark_after_read(target, result.position)
            self._advance_session_mark(session, mark)
            values = tuple(row[0] for row in result.results[0].rows)
            self._record_operation(
                session, "read", item, values=values, outcome=history.DONE,
                term=mark.term, position=mark.position,
                row_count=result.results[0].row_count,
            )  # fmt: skip

        self._start_request(
            session, proxy, server, read_batches(proxy.view.term), record_read
        )
        return True

    def write(self, session_index, proxy_index, item, key=None):
        """Send a write, or send the session's unsettled write again if it has a key.

        Returns whether it was sent.
        """
        session, proxy = self.sessions[session_index], self.proxies[proxy_index]
        if session.busy or (
            session.unsettled_write is not None and session.unsettled_write.key is None
        ):
            return False
        if session.unsettled_write is None:
            self._last_id += 1
            session.unsettled_write = Write(
                item, f"v{self._last_id}", key and f"{key}{self._last_id}"
            )
        write = session.unsettled_write
        server = self._choose_server(session, proxy, "write", write.statement)
        if server is None:
            if not write.attempted:
                session.unsettled_write = None
            return False
        self._start_request(
            session,
            proxy,
            server,
            self._write_batches(write, server, proxy.view.term),
            lambda request, outcome: self._handle_write_outcome(
                request, write, outcome
            ),
        )
        return True

    def _write_batches(self, write, server, term):
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
        keyed_write = outcomes.KeyedWrite(
            write.key, digest, write.statement, server, term, self.now, 1.0
        )
        return (yield from self.components.keyed_write(keyed_write))

    def resolve(self, session_index, proxy_index):
        """Ask for the outcome of a session's unsettled write by its key.

        Returns whether the request was sent.
        """
        session, proxy = self.sessions[session_index], self.proxies[proxy_index]
        write, server = session.unsettled_write, proxy.view.primary
        if session.busy or write is None or write.key is None or not server:
            return False
        digest = outcomes.statement_digest(write.statement)
        batches = self.components.resolve(
            write.key, digest, proxy.view.term, self.now, 1.0
        )
        self._start_request(
            session, proxy, server, batches,
            lambda request, outcome: self._handle_write_outcome(
                request, write, outcome
            ),
        )  # fmt: skip
        return True

    def give_up_write(self, session_index):
        """Expire all pending acknowledgements; record a session's write as unknown."""
        session = self.sessions[session_index]
        for proxy in self.proxies:
            for decision in proxy.tracker.expire_writes(1e12):
                self._handle_ack_decision(decision)
        if not session.busy and session.unsettled_write is not None:
            write, session.unsettled_write = session.unsettled_write, None
            self._record_write(session, write, history.UNKNOWN)

    # Batches and answers in flight

    def complete_batch(self, index=0, answered=True):
        """Run a sent batch and deliver its answer, or lose the answer."""
        request = self.execute_batch(index)
        self.executed_requests.remove(request)
        self._resume_request(
            request, request.result if answered else errors.OutcomeUnknown("lost")
        )

    def execute_batch(self, index=0):
        """Run a sent batch; its answer is in flight afterwards."""
        request = self.sent_requests.pop(index % len(self.sent_requests))
        database = self.databases[request.server]
        try:
            request.result = database.execute(request.batch, self.now)
        except errors.CassiahillError as error:
            request.result = error
        request.log_terms = [entry.term for entry in database.log.entries]
        self.executed_requests.append(request)
        return request

    def answer_request(self, index=0):
        """Deliver an answer in flight to its request."""
        request = self.executed_requests.pop(index % len(self.executed_requests))
        self._resume_request(request, request.result)

    def delay_batch(self, index=0):
        """Time out a sent batch that will run later."""
        request = self.sent_requests.pop(index % len(self.sent_requests))
        self.delayed_batches.append((request.server, request.batch))
        self._resume_request(request, errors.OutcomeUnknown("late"))

    def run_delayed_batch(self, index=0):
        """Run a batch whose request has already timed out."""
        server, batch = self.delayed_batches.pop(index % len(self.delayed_batches))
        with contextlib.suppress(errors.CassiahillError):
            self.databases[server].execute(batch, self.now)

    def finish_and_check(self):
        """Complete all requests; return the consistency violations of the history."""
        while self.sent_requests or self.executed_requests:
            if self.sent_requests:
                self.complete_batch()
            else:
                self.answer_request()
        while self.delayed_batches:
            self.run_delayed_batch()
        for session_index in range(len(self.sessions)):
            self.give_up_write(session_index)
        self.catch_up_all()
        for session_index in range(len(self.sessions)):
            for item in "xy":
                # The first read is refused if the session's history has diverged.
                if self.read(session_index, 0, item) or self.read(
                    session_index, 0, item
                ):
                    self.complete_batch()
        rows = self.primary.log.read([["SELECT item, value FROM items", []]])[0]["rows"]
        final_values_by_item = {}
        for item, value in rows:
            final_values_by_item.setdefault(item, []).append(value)
        for item, values in self.acknowledged_values_by_item.items():
            if not set(values) <= set(final_values_by_item.get(item, ())):
                self.findings.append(f"acknowledged values of {item} are missing")
        return self.findings + self.recorder.check(final_values_by_item)

    # Helpers

    def _choose_server(
        self, session, proxy, kind, statement, freshness=FRESHNESS_CHOICES[0]
    ):
        request = messages.StatementRequest(
            kind, GROUP_NAME, statement, messages.Rank.ROUTINE, self.now + 1.0,
            freshness, None, False, "caller", session.token,
        )  # fmt: skip
        route = proxy.policy.route(
            request,
            self._session_mark(session),
            proxy.view,
            {},
            set(),
            "a",
            DOMAIN_BY_SERVER,
            self.now,
        )
        if isinstance(route, routing.Refuse):
            session.token = None
            self._record_operation(session, kind, "", outcome=history.DIVERGED)
        return route.server if isinstance(route, routing.ToServer) else None

    def _start_request(self, session, proxy, server, batches, on_complete):
        session.busy = True
        batch = next(batches)
        mark_for_unknown_write = proxy.view.mark_for_unknown_write(proxy.view.term)
        may_advance_mark = proxy.view.history_contains(self._session_mark(session))
        self.sent_requests.append(
            InFlightRequest(
                session,
                proxy,
                server,
                batches,
                batch,
                on_complete,
                mark_for_unknown_write,
                may_advance_mark,
            )
        )

    def _resume_request(self, request, result):
        try:
            if isinstance(result, errors.CassiahillError):
                request.batch = request.batches.throw(result)
            else:
                request.batch = request.batches.send(result)
            self.sent_requests.append(request)
        except StopIteration as stop:
            request.session.busy = False
            request.on_complete(request, stop.value)
        except errors.CassiahillError:
            request.session.busy = False  # The read failed.

    def _handle_write_outcome(self, request, write, outcome):
        """Settle a write, after a majority confirms the log position that proves it."""
        if getattr(outcome, "position", None) is None:
            self._settle_write(request, write, outcome)
            return
        self._last_id += 1
        request.session.busy = True
        self.unacknowledged_writes[self._last_id] = (request, write, outcome)
        for decision in request.proxy.tracker.record_write(
            self._last_id, request.server, outcome.term, outcome.position, self.now, 1e9
        ):
            self._handle_ack_decision(decision)

    def _handle_ack_decision(self, decision):
        request, write, outcome = self.unacknowledged_writes.pop(decision.write_id)
        request.session.busy = False
        if isinstance(decision, acknowledgement.ReportUnknown):
            outcome = outcomes.Unknown(
                write.key, errors.OutcomeUnknown("not confirmed")
            )
        self._settle_write(request, write, outcome)

    def _settle_write(self, request, write, outcome):
        session = request.session
        match outcome:
            case outcomes.Done():
                session.unsettled_write = None
                mark = tokens.Mark(outcome.term, outcome.position)
                if request.may_advance_mark:
                    self._advance_session_mark(session, mark)
                self.acknowledged_values_by_item.setdefault(write.item, []).append(
                    write.value
                )
                self._record_write(session, write, history.DONE, mark)
                if outcome.result.row_count != 1:
                    self.findings.append(f"row count {outcome.result.row_count}")
            case outcomes.NotRun(error):
                is_proven = isinstance(error, errors.KeyClosed)
                if is_proven or not write.attempted:
                    session.unsettled_write = None
                    self._record_write(session, write, history.NOT_RUN)
            case outcomes.Unknown():
                write.attempted = True
                if request.may_advance_mark:
                    self._advance_session_mark(session, request.mark_for_unknown_write)
                if write.key is None:
                    session.unsettled_write = None
                    self._record_write(session, write, history.UNKNOWN)

    def _session_mark(self, session):
        return self.signer.decode(session.token, "caller").marks_by_group.get(
            GROUP_NAME
        )

    def _advance_session_mark(self, session, mark):
        token = self.signer.decode(session.token, "caller").with_mark(GROUP_NAME, mark)
        session.token = self.signer.encode(token)

    def _check_age(self, request, stated_age):
        true_age = 0.0
        for index, entry in enumerate(self.primary.log.entries):
            if (
                index >= len(request.log_terms)
                or request.log_terms[index] != entry.term
            ):
                true_age = self.now - self.primary.commit_times[index]
                break
        if true_age > stated_age + 1e-9:
            self.findings.append(f"age {true_age:.3f} s, stated {stated_age:.3f} s")

    def _record_write(self, session, write, outcome, mark=None):
        mark = mark or tokens.Mark(0, 0)
        self._record_operation(
            session, "write", write.item, value=write.value, key=write.key,
            outcome=outcome, term=mark.term, position=mark.position,
        )  # fmt: skip

    def _record_operation(self, session, kind, item, **fields):
        self.recorder.record(history.Operation(session.name, kind, item, **fields))

"""Database stand-in: SQL on SQLite, a log with terms, asynchronous replication.

Run ``python -m standins.database --help``. The protocol is section 4.2 of
``docs/design.md``; ``POST /fault`` sets the faults of ``Faults``.
"""

import argparse
import collections
import inspect
import random
import signal
import sys
import urllib.parse
from concurrent.futures import Future

import attrs
import msgspec

from cassiahill import clock, errors, http1, loop
from standins import sqllog

PULL_WAIT = 0.2  # seconds a follower waits for news; also its heartbeat interval
PULL_DEADLINE = 0.75
MAX_ENTRIES_PER_PULL = 500


@attrs.define
class Faults:
    """Faults that tests set; durations in milliseconds."""

    lag_ms: float = 0.0
    service_ms: float = 0.0
    open_ms: float = 0.0
    down: bool = False
    lose_answers: int = 0
    cut: list = attrs.field(factory=list)
    silence_open: bool = False


@attrs.define(eq=False)
class Session:
    """State of one connection."""

    epoch: int = 0
    owner: str = ""
    connected: bool = False
    transaction: list | None = None
    writing: bool = False
    silent: bool = False


class Database:
    """One database server of a group.

    Parameters
    ----------
    options : argparse.Namespace
        See ``build_parser``.
    """

    def __init__(self, options):
        self.options = options
        self.clock = clock.SystemClock()
        self.loop = loop.EventLoop(self.clock)
        self.log = sqllog.SqlLog()
        self.faults = Faults(options.lag_ms, options.service_ms, options.open_ms)
        self.term = 1 if options.bootstrap else 0
        self.raised_by = ""
        self.role = "primary" if options.role == "primary" else "replica"
        self.recovering = not options.bootstrap
        self.primary = options.name if self.role == "primary" else options.follow_name
        self.primary_heard_at = self.clock.now()
        self.epoch = 0
        self.owner = ""
        self.sessions_by_connection = {}
        self.write_lock = None
        self._lock_waiters = collections.deque()
        self._running = 0
        self._slot_waiters = collections.deque()
        self._status_waiters = []
        self._log_waiters = []
        self._pull_generation = 0
        self.counts = collections.Counter()
        self.server = http1.Server(
            self.loop,
            (options.host, options.port),
            self.handle,
            on_disconnect=self.forget_connection,
        )
        if self.role == "primary":
            self._become_primary()
        elif options.follow:
            self._start_following(options.follow)

    # Requests

    def handle(self, request, connection):
        """Return the future of the response to one request."""
        return self.loop.spawn(self._handle(request, connection))

    def _handle(self, request, connection):
        if request.path == "/fault":
            return self._set_faults(msgspec.json.decode(request.body))
        session = self.sessions_by_connection.setdefault(connection, Session())
        domain = request.headers.get("domain", "")
        if self.faults.down or session.silent or domain in self.faults.cut:
            yield Future()  # Never completes: the request stays without an answer.
        if request.method == "GET":
            query = dict(urllib.parse.parse_qsl(request.query))
            handler = {"/status": self._status, "/log": self._send_log}.get(
                request.path
            )
            if handler is None:
                raise errors.NotFound(request.path)
            return (yield from handler(query))
        handler = getattr(self, "_post_" + request.path.strip("/"), None)
        if handler is None:
            raise errors.NotFound(request.path)
        body = msgspec.json.decode(request.body or b"{}")
        result = handler(session, body)
        if inspect.isgenerator(result):
            result = yield from result
        if request.path in ("/execute", "/commit") and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            yield Future()
        return http1.json_response(result)

    def forget_connection(self, connection):
        """Roll back and release what a closed connection held."""
        session = self.sessions_by_connection.pop(connection, None)
        if session is not None:
            self._end_transaction(session)

    def _set_faults(self, changes):
        for name, value in changes.items():
            setattr(self.faults, name, value)
        if self.faults.silence_open:
            self.faults.silence_open = False
            for session in self.sessions_by_connection.values():
                session.silent = session.connected
        return http1.json_response(attrs.asdict(self.faults))

    def _status(self, query):
        known = (int(query.get("known_term", -1)), int(query.get("known_position", -1)))
        wait_until = self.clock.now() + min(5000, int(query.get("wait_ms", 0))) / 1000
        while known == (self.term, self.log.position) and self.clock.now() < wait_until:
            yield self._wait_for(self._status_waiters, wait_until)
        silent = self.clock.now() - self.primary_heard_at
        return http1.json_response(
            {
                "server": self.options.name,
                "group": self.options.group,
                "role": self.role,
                "term": self.term,
                "position": self.log.position,
                "last_term": self.log.last_term,
                "term_starts": self.log.term_starts(),
                "primary": self.primary,
                "primary_silent_ms": 0 if self.role == "primary" else silent * 1000,
                "recovering": self.recovering,
                "connections": self._connection_count(),
                "connection_limit": self.options.connections,
                "epoch": self.epoch,
                "owner": self.owner,
                "counts": dict(self.counts),
            }
        )

    def _wait_for(self, waiters, deadline):
        future = Future()
        waiters.append(future)
        self.loop.call_at(
            deadline, lambda: None if future.done() else future.set_result(None)
        )
        return future

    @staticmethod
    def _notify(waiters):
        woken = waiters[:]
        waiters.clear()
        for future in woken:
            if not future.done():
                future.set_result(None)

    # Connections

    def _connection_count(self):
        return sum(s.connected for s in self.sessions_by_connection.values())

    def _post_connect(self, session, body):
        self._check_epoch(body["epoch"])
        if self._connection_count() >= self.options.connections:
            self.counts["connections_refused"] += 1
            raise errors.BackendUnavailable("too many connections")
        session.connected = True
        session.epoch = body["epoch"]
        session.owner = body["owner"]
        self.counts["connections_opened"] += 1
        yield self.loop.sleep_until(self.clock.now() + self.faults.open_ms / 1000)
        return {"term": self.term}

    def _post_claim(self, _session, body):
        if body["epoch"] < self.epoch or (
            body["epoch"] == self.epoch and body["owner"] != self.owner
        ):
            raise errors.StaleEpoch(f"epoch {self.epoch} is held by {self.owner}")
        self.epoch = body["epoch"]
        self.owner = body["owner"]
        for connection, session in list(self.sessions_by_connection.items()):
            if session.connected and session.epoch < self.epoch:
                connection.stream.close()
        return {"epoch": self.epoch, "slots": self.options.slots}

    def _check_epoch(self, epoch):
        if epoch < self.epoch:
            raise errors.StaleEpoch(f"epoch {self.epoch} is held by {self.owner}")

    def _check_session(self, session, term):
        if not session.connected:
            raise errors.NotRunError("the connection was not opened with /connect")
        self._check_epoch(session.epoch)
        if term is not None and term != self.term:
            raise errors.StaleTerm(f"the database is in term {self.term}")

    # Statements

    def _post_begin(self, session, body):
        self._check_session(session, body.get("term"))
        if session.transaction is not None:
            raise errors.NotRunError("a transaction is open")
        session.transaction = []
        return {"term": self.term}

    def _post_execute(self, session, body):
        self._check_session(session, body.get("term"))
        give_up_at = self.clock.now() + body.get("timeout_ms", 5000) / 1000
        yield from self._take_slot(give_up_at)
        try:
            if self.faults.service_ms:
                busy = self.faults.service_ms * random.uniform(0.8, 1.2) / 1000
                yield self.loop.sleep_until(self.clock.now() + busy)
            self._check_session(session, body.get("term"))
            statements = [[s["sql"], s.get("params", [])] for s in body["statements"]]
            if body.get("read_only") and not session.writing:
                results = self.log.read(statements)
                self.counts["reads"] += 1
                return self._result(results)
            yield from self._take_write_lock(session, give_up_at)
            self._check_session(session, body.get("term"))
            return self._write(session, statements)
        finally:
            self._release_slot()

    def _write(self, session, statements):
        results = []
        in_transaction = session.transaction is not None
        try:
            if not in_transaction:
                self.log.work.execute("BEGIN")
            for sql, params in statements:
                results.append(sqllog.run(self.log.work, sql, params))
        except errors.StatementFailed:
            session.transaction = None if in_transaction else session.transaction
            self._roll_back_work(session)
            raise
        if in_transaction:
            session.transaction.extend(statements)
        else:
            self._commit_work(session, statements)
        return self._result(results)

    def _post_commit(self, session, body):
        self._check_session(session, body.get("term"))
        if session.transaction is None:
            raise errors.NoTransaction("no transaction is open")
        statements, session.transaction = session.transaction, None
        if session.writing:
            self._commit_work(session, statements)
        return self._result([])

    def _post_rollback(self, session, _body):
        self._end_transaction(session)
        return {"term": self.term}

    def _post_reset(self, session, _body):
        self._end_transaction(session)
        return {"term": self.term}

    def _result(self, results):
        return {
            "term": self.log.last_term,
            "position": self.log.position,
            "results": results,
        }

    def _commit_work(self, session, statements):
        self.log.work.execute("COMMIT")
        self.log.append(sqllog.Entry(self.term, statements))
        self.counts["commits"] += 1
        self._release_write_lock(session)
        self._log_changed()

    def _end_transaction(self, session):
        session.transaction = None
        if session.writing:
            self._roll_back_work(session)

    def _roll_back_work(self, session):
        if self.log.work.in_transaction:
            self.log.work.execute("ROLLBACK")
        self._release_write_lock(session)

    def _log_changed(self):
        self._notify(self._status_waiters)
        self._notify(self._log_waiters)

    # Slots and the write lock

    def _take_slot(self, give_up_at):
        while self._running >= self.options.slots:
            if self.clock.now() >= give_up_at:
                raise errors.DeadlinePassed("no slot was free in time")
            future = self._wait_for(self._slot_waiters, give_up_at)
            yield future
        self._running += 1

    def _release_slot(self):
        self._running -= 1
        while self._slot_waiters:
            future = self._slot_waiters.popleft()
            if not future.done():
                future.set_result(None)
                return

    def _take_write_lock(self, session, give_up_at):
        if self.role != "primary":
            raise errors.StaleTerm("the database is not the primary")
        while self.write_lock not in (None, session):
            if self.clock.now() >= give_up_at:
                raise errors.DeadlinePassed("the write lock was not free in time")
            yield self._wait_for(self._lock_waiters, give_up_at)
        if self.write_lock is None:
            self.write_lock = session
            session.writing = True
            if session.transaction is not None:
                self.log.work.execute("BEGIN")

    def _release_write_lock(self, session):
        session.writing = False
        if self.write_lock is session:
            self.write_lock = None
            while self._lock_waiters:
                future = self._lock_waiters.popleft()
                if not future.done():
                    future.set_result(None)
                    return

    # Terms

    def _become_primary(self):
        self.role = "primary"
        self.primary = self.options.name
        self.recovering = False
        self.log.append(sqllog.Entry(self.term, []))
        self.log.prepare_writing()
        self._log_changed()

    def _step_down(self):
        self.role = "replica"
        for session in self.sessions_by_connection.values():
            self._end_transaction(session)

    def _post_raise_term(self, _session, body):
        if self.recovering:
            raise errors.NotRunError("the database has not caught up since its start")
        term, raised_by = body["term"], body["by"]
        if term < self.term or (term == self.term and raised_by != self.raised_by):
            raise errors.StaleTerm(f"the database is in term {self.term}")
        if term > self.term:
            self.term = term
            self.raised_by = raised_by
            self.primary = ""  # The term has no primary before /promote or /follow.
            self._step_down()
            self._pull_generation += 1
            self._log_changed()
        return {
            "term": self.term,
            "last_term": self.log.last_term,
            "position": self.log.position,
        }

    def _post_promote(self, _session, body):
        if body["term"] != self.term or body["by"] != self.raised_by:
            raise errors.StaleTerm(f"the database is in term {self.term}")
        if self.role != "primary":
            self._become_primary()
        return {"term": self.term, "position": self.log.position}

    def _post_follow(self, _session, body):
        if body["term"] < self.term:
            raise errors.StaleTerm(f"the database is in term {self.term}")
        if body["primary"] == self.options.name:
            raise errors.NotRunError("a database cannot follow itself")
        if body["term"] > self.term or self.role != "primary":
            if body["term"] > self.term:
                self.raised_by = ""
            self.term = body["term"]
            self._step_down()
            self.primary = body["primary"]
            # A former primary has never heard from another one; it is not silent yet.
            self.primary_heard_at = self.clock.now()
            self._start_following(body["address"])
            self._notify(self._status_waiters)
        return {"term": self.term}

    # Replication

    def _send_log(self, query):
        if int(query["term"]) > self.term or self.role != "primary":
            raise errors.StaleTerm(f"not the primary of term {query['term']}")
        after, after_term = int(query["after"]), int(query["after_term"])
        wait_until = self.clock.now() + int(query["wait_ms"]) / 1000
        if after > self.log.position or self.log.term_at(after) != after_term:
            return http1.json_response(
                {"term": self.term, "truncate": True, "starts": self.log.term_starts()}
            )
        while after == self.log.position and self.clock.now() < wait_until:
            yield self._wait_for(self._log_waiters, wait_until)
        if self.role != "primary":
            raise errors.StaleTerm("the primary was replaced")
        entries = self.log.entries[after : after + MAX_ENTRIES_PER_PULL]
        return http1.json_response(
            {"term": self.term, "end": self.log.position, "entries": entries}
        )

    def _start_following(self, address):
        self._pull_generation += 1
        host, _, port = address.rpartition(":")
        self.loop.spawn(self._pull_forever(self._pull_generation, (host, int(port))))

    def _pull_forever(self, generation, address):
        connection = None
        received = self.log.position
        pending = collections.deque()
        while generation == self._pull_generation:
            try:
                if connection is None or connection.closed:
                    connection = http1.ClientConnection(self.loop, address)
                    received = self.log.position
                    pending.clear()
                received_term = (
                    pending[-1][1].term if pending else self.log.term_at(received)
                )
                path = (
                    f"/log?after={received}&after_term={received_term}"
                    f"&term={self.term}&wait_ms={int(PULL_WAIT * 1000)}"
                )
                response = yield self.loop.with_deadline(
                    connection.request(
                        "GET", path, headers=((b"Domain", self.domain_header()),)
                    ),
                    self.clock.now() + PULL_DEADLINE,
                    errors.ConnectionLost("the primary is silent"),
                )
                answer = http1.decode_response(response)
            except errors.CassiahillError:
                if connection is not None:
                    connection.close()
                connection = None
                yield self.loop.sleep_until(self.clock.now() + 0.1)
                continue
            if generation != self._pull_generation:
                break
            self.primary_heard_at = self.clock.now()
            if answer.get("truncate"):
                self._truncate(answer["starts"])
                received = self.log.position
                pending.clear()
                continue
            apply_at = self.clock.now() + self.faults.lag_ms / 1000
            for item in answer["entries"]:
                entry = sqllog.Entry(item["term"], item["statements"])
                pending.append((apply_at, entry))
                received += 1
            self._apply_later(generation, pending)
            if received == answer["end"] and not pending:
                self.recovering = False
        if connection is not None:
            connection.close()

    def domain_header(self):
        """Return the failure domain as a header value."""
        return self.options.domain.encode()

    def _apply_later(self, generation, pending):
        changed = False
        while pending and pending[0][0] <= self.clock.now():
            if generation != self._pull_generation:
                return
            self.log.append(pending.popleft()[1])
            changed = True
        if changed:
            self._notify(self._status_waiters)
        if pending:
            self.loop.call_at(
                pending[0][0], lambda: self._apply_later(generation, pending)
            )

    def _truncate(self, starts):
        """Drop the entries that the primary's history does not have."""
        ends_by_term = {}
        for (term, _), (_, next_start) in zip(starts, starts[1:], strict=False):
            ends_by_term[term] = next_start - 1
        own_term = self.log.last_term
        end = ends_by_term.get(own_term)
        if own_term not in dict(starts):
            # No entry of that term is in the primary's history.
            end = dict(self.log.term_starts()).get(own_term, 1) - 1
        elif end is None:
            end = self.log.position - 1
        keep = min(end, self.log.position - 1)
        self.counts["entries_dropped"] += self.log.position - keep
        self.log.truncate(max(0, keep))


def build_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="standins.database", description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--group", required=True)
    parser.add_argument("--domain", default="")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--role", choices=("primary", "replica"), default="replica")
    parser.add_argument("--bootstrap", action="store_true")
    parser.add_argument("--follow", default="", help="address of the primary")
    parser.add_argument("--follow-name", default="")
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--connections", type=int, default=25)
    parser.add_argument("--open-ms", type=float, default=10.0)
    parser.add_argument("--service-ms", type=float, default=0.0)
    parser.add_argument("--lag-ms", type=float, default=0.0)
    return parser


def main(argv=None):
    """Run the stand-in until SIGTERM."""
    database = Database(build_parser().parse_args(argv))
    signal.signal(signal.SIGTERM, lambda *_: database.loop.stop())
    print(f"ready {database.server.address[1]}", flush=True)
    database.loop.run()


if __name__ == "__main__":
    sys.exit(main())

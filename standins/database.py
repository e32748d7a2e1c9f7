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
from standins import replication, sqllog, waiting

MAX_ENTRIES_PER_PULL = 500


@attrs.define
class Faults:
    """Faults that tests set.

    ``lag_ms``, ``service_ms`` and ``open_ms`` delay replication, the execution of
    statements and the opening of connections. While ``down``, or for a caller in a
    failure domain in ``cut``, requests get no answer. ``lose_answers`` is how many of
    the next executions or commits run without an answer. ``silence_open`` leaves the
    connections that are open at that time without answers.
    """

    lag_ms: float = 0.0
    service_ms: float = 0.0
    open_ms: float = 0.0
    down: bool = False
    lose_answers: int = 0
    cut: list = attrs.field(factory=list)
    silence_open: bool = False


@attrs.define(eq=False)
class ConnectionState:
    """State of one client connection."""

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
        self.states_by_connection = {}
        self.write_lock = None
        self.status_changes = waiting.Notifications(self.loop)
        self._write_lock_releases = waiting.Notifications(self.loop)
        self._log_changes = waiting.Notifications(self.loop)
        self._slots = waiting.Slots(self.loop, options.slots)
        self.replication = replication.Replication(self)
        self.counts = collections.Counter()
        self.server = http1.Server(
            self.loop,
            (options.host, options.port),
            self.handle,
            on_disconnect=self.remove_connection,
        )
        if self.role == "primary":
            self._become_primary()
        elif options.follow:
            self.replication.follow(options.follow)

    # HTTP requests

    def handle(self, request, connection):
        """Return the future of the response to one request."""
        return self.loop.spawn(self._handle_request(request, connection))

    def _handle_request(self, request, connection):
        if request.path == "/fault":
            return self._set_faults(msgspec.json.decode(request.body))
        connection_state = self.states_by_connection.setdefault(
            connection, ConnectionState()
        )
        domain = request.headers.get("domain", "")
        if self.faults.down or connection_state.silent or domain in self.faults.cut:
            yield Future()  # Never completes: the request stays without an answer.
        if request.method == "GET":
            query = dict(urllib.parse.parse_qsl(request.query))
            handler = {"/status": self._get_status, "/log": self._get_log}.get(
                request.path
            )
            if handler is None:
                raise errors.NotFound(request.path)
            return (yield from handler(query))
        handler = getattr(self, "_post_" + request.path.strip("/"), None)
        if handler is None:
            raise errors.NotFound(request.path)
        body = msgspec.json.decode(request.body or b"{}")
        result = handler(connection_state, body)
        if inspect.isgenerator(result):
            result = yield from result
        if request.path in ("/execute", "/commit") and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            yield Future()
        return http1.json_response(result)

    def remove_connection(self, connection):
        """Roll back the transaction of a closed connection and remove its state."""
        connection_state = self.states_by_connection.pop(connection, None)
        if connection_state is not None:
            connection_state.connected = False
            self._end_transaction(connection_state)

    def _set_faults(self, changes):
        for name, value in changes.items():
            setattr(self.faults, name, value)
        if self.faults.silence_open:
            self.faults.silence_open = False
            for connection_state in self.states_by_connection.values():
                connection_state.silent = connection_state.connected
        return http1.json_response(attrs.asdict(self.faults))

    def _get_status(self, query):
        known_log_end = (
            int(query.get("known_term", -1)),
            int(query.get("known_position", -1)),
        )
        wait_until = self.clock.now() + min(5000, int(query.get("wait_ms", 0))) / 1000
        while (
            known_log_end == (self.term, self.log.position)
            and self.clock.now() < wait_until
        ):
            yield self.status_changes.wait(wait_until)
        silent_seconds = self.clock.now() - self.primary_heard_at
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
                "primary_silent_ms": 0
                if self.role == "primary"
                else silent_seconds * 1000,
                "recovering": self.recovering,
                "connections": self._connection_count(),
                "connection_limit": self.options.connections,
                "epoch": self.epoch,
                "owner": self.owner,
                "counts": dict(self.counts),
            }
        )

    # Connections

    def _connection_count(self):
        return sum(
            connection_state.connected
            for connection_state in self.states_by_connection.values()
        )

    def _post_connect(self, connection_state, body):
        self._check_epoch(body["epoch"])
        if self._connection_count() >= self.options.connections:
            self.counts["connections_refused"] += 1
            raise errors.BackendUnavailable("too many connections")
        connection_state.connected = True
        connection_state.epoch = body["epoch"]
        connection_state.owner = body["owner"]
        self.counts["connections_opened"] += 1
        yield self.loop.sleep_until(self.clock.now() + self.faults.open_ms / 1000)
        return {"term": self.term}

    def _post_claim(self, _connection_state, body):
        if body["epoch"] < self.epoch or (
            body["epoch"] == self.epoch and body["owner"] != self.owner
        ):
            raise errors.StaleEpoch(f"epoch {self.epoch} is held by {self.owner}")
        self.epoch = body["epoch"]
        self.owner = body["owner"]
        for connection, connection_state in list(self.states_by_connection.items()):
            if connection_state.connected and connection_state.epoch < self.epoch:
                connection.stream.close()
        return {"epoch": self.epoch, "slots": self.options.slots}

    def _check_epoch(self, epoch):
        if epoch < self.epoch:
            raise errors.StaleEpoch(f"epoch {self.epoch} is held by {self.owner}")

    def _check_connection(self, connection_state, term):
        if not connection_state.connected:
            raise errors.NotRunError("the connection was not opened with /connect")
        self._check_epoch(connection_state.epoch)
        if term is not None and term != self.term:
            raise errors.StaleTerm(f"the database is in term {self.term}")

    # Statements

    def _post_begin(self, connection_state, body):
        self._check_connection(connection_state, body.get("term"))
        if connection_state.transaction is not None:
            raise errors.NotRunError("a transaction is open")
        connection_state.transaction = []
        return {"term": self.term}

    def _post_execute(self, connection_state, body):
        self._check_connection(connection_state, body.get("term"))
        deadline = self.clock.now() + body.get("timeout_ms", 5000) / 1000
        yield from self._slots.acquire(deadline)
        try:
            if self.faults.service_ms:
                service_seconds = (
                    self.faults.service_ms * random.uniform(0.8, 1.2) / 1000
                )
                yield self.loop.sleep_until(self.clock.now() + service_seconds)
            self._check_connection(connection_state, body.get("term"))
            statements = [
                [statement["sql"], statement.get("params", [])]
                for statement in body["statements"]
            ]
            if body.get("read_only") and not connection_state.writing:
                results = self.log.read(statements)
                self.counts["reads"] += 1
                return self._execute_body(results)
            yield from self._acquire_write_lock(connection_state, deadline)
            try:
                self._check_connection(connection_state, body.get("term"))
            except errors.CassiahillError:
                # The connection, its epoch or its term ended while it waited.
                self._end_transaction(connection_state)
                raise
            return self._write(connection_state, statements)
        finally:
            self._slots.release()

    def _write(self, connection_state, statements):
        results = []
        in_transaction = connection_state.transaction is not None
        try:
            if not in_transaction:
                self.log.working_copy.execute("BEGIN")
            for sql, params in statements:
                results.append(sqllog.run_statement(self.log.working_copy, sql, params))
        except errors.StatementFailed:
            connection_state.transaction = (
                None if in_transaction else connection_state.transaction
            )
            self._roll_back_transaction(connection_state)
            raise
        if in_transaction:
            connection_state.transaction.extend(statements)
        else:
            self._commit_transaction(connection_state, statements)
        return self._execute_body(results)

    def _post_commit(self, connection_state, body):
        self._check_connection(connection_state, body.get("term"))
        if connection_state.transaction is None:
            raise errors.NoTransaction("no transaction is open")
        statements, connection_state.transaction = connection_state.transaction, None
        if connection_state.writing:
            self._commit_transaction(connection_state, statements)
        return self._execute_body([])

    def _post_rollback(self, connection_state, _body):
        self._end_transaction(connection_state)
        return {"term": self.term}

    def _post_reset(self, connection_state, _body):
        self._end_transaction(connection_state)
        return {"term": self.term}

    def _execute_body(self, results):
        return {
            "term": self.log.last_term,
            "position": self.log.position,
            "results": results,
        }

    def _commit_transaction(self, connection_state, statements):
        self.log.working_copy.execute("COMMIT")
        self.log.append(sqllog.LogEntry(self.term, statements))
        self.counts["commits"] += 1
        self._release_write_lock(connection_state)
        self._notify_log_changed()

    def _end_transaction(self, connection_state):
        connection_state.transaction = None
        if connection_state.writing:
            self._roll_back_transaction(connection_state)

    def _roll_back_transaction(self, connection_state):
        if self.log.working_copy.in_transaction:
            self.log.working_copy.execute("ROLLBACK")
        self._release_write_lock(connection_state)

    def _notify_log_changed(self):
        """Wake the requests that wait for a change of the status or the log."""
        self.status_changes.notify_all()
        self._log_changes.notify_all()

    # The write lock

    def _acquire_write_lock(self, connection_state, deadline):
        if self.role != "primary":
            raise errors.StaleTerm("the database is not the primary")
        while self.write_lock not in (None, connection_state):
            if self.clock.now() >= deadline:
                raise errors.DeadlinePassed("the write lock was not free in time")
            yield self._write_lock_releases.wait(deadline)
        if self.write_lock is None:
            self.write_lock = connection_state
            connection_state.writing = True
            if connection_state.transaction is not None:
                self.log.working_copy.execute("BEGIN")

    def _release_write_lock(self, connection_state):
        connection_state.writing = False
        if self.write_lock is connection_state:
            self.write_lock = None
            self._write_lock_releases.notify_one()

    # Terms

    def _become_primary(self):
        self.role = "primary"
        self.primary = self.options.name
        self.recovering = False
        self.log.append(sqllog.LogEntry(self.term, []))
        self.log.reset_working_copy()
        self._notify_log_changed()

    def _step_down(self):
        self.role = "replica"
        for connection_state in self.states_by_connection.values():
            self._end_transaction(connection_state)

    def _post_raise_term(self, _connection_state, body):
        if self.recovering:
            raise errors.NotRunError("the database has not caught up since its start")
        term, raised_by = body["term"], body["by"]
        if term < self.term or (term == self.term and raised_by != self.raised_by):
            raise errors.StaleTerm(f"the database is in term {self.term}")
        if term > self.term:
            self.term = term
            self.raised_by = raised_by
            self.primary = ""  # None in the new term before /promote or /follow.
            self._step_down()
            self.replication.stop()
            self._notify_log_changed()
        return {
            "term": self.term,
            "last_term": self.log.last_term,
            "position": self.log.position,
        }

    def _post_promote(self, _connection_state, body):
        if body["term"] != self.term or body["by"] != self.raised_by:
            raise errors.StaleTerm(f"the database is in term {self.term}")
        if self.role != "primary":
            self._become_primary()
        return {"term": self.term, "position": self.log.position}

    def _post_follow(self, _connection_state, body):
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
            # A former primary has not heard from the new one yet, so the time since
            # the last contact starts now.
            self.primary_heard_at = self.clock.now()
            self.replication.follow(body["address"])
            self.status_changes.notify_all()
        return {"term": self.term}

    # Replication

    def _get_log(self, query):
        if int(query["term"]) > self.term or self.role != "primary":
            raise errors.StaleTerm(f"not the primary of term {query['term']}")
        after_position, after_term = int(query["after"]), int(query["after_term"])
        wait_until = self.clock.now() + int(query["wait_ms"]) / 1000
        if (
            after_position > self.log.position
            or self.log.term_at(after_position) != after_term
        ):
            return http1.json_response(
                {"term": self.term, "truncate": True, "starts": self.log.term_starts()}
            )
        while after_position == self.log.position and self.clock.now() < wait_until:
            yield self._log_changes.wait(wait_until)
        if self.role != "primary":
            raise errors.StaleTerm("the primary was replaced")
        entries = self.log.entries[
            after_position : after_position + MAX_ENTRIES_PER_PULL
        ]
        return http1.json_response(
            {"term": self.term, "end": self.log.position, "entries": entries}
        )


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

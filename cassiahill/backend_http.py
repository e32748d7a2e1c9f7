"""Database adapter for HTTP/1.1 with JSON."""

import msgspec

from cassiahill import backend, errors, freshness, http1, kernel
from cassiahill.loop import failed_future


class HttpConnection(backend.BackendConnection):
    """A database connection over one TCP connection."""

    def __init__(self, loop, client, headers):
        self._loop = loop
        self._client = client
        self._headers = headers

    @property
    def closed(self):
        """Whether the connection has ended."""
        return self._client.closed

    def execute(self, batch, deadline):
        """Run a batch."""
        body = {
            "term": batch.term,
            "read_only": batch.read_only,
            "timeout_ms": max(1, int(batch.timeout * 1000)),
            "statements": batch.statements,
        }
        return self._loop.spawn(self._call("/execute", body, deadline))

    def begin(self, term, deadline):
        """Open a transaction."""
        return self._loop.spawn(self._call("/begin", {"term": term}, deadline))

    def commit(self, term, deadline):
        """Commit the open transaction."""
        return self._loop.spawn(self._call("/commit", {"term": term}, deadline))

    def rollback(self, deadline):
        """Roll back the open transaction."""
        return self._loop.spawn(self._call("/rollback", {}, deadline))

    def reset(self, deadline):
        """Drop the state of the session."""
        return self._loop.spawn(self._call("/reset", {}, deadline))

    def open(self, epoch, owner, deadline):
        """Register the connection with the database."""
        body = {"epoch": epoch, "owner": owner}
        return self._loop.spawn(self._call("/connect", body, deadline))

    def close(self):
        """Close the connection."""
        self._client.close()

    def _call(self, path, body, deadline):
        pending = self._client.request(
            "POST", path, msgspec.json.encode(body), self._headers
        )
        try:
            response = yield self._loop.with_deadline(
                pending,
                deadline,
                errors.OutcomeUnknown("no answer before the deadline"),
            )
        except errors.CassiahillError:
            # The answer may still arrive, so the connection cannot be reused.
            self._client.close()
            raise
        answer = http1.decode_response(response)
        return backend.BatchResult(
            answer["term"],
            answer.get("position", 0),
            tuple(
                backend.StatementResult(r["columns"], r["rows"], r["row_count"])
                for r in answer.get("results", ())
            ),
        )


@kernel.register("backend", "http")
class HttpBackend(backend.Backend):
    """Backend server reached by HTTP/1.1 with JSON.

    Parameters
    ----------
    loop : loop.EventLoop
    name, group : str
    address : tuple of (str, int)
    domain : str
        Failure domain of this process.
    ssl_context : ssl.SSLContext or None
    """

    def __init__(self, loop, name, group, address, domain, ssl_context=None):
        self.name = name
        self.group = group
        self.address = address
        self._loop = loop
        self._headers = ((b"Domain", domain.encode()),)
        self._ssl_context = ssl_context
        self._status_client = None

    def connect(self, epoch, owner, deadline):
        """Open a connection."""
        return self._loop.spawn(self._connect(epoch, owner, deadline))

    def _connect(self, epoch, owner, deadline):
        connection = HttpConnection(self._loop, self._client(), self._headers)
        try:
            yield connection.open(epoch, owner, deadline)
        except errors.CassiahillError as error:
            connection.close()
            if isinstance(error, errors.NotRunError):
                raise
            raise errors.BackendUnavailable(f"{self.name}: {error}") from error
        return connection

    def status(self, known, wait, deadline):
        """Poll the status on a connection that is kept for it."""
        if self._status_client is None or self._status_client.closed:
            try:
                self._status_client = self._client()
            except errors.CassiahillError as error:
                return failed_future(error)
        path = f"/status?wait_ms={int(wait * 1000)}"
        if known is not None:
            path += f"&known_term={known.term}&known_position={known.position}"
        return self._loop.spawn(self._status(self._status_client, path, deadline))

    def probe(self, deadline):
        """Poll the status on a new connection."""
        return self._loop.spawn(self._probe(deadline))

    def _probe(self, deadline):
        client = self._client()
        try:
            return (yield from self._status(client, "/status", deadline))
        finally:
            client.close()

    def _status(self, client, path, deadline):
        sent_at = self._loop.clock.now()
        response = yield client.request(
            "GET", path, headers=self._headers, deadline=deadline
        )
        answer = http1.decode_response(response)
        return freshness.ServerStatus(
            server=answer["server"],
            group=answer["group"],
            role=answer["role"],
            term=answer["term"],
            position=answer["position"],
            last_term=answer["last_term"],
            term_starts=tuple(map(tuple, answer["term_starts"])),
            primary=answer["primary"],
            primary_unreachable_seconds=answer["primary_silent_ms"] / 1000,
            sent_at=sent_at,
            received_at=self._loop.clock.now(),
            connection_limit=answer["connection_limit"],
            epoch=answer["epoch"],
            recovering=answer["recovering"],
        )

    def raise_term(self, term, by, deadline):
        """Raise the term of the database."""
        return self._loop.spawn(self._raise_term(term, by, deadline))

    def _raise_term(self, term, by, deadline):
        answer = yield self._control("/raise_term", {"term": term, "by": by}, deadline)
        return backend.LogEnd(self.name, answer["last_term"], answer["position"])

    def promote(self, term, by, deadline):
        """Make the database the primary."""
        return self._control("/promote", {"term": term, "by": by}, deadline)

    def follow(self, term, primary, address, deadline):
        """Make the database a replica."""
        host, port = address
        body = {"term": term, "primary": primary, "address": f"{host}:{port}"}
        return self._control("/follow", body, deadline)

    def claim(self, epoch, owner, deadline):
        """Claim the database's connections."""
        return self._control("/claim", {"epoch": epoch, "owner": owner}, deadline)

    def _control(self, path, body, deadline):
        return self._loop.spawn(self._control_call(path, body, deadline))

    def _control_call(self, path, body, deadline):
        client = self._client()
        try:
            response = yield client.request(
                "POST", path, msgspec.json.encode(body), self._headers, deadline
            )
            return http1.decode_response(response)
        finally:
            client.close()

    def _client(self):
        return http1.ClientConnection(self._loop, self.address, self._ssl_context)

"""Adapter for database servers with an HTTP/1.1 and JSON interface."""

import msgspec

from cassiahill import backend, errors, freshness, http1, kernel
from cassiahill.loop import failed_future


class HttpConnection(backend.BackendConnection):
    """A database connection over one TCP connection.

    Parameters
    ----------
    loop : loop.EventLoop
    client : http1.ClientConnection
    headers : tuple of (bytes, bytes)
        Headers of each request.
    """

    def __init__(self, loop, client, headers):
        self._loop = loop
        self._client = client
        self._headers = headers

    @property
    def closed(self):
        """Whether the connection is closed."""
        return self._client.closed

    def execute(self, batch, deadline):
        """Run a batch; the future's result is a ``BatchResult``."""
        body = {
            "term": batch.term,
            "read_only": batch.read_only,
            "timeout_ms": max(1, int(batch.timeout * 1000)),
            "statements": batch.statements,
        }
        return self._loop.spawn(self._post("/execute", body, deadline))

    def begin(self, term, deadline):
        """Open a transaction on this connection."""
        return self._loop.spawn(self._post("/begin", {"term": term}, deadline))

    def commit(self, term, deadline):
        """Commit the open transaction."""
        return self._loop.spawn(self._post("/commit", {"term": term}, deadline))

    def rollback(self, deadline):
        """Roll back the open transaction."""
        return self._loop.spawn(self._post("/rollback", {}, deadline))

    def reset(self, deadline):
        """Drop the connection's session state."""
        return self._loop.spawn(self._post("/reset", {}, deadline))

    def register(self, epoch, owner, deadline):
        """Register the connection with the database, under its owner's epoch."""
        body = {"epoch": epoch, "owner": owner}
        return self._loop.spawn(self._post("/connect", body, deadline))

    def close(self):
        """Close the connection."""
        self._client.close()

    def _post(self, path, body, deadline):
        response_future = self._client.request(
            "POST", path, msgspec.json.encode(body), self._headers
        )
        try:
            response = yield self._loop.with_deadline(
                response_future,
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
                backend.StatementResult(
                    result["columns"], result["rows"], result["row_count"]
                )
                for result in answer.get("results", ())
            ),
        )


@kernel.register("backend", "http")
class HttpBackend(backend.Backend):
    """Backend server with an HTTP/1.1 and JSON interface.

    Parameters
    ----------
    loop : loop.EventLoop
    name, group : str
    address : tuple of (str, int)
    own_domain : str
        Failure domain of this process, sent with each request.
    ssl_context : ssl.SSLContext or None
    """

    def __init__(self, loop, name, group, address, own_domain, ssl_context=None):
        self.name = name
        self.group = group
        self.address = address
        self._loop = loop
        self._headers = ((b"Domain", own_domain.encode()),)
        self._ssl_context = ssl_context
        self._status_client = None

    def connect(self, epoch, owner, deadline):
        """Open a connection; the future's result is a ``BackendConnection``."""
        return self._loop.spawn(self._connect(epoch, owner, deadline))

    def _connect(self, epoch, owner, deadline):
        connection = HttpConnection(self._loop, self._open_client(), self._headers)
        try:
            yield connection.register(epoch, owner, deadline)
        except errors.CassiahillError as error:
            connection.close()
            if isinstance(error, errors.NotRunError):
                raise
            raise errors.BackendUnavailable(f"{self.name}: {error}") from error
        return connection

    def status(self, known_status, max_wait_seconds, deadline):
        """Poll the status on a connection that is used for polls only."""
        if self._status_client is None or self._status_client.closed:
            try:
                self._status_client = self._open_client()
            except errors.CassiahillError as error:
                return failed_future(error)
        path = f"/status?wait_ms={int(max_wait_seconds * 1000)}"
        if known_status is not None:
            path += (
                f"&known_term={known_status.term}"
                f"&known_position={known_status.position}"
            )
        return self._loop.spawn(self._get_status(self._status_client, path, deadline))

    def probe(self, deadline):
        """Poll the status on a new connection, without waiting for a change."""
        return self._loop.spawn(self._probe(deadline))

    def _probe(self, deadline):
        client = self._open_client()
        try:
            return (yield from self._get_status(client, "/status", deadline))
        finally:
            client.close()

    def _get_status(self, client, path, deadline):
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

    def raise_term(self, term, promotion_id, deadline):
        """Raise the term for a promotion; the future's result is a ``LogEnd``."""
        return self._loop.spawn(self._raise_term(term, promotion_id, deadline))

    def _raise_term(self, term, promotion_id, deadline):
        answer = yield self._send_command(
            "/raise_term", {"term": term, "by": promotion_id}, deadline
        )
        return backend.LogEnd(self.name, answer["last_term"], answer["position"])

    def promote(self, term, promotion_id, deadline):
        """Make the database the primary of the term that the promotion raised."""
        return self._send_command(
            "/promote", {"term": term, "by": promotion_id}, deadline
        )

    def follow(self, term, primary, address, deadline):
        """Make the database a replica of ``primary``, which is found at an address."""
        host, port = address
        body = {"term": term, "primary": primary, "address": f"{host}:{port}"}
        return self._send_command("/follow", body, deadline)

    def claim(self, epoch, owner, deadline):
        """Close the connections of lower epochs, and refuse to open new ones."""
        return self._send_command("/claim", {"epoch": epoch, "owner": owner}, deadline)

    def _send_command(self, path, body, deadline):
        return self._loop.spawn(self._post_on_new_connection(path, body, deadline))

    def _post_on_new_connection(self, path, body, deadline):
        client = self._open_client()
        try:
            response = yield client.request(
                "POST", path, msgspec.json.encode(body), self._headers, deadline
            )
            return http1.decode_response(response)
        finally:
            client.close()

    def _open_client(self):
        return http1.ClientConnection(self._loop, self.address, self._ssl_context)

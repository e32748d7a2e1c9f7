"""HTTP/1.1 server and client connections on the event loop."""

import collections
import http

import attrs
import httptools
import msgspec
from absl import logging

from cassiahill import errors, transport
from cassiahill.loop import LoopFuture

MAX_BODY_BYTES = 1_100_000
MAX_HEADER_BYTES = 16_384
_JSON = b"application/json"
_PROBLEM = b"application/problem+json"
_REASONS_BY_STATUS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


@attrs.frozen
class Request:
    """A received request; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: dict
    body: bytes
    peer_name: str | None = None


@attrs.frozen
class Response:
    """A response to send."""

    status: int
    body: bytes
    content_type: bytes = _JSON
    headers: tuple = ()


def json_response(value, status=200, headers=()):
    """Return a response with a JSON body."""
    return Response(status, msgspec.json.encode(value), _JSON, headers)


def problem_response(error):
    """Return the ``application/problem+json`` response of an exception."""
    if not isinstance(error, errors.CassiahillError):
        error = errors.CassiahillError(type(error).__name__)
    headers = ()
    if error.retry_after is not None:
        headers = ((b"Retry-After", b"%d" % max(1, round(error.retry_after))),)
    body = msgspec.json.encode(error.to_problem())
    return Response(error.http_status, body, _PROBLEM, headers)


def _encode_response(response, close):
    reason = _REASONS_BY_STATUS.get(response.status, b"Unknown")
    parts = [
        b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n"
        % (response.status, reason, response.content_type, len(response.body))
    ]
    parts.extend(b"%s: %s\r\n" % header for header in response.headers)
    if close:
        parts.append(b"Connection: close\r\n")
    parts.append(b"\r\n")
    parts.append(response.body)
    return b"".join(parts)


class _MessageParser:
    """Collects one message after another from ``httptools`` callbacks."""

    __slots__ = ("body", "header_bytes", "headers", "url")

    def __init__(self):
        self._clear()

    def _clear(self):
        self.url = b""
        self.headers = {}
        self.header_bytes = 0
        self.body = b""

    def on_message_begin(self):
        self._clear()

    def on_url(self, url):
        self.url += url
        self._count(len(url))

    def on_header(self, name, value):
        self._count(len(name) + len(value))
        self.headers[name.lower().decode("latin-1")] = value.decode("latin-1")

    def on_body(self, body):
        self.body = self.body + body if self.body else body
        if len(self.body) > MAX_BODY_BYTES:
            raise errors.RequestTooLarge("the body is too large")

    def _count(self, size):
        self.header_bytes += size
        if self.header_bytes > MAX_HEADER_BYTES:
            raise errors.RequestTooLarge("the headers are too large")


class _ServerConnection(_MessageParser):
    """One accepted connection; answers pipelined requests in their order."""

    __slots__ = ("_busy", "_parser", "_queue", "_server", "stream")

    def __init__(self, server, sock):
        super().__init__()
        self._server = server
        self._parser = None
        self._queue = None
        self._busy = False
        self.stream = transport.Stream(
            server.loop, sock, self._on_data, self._on_closed
        )

    def _on_data(self, data):
        # An idle connection holds no parser, which halves its memory.
        if self._parser is None:
            self._parser = httptools.HttpRequestParser(self)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, errors.CassiahillError):
                cause = errors.MalformedRequest("invalid HTTP message")
            self._refuse(cause)
        except httptools.HttpParserUpgrade:
            self._refuse(errors.MalformedRequest("upgrades are not supported"))
        except httptools.HttpParserError:
            self._refuse(errors.MalformedRequest("invalid HTTP message"))

    def on_message_complete(self):
        path, _, query = self.url.decode("latin-1").partition("?")
        request = Request(
            method=self._parser.get_method().decode("latin-1"),
            path=path,
            query=query,
            headers=self.headers,
            body=self.body,
            peer_name=self.stream.peer_name,
        )
        keep_alive = self._parser.should_keep_alive()
        if self._busy:
            if self._queue is None:
                self._queue = collections.deque()
            self._queue.append((request, keep_alive))
            self.stream.set_reading_paused(True)
            return
        self._handle(request, keep_alive)

    def _handle(self, request, keep_alive):
        self._busy = True
        self._server.requests_in_flight += 1
        try:
            future = self._server.handler(request, self)
        except errors.CassiahillError as error:
            self._finish(problem_response(error), keep_alive)
            return
        except Exception as error:  # noqa: BLE001 answered instead of raised in the parser
            logging.exception("event=handler_failed path=%s", request.path)
            self._finish(problem_response(error), keep_alive)
            return
        if isinstance(future, Response):
            self._finish(future, keep_alive)
            return
        if future.done():
            self._finish(_response_of(future), keep_alive)
            return
        self._server.loop.when_done(
            future, lambda done: self._finish(_response_of(done), keep_alive)
        )

    def _finish(self, response, keep_alive):
        self._server.requests_in_flight -= 1
        self._busy = False
        close = not keep_alive or self._server.closing
        self.stream.write(_encode_response(response, close))
        if close:
            self.stream.close_when_sent()
        elif self._queue:
            self._handle(*self._queue.popleft())
        else:
            self.stream.set_reading_paused(False)
            self.headers = None
            self.body = b""

    def _refuse(self, error):
        self.stream.write(_encode_response(problem_response(error), True))
        self.stream.close_when_sent()

    def _on_closed(self):
        self._parser = None
        self._server.forget(self)


def _response_of(future):
    error = future.exception()
    return future.result() if error is None else problem_response(error)


class Server:
    """HTTP/1.1 server.

    Parameters
    ----------
    loop : loop.EventLoop
    address : tuple of (str, int)
    handler : callable
        Takes a ``Request`` and the connection, and returns a ``Response`` or the future
        of one.
    ssl_context : ssl.SSLContext or None
    on_disconnect : callable or None
        Called with a connection that has closed.
    """

    def __init__(self, loop, address, handler, ssl_context=None, on_disconnect=None):
        self.loop = loop
        self.handler = handler
        self.closing = False
        self.requests_in_flight = 0
        self._on_disconnect = on_disconnect
        self._connections = set()
        self._listener = transport.Listener(loop, address, self._accept, ssl_context)
        self.address = self._listener.address

    @property
    def connection_count(self):
        """Number of open connections."""
        return len(self._connections)

    def forget(self, connection):
        """Drop a connection that has closed."""
        self._connections.discard(connection)
        if self._on_disconnect is not None:
            self._on_disconnect(connection)

    def stop_listening(self):
        """Refuse new connections and close each open one after its next answer."""
        if not self.closing:
            self.closing = True
            self._listener.close()

    def close(self):
        """Stop listening and close all connections now."""
        self.stop_listening()
        for connection in list(self._connections):
            connection.stream.close()

    def _accept(self, sock):
        self._connections.add(_ServerConnection(self, sock))


class ClientConnection:
    """A client connection that sends one request at a time.

    Parameters
    ----------
    loop : loop.EventLoop
    address : tuple of (str, int)
    ssl_context : ssl.SSLContext or None
    on_closed : callable or None
        Called when the connection has closed.
    """

    __slots__ = (
        "_body",
        "_host",
        "_loop",
        "_on_closed_hook",
        "_parser",
        "_pending",
        "_stream",
        "_timer",
    )

    def __init__(self, loop, address, ssl_context=None, on_closed=None):
        self._loop = loop
        self._body = b""
        self._timer = None
        self._host = b"%s:%d" % (address[0].encode(), address[1])
        self._pending = None
        self._on_closed_hook = on_closed
        self._parser = httptools.HttpResponseParser(self)
        self._stream = transport.connect(
            loop, address, self._on_data, self._on_closed, ssl_context
        )

    @property
    def closed(self):
        """Whether the connection has ended."""
        return self._stream.closed

    @property
    def busy(self):
        """Whether an answer is pending."""
        return self._pending is not None

    def request(self, method, path, body=b"", headers=(), deadline=None):
        """Send a request.

        Parameters
        ----------
        method, path : str
        body : bytes
        headers : iterable of (bytes, bytes)
        deadline : float or None
            Instant in seconds at which the request fails and the connection closes,
            because its answer may still arrive.

        Returns
        -------
        Future of Response
            Fails with ``errors.ConnectionLost`` when the connection ends first.
        """
        if self._pending is not None:
            raise RuntimeError("an answer is still pending on this connection")
        if self.closed:
            raise errors.BackendUnavailable("the connection is closed")
        lines = [
            b"%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n"
            % (method.encode(), path.encode(), self._host, len(body))
        ]
        lines.extend(b"%s: %s\r\n" % header for header in headers)
        lines.append(b"\r\n")
        lines.append(body)
        future = self._pending = LoopFuture()
        self._timer = (
            None if deadline is None else self._loop.call_at(deadline, self._expire)
        )
        self._stream.write(b"".join(lines))
        return future

    def close(self):
        """Close the connection; a pending request fails."""
        self._stream.close()

    def on_message_begin(self):
        """Start a response; called by the parser."""
        self._body = b""

    def on_body(self, body):
        """Collect a part of the body; called by the parser."""
        self._body = self._body + body if self._body else body
        if len(self._body) > MAX_BODY_BYTES:
            raise errors.RequestTooLarge("the answer is too large")

    def on_message_complete(self):
        """Complete the pending request; called by the parser."""
        response = Response(self._parser.get_status_code(), self._body)
        pending = self._take_pending()
        if not self._parser.should_keep_alive():
            self._stream.close()
        if pending is not None:
            pending.set_result(response)

    def _take_pending(self):
        pending, self._pending = self._pending, None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        return pending

    def _expire(self):
        pending = self._take_pending()
        self._stream.close()
        if pending is not None:
            pending.set_exception(
                errors.ConnectionLost("no answer before the deadline")
            )

    def _on_data(self, data):
        if self._pending is None:
            self._stream.close()  # An answer that nobody asked for.
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, errors.CassiahillError):
            self._stream.close()

    def _on_closed(self):
        pending = self._take_pending()
        if pending is not None:
            pending.set_exception(errors.ConnectionLost("the connection closed"))
        if self._on_closed_hook is not None:
            self._on_closed_hook(self)


def decode_response(response):
    """Return the decoded JSON body of a successful response.

    Raises
    ------
    errors.CassiahillError
        The exception that the problem body describes, for a status of 400 or more.
    """
    try:
        body = msgspec.json.decode(response.body) if response.body else {}
    except msgspec.DecodeError as error:
        raise errors.ConnectionLost("the answer is not JSON") from error
    if response.status >= 400:
        raise errors.from_problem(body if isinstance(body, dict) else {})
    return body

"""HTTP/1.1 server and client connection on the event loop."""

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
_JSON_TYPE = b"application/json"
_PROBLEM_JSON_TYPE = b"application/problem+json"
_REASON_PHRASES_BY_STATUS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


@attrs.frozen
class Request:
    """An HTTP request; header names of received requests are in lower case.

    ``query`` is the text after the question mark, and ``peer_name`` the common name in
    the TLS certificate of the other end.
    """

    method: str
    path: str
    query: str
    headers: dict
    body: bytes
    peer_name: str | None = None


@attrs.frozen
class Response:
    """An HTTP response; ``headers`` holds pairs of bytes besides the content type."""

    status: int
    body: bytes
    content_type: bytes = _JSON_TYPE
    headers: tuple = ()


@attrs.frozen
class ReceivedResponse:
    """An HTTP response that a client has received; header names are in lower case."""

    status: int
    body: bytes
    headers: dict


def json_response(value, status=200, headers=()):
    """Return a response with a JSON body."""
    return Response(status, msgspec.json.encode(value), _JSON_TYPE, headers)


def problem_response(error):
    """Return the ``application/problem+json`` response that describes an exception."""
    if not isinstance(error, errors.CassiahillError):
        error = errors.CassiahillError(type(error).__name__)
    headers = ()
    if error.retry_after is not None:
        headers = ((b"Retry-After", b"%d" % max(1, round(error.retry_after))),)
    body = msgspec.json.encode(error.to_problem())
    return Response(error.http_status, body, _PROBLEM_JSON_TYPE, headers)


def _encode_response(response, is_last):
    reason_phrase = _REASON_PHRASES_BY_STATUS.get(response.status, b"Unknown")
    parts = [
        b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n"
        % (response.status, reason_phrase, response.content_type, len(response.body))
    ]
    parts.extend(b"%s: %s\r\n" % header for header in response.headers)
    if is_last:
        parts.append(b"Connection: close\r\n")
    parts.append(b"\r\n")
    parts.append(response.body)
    return b"".join(parts)


class _MessageCollector:
    """Collects the parts of one message after another in ``httptools`` callbacks."""

    __slots__ = ("_max_body_bytes", "body", "header_bytes", "headers", "url")

    def __init__(self, max_body_bytes=MAX_BODY_BYTES):
        self._max_body_bytes = max_body_bytes
        self._clear_message()

    def _clear_message(self):
        self.url = b""
        self.headers = {}
        self.header_bytes = 0
        self.body = b""

    def on_message_begin(self):
        """Start a message."""
        self._clear_message()

    def on_url(self, url):
        """Append a part of the request target."""
        self.url += url
        self._count_header_bytes(len(url))

    def on_header(self, name, value):
        """Add one header."""
        self._count_header_bytes(len(name) + len(value))
        self.headers[name.lower().decode("latin-1")] = value.decode("latin-1")

    def on_body(self, body):
        """Append a part of the body."""
        if not self.body:
            self.body = body
        else:
            if isinstance(self.body, bytes):
                self.body = bytearray(self.body)
            # Not copied for each part, because a client may send one byte in each.
            self.body.extend(body)
        if len(self.body) > self._max_body_bytes:
            raise errors.RequestTooLarge("the body is too large")

    def _count_header_bytes(self, added_bytes):
        self.header_bytes += added_bytes
        if self.header_bytes > MAX_HEADER_BYTES:
            raise errors.RequestTooLarge("the headers are too large")


class _ServerConnection(_MessageCollector):
    """One accepted connection; answers pipelined requests in their order.

    One request at a time is handled, and none while the client is slow to read earlier
    answers. Reading is paused when another request arrives meanwhile.
    """

    __slots__ = (
        "_handling_request",
        "_parser",
        "_waiting_requests",
        "_server",
        "stream",
    )

    def __init__(self, server, sock):
        super().__init__(server.max_body_bytes)
        self._server = server
        self._parser = None
        self._waiting_requests = None
        self._handling_request = False
        self.stream = transport.Stream(
            server.loop,
            sock,
            self._on_data,
            self._on_closed,
            is_deferrable=server.is_deferrable,
        )
        self.stream.on_drained = self._handle_waiting_request

    def _on_data(self, data):
        # The parser is created with the first data, because a connection without one
        # takes half the memory.
        if self._parser is None:
            self._parser = httptools.HttpRequestParser(self)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            # The parser wraps what a callback raised, such as ``RequestTooLarge``.
            refusal = error.__context__
            if not isinstance(refusal, errors.CassiahillError):
                refusal = errors.MalformedRequest("invalid HTTP message")
            self._refuse_message(refusal)
        except httptools.HttpParserUpgrade:
            self._refuse_message(errors.MalformedRequest("upgrades are not supported"))
        except httptools.HttpParserError:
            self._refuse_message(errors.MalformedRequest("invalid HTTP message"))

    def on_message_complete(self):
        """Handle the received request, or queue it behind an earlier one."""
        path, _, query = self.url.decode("latin-1").partition("?")
        request = Request(
            method=self._parser.get_method().decode("latin-1"),
            path=path,
            query=query,
            headers=self.headers,
            body=bytes(self.body),
            peer_name=self.stream.peer_name,
        )
        keep_alive = self._parser.should_keep_alive()
        if self._handling_request or self._waiting_requests or self.stream.is_congested:
            if self._waiting_requests is None:
                self._waiting_requests = collections.deque()
            self._waiting_requests.append((request, keep_alive))
            self.stream.set_reading_paused(True)
            return
        self._handle_request(request, keep_alive)

    def _handle_request(self, request, keep_alive):
        """Handle a request, and those that wait behind it if it is answered at once.

        They are handled in a loop, because a client may pipeline more of them than the
        stack has room for.
        """
        answer = self._start_request(request, keep_alive)
        while answer is not None:
            self._respond(answer, keep_alive)
            if not self._may_handle_waiting_request():
                return
            request, keep_alive = self._waiting_requests.popleft()
            answer = self._start_request(request, keep_alive)

    def _start_request(self, request, keep_alive):
        """Call the handler; return its response, or None if that comes later."""
        self._handling_request = True
        self._server.requests_in_flight += 1
        try:
            answer = self._server.handler(request, self)
        except errors.CassiahillError as error:
            return problem_response(error)
        except Exception as error:  # noqa: BLE001 an internal error, not malformed input
            logging.exception("event=handler_failed path=%s", request.path)
            return problem_response(error)
        if isinstance(answer, Response):
            return answer
        if answer.done():
            return _response_from_future(answer)
        self._server.loop.when_done(
            answer, lambda done_future: self._respond_late(done_future, keep_alive)
        )
        return None

    def _respond_late(self, done_future, keep_alive):
        """Respond to a request whose handler has ended, and handle those behind it."""
        self._respond(_response_from_future(done_future), keep_alive)
        self._handle_waiting_request()

    def _handle_waiting_request(self):
        """Handle the requests that wait, if the client reads the answers."""
        if self._may_handle_waiting_request():
            self._handle_request(*self._waiting_requests.popleft())

    def _may_handle_waiting_request(self):
        return (
            bool(self._waiting_requests)
            and not self._handling_request
            and not self.stream.closing
            and not self.stream.closed
            and not self.stream.is_congested
        )

    def _respond(self, response, keep_alive):
        self._server.requests_in_flight -= 1
        self._handling_request = False
        is_last = not keep_alive or self._server.closing
        self.stream.write(_encode_response(response, is_last))
        if is_last:
            self.stream.close_when_sent()
        elif not self._waiting_requests:
            self.stream.set_reading_paused(False)
            self.headers = None
            self.body = b""

    def _refuse_message(self, error):
        self.stream.write(_encode_response(problem_response(error), True))
        self.stream.close_when_sent()

    def _on_closed(self):
        self._parser = None
        self._server.on_connection_closed(self)


def _response_from_future(future):
    """Return the response of a done future, or the one that describes its error."""
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
        Called with each connection that has closed.
    max_body_bytes : int
        A request with a longer body is refused.
    is_deferrable : bool
        Whether requests may wait for other work; see ``loop.EventLoop``.

    Attributes
    ----------
    requests_in_flight : int
        Requests that were handed to the handler and are not answered yet.
    closing : bool
        Whether each connection closes after its next answer.
    """

    def __init__(
        self,
        loop,
        address,
        handler,
        ssl_context=None,
        on_disconnect=None,
        max_body_bytes=MAX_BODY_BYTES,
        is_deferrable=False,
    ):
        self.loop = loop
        self.is_deferrable = is_deferrable
        self.max_body_bytes = max_body_bytes
        self.handler = handler
        self.closing = False
        self.requests_in_flight = 0
        self._on_disconnect = on_disconnect
        self._connections = set()
        self._listener = transport.Listener(
            loop, address, self._add_connection, ssl_context, is_deferrable
        )
        self.address = self._listener.address

    @property
    def connection_count(self):
        """Number of open connections."""
        return len(self._connections)

    def on_connection_closed(self, connection):
        """Remove a connection that has closed, and notify ``on_disconnect``."""
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

    def _add_connection(self, sock):
        self._connections.add(_ServerConnection(self, sock))


class ClientConnection(_MessageCollector):
    """A client's connection, which sends one request at a time.

    Parameters
    ----------
    loop : loop.EventLoop
    address : tuple of (str, int)
    ssl_context : ssl.SSLContext or None
    on_closed : callable or None
        Called with this connection when it has closed.
    max_body_bytes : int
        A response with a longer body fails with ``errors.ResponseTooLarge``.
    """

    __slots__ = (
        "_host_header",
        "_loop",
        "_on_closed_callback",
        "_parser",
        "_pending_response",
        "_stream",
        "_timer",
    )

    def __init__(
        self,
        loop,
        address,
        ssl_context=None,
        on_closed=None,
        max_body_bytes=MAX_BODY_BYTES,
    ):
        super().__init__(max_body_bytes)
        self._loop = loop
        self._timer = None
        self._host_header = b"%s:%d" % (address[0].encode(), address[1])
        self._pending_response = None
        self._on_closed_callback = on_closed
        self._parser = httptools.HttpResponseParser(self)
        self._stream = transport.connect(
            loop, address, self._on_data, self._on_closed, ssl_context
        )

    @property
    def closed(self):
        """Whether the connection is closed."""
        return self._stream.closed

    @property
    def busy(self):
        """Whether a request waits for its response."""
        return self._pending_response is not None

    def request(self, method, path, body=b"", headers=(), deadline=None):
        """Send a request.

        Parameters
        ----------
        method, path : str
        body : bytes
        headers : iterable of (bytes, bytes)
        deadline : float or None
            Instant in seconds at which the request fails. The connection is then
            closed, because a late response would be taken for that of the next request.

        Returns
        -------
        Future of ReceivedResponse
            Fails with ``errors.ConnectionLost`` when the connection ends or the
            deadline passes first.
        """
        if self._pending_response is not None:
            raise RuntimeError("an answer is still pending on this connection")
        if self.closed:
            raise errors.BackendUnavailable("the connection is closed")
        lines = [
            b"%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n"
            % (method.encode(), path.encode(), self._host_header, len(body))
        ]
        lines.extend(b"%s: %s\r\n" % header for header in headers)
        lines.append(b"\r\n")
        lines.append(body)
        response_future = self._pending_response = LoopFuture()
        self._timer = (
            None
            if deadline is None
            else self._loop.call_at(deadline, self._fail_at_deadline)
        )
        self._stream.write(b"".join(lines))
        return response_future

    def close(self):
        """Close the connection; a request without a response fails."""
        self._stream.close()

    def on_message_complete(self):
        """Complete the future of the pending response; called by the parser."""
        response = ReceivedResponse(
            self._parser.get_status_code(), bytes(self.body), self.headers
        )
        response_future = self._take_pending_response()
        if not self._parser.should_keep_alive():
            self._stream.close()
        if response_future is not None:
            response_future.set_result(response)

    def _take_pending_response(self):
        response_future, self._pending_response = self._pending_response, None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        return response_future

    def _fail_at_deadline(self):
        response_future = self._take_pending_response()
        self._stream.close()
        if response_future is not None:
            response_future.set_exception(
                errors.ConnectionLost("no answer before the deadline")
            )

    def _on_data(self, data):
        if self._pending_response is None:
            # Data without a request belongs to no response.
            self._stream.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, errors.CassiahillError):
            self._fail_too_large()
            self._stream.close()

    def _fail_too_large(self):
        """Fail the request if its response exceeds a limit; a retry would fail too."""
        is_too_large = (
            len(self.body) > self._max_body_bytes
            or self.header_bytes > MAX_HEADER_BYTES
        )
        response_future = self._take_pending_response() if is_too_large else None
        if response_future is not None:
            response_future.set_exception(
                errors.ResponseTooLarge("the response is too large")
            )

    def _on_closed(self):
        response_future = self._take_pending_response()
        if response_future is not None:
            response_future.set_exception(
                errors.ConnectionLost("the connection closed")
            )
        if self._on_closed_callback is not None:
            self._on_closed_callback(self)


def decode_response(response):
    """Return the decoded JSON body of a response, or raise the error it describes.

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

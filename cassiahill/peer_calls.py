"""Remote procedure calls between proxies, multiplexed on one authenticated link."""

import collections

import attrs
import msgspec

from cassiahill import errors, peer_links, transport
from cassiahill.datagrams import DatagramEndpoint
from cassiahill.loop import LoopFuture

__all__ = ["DatagramEndpoint", "PeerClient", "PeerListener"]

MAX_PAYLOAD_BYTES = peer_links.MAX_FRAME_BYTES - peer_links.MAX_HELLO_BYTES
MAX_PENDING_CALLS = 10_000
MAX_QUEUED_BYTES = 4 * 1024 * 1024
# Answers that wait on one link for the other proxy to read earlier ones.
MAX_QUEUED_ANSWER_BYTES = 32 * 1024 * 1024
LINK_ANSWER_TIMEOUT_SECONDS = 2.0  # A link without any answer is closed after this.
RECONNECT_DELAY_SECONDS = 0.1
OK_KIND = "ok"
PROBLEM_KIND = "problem"


class PeerListener:
    """Accepts links from other proxies and answers their calls.

    Parameters
    ----------
    loop : loop.EventLoop
    address : tuple of (str, int)
    handler : callable
        ``handler(sender, kind, payload)`` returns a ``Future`` of bytes or raises
        ``errors.CassiahillError``, which the calling proxy's future then fails with.
    fleet_secret : bytes
    own_name : str
    ssl_context : ssl.SSLContext, optional
    """

    def __init__(
        self, loop, address, handler, fleet_secret, own_name, ssl_context=None
    ):
        self._loop = loop
        self._handler = handler
        self._fleet_secret = fleet_secret
        self._own_name = own_name
        self._pending_count_by_link = {}
        self.refusals_by_reason = collections.Counter()
        self._listener = transport.Listener(loop, address, self._accept, ssl_context)
        self.address = self._listener.address

    def close(self):
        """Stop listening and close all links."""
        self._listener.close()
        for link in list(self._pending_count_by_link):
            link.stream.close()

    def on_open(self, link):
        """Do nothing, because the client sends the first request."""

    def on_message(self, link, message):
        """Pass one request to the handler and send its answer."""
        if self._pending_count_by_link[link] >= MAX_PENDING_CALLS:
            self._send_problem(link, message.sequence, errors.Overloaded())
            return
        try:
            future = self._handler(message.sender, message.kind, message.payload)
        except Exception as error:  # noqa: BLE001 sent to the caller as a problem
            self._send_problem(link, message.sequence, error)
            return
        if future.done():
            self._send_answer(link, message.sequence, future)
            return
        self._pending_count_by_link[link] += 1
        self._loop.when_done(
            future, lambda done: self._on_handler_done(link, message.sequence, done)
        )

    def _accept(self, sock):
        link = peer_links.PeerLink(
            self._loop, self._own_name, self._fleet_secret, b"server", self
        )
        self._pending_count_by_link[link] = 0
        link.start(
            transport.Stream(
                self._loop,
                sock,
                link.on_data,
                lambda: self._pending_count_by_link.pop(link, None),
            )
        )

    def _on_handler_done(self, link, sequence, future):
        if link in self._pending_count_by_link:
            self._pending_count_by_link[link] -= 1
            self._send_answer(link, sequence, future)

    def _send_answer(self, link, sequence, future):
        error = future.exception()
        if error is not None:
            self._send_problem(link, sequence, error)
        elif len(future.result()) > MAX_PAYLOAD_BYTES:
            error = errors.ResponseTooLarge("the answer is larger than a frame")
            self._send_problem(link, sequence, error)
        elif link.queued_bytes + len(future.result()) > MAX_QUEUED_ANSWER_BYTES:
            error = errors.OutcomeUnknown("too many answers wait on the link")
            self._send_problem(link, sequence, error)
        else:
            link.send(sequence, OK_KIND, future.result())

    def _send_problem(self, link, sequence, error):
        if not isinstance(error, errors.CassiahillError):
            error = errors.CassiahillError(type(error).__name__)
        link.send(sequence, PROBLEM_KIND, msgspec.msgpack.encode(error.to_problem()))


@attrs.define(eq=False)
class _PendingCall:
    kind: str
    payload: bytes
    future: LoopFuture
    started_at: float
    timer: object = None


class PeerClient:
    """Sends calls to one other proxy, multiplexed on one link.

    The first call opens the link, and so does the first call after it was closed.

    Parameters
    ----------
    loop : loop.EventLoop
    address : tuple of (str, int)
    fleet_secret : bytes
    own_name : str
    ssl_context : ssl.SSLContext, optional
    """

    def __init__(self, loop, address, fleet_secret, own_name, ssl_context=None):
        self._loop = loop
        self._address = address
        self._fleet_secret = fleet_secret
        self._own_name = own_name
        self._ssl_context = ssl_context
        self._link = None
        self._queued_calls = []
        self._queued_bytes = 0
        self._calls_by_sequence = {}
        self._next_connect_at = 0.0
        self._last_answer_at = 0.0
        self.refusals_by_reason = collections.Counter()

    @property
    def connected(self):
        """Whether the link is open and authenticated."""
        return self._link is not None and self._link.authenticated_peer is not None

    def call(self, kind, payload, deadline):
        """Send a request and return the ``Future`` of the answer's bytes.

        When the request was not sent, the future fails with an error that says so, such
        as ``errors.BackendUnavailable``, ``DeadlinePassed`` or ``Overloaded``. When the
        request may have run, it fails with ``ConnectionLost`` or ``OutcomeUnknown``.
        Otherwise it fails with the handler's error.

        Parameters
        ----------
        kind : str
        payload : bytes
        deadline : float
            Instant in seconds of the loop's clock.
        """
        now = self._loop.clock.now()
        call = _PendingCall(kind, payload, LoopFuture(), now)
        refusal = self._refusal_error(payload, now, deadline)
        if refusal is not None:
            call.future.set_exception(refusal)
            return call.future
        if self._link is not None and self._link.authenticated_peer is not None:
            self._send_call(call)
        else:
            self._queued_calls.append(call)
            self._queued_bytes += len(payload)
            if self._link is None:
                self._connect()
        if not call.future.done():
            call.timer = self._loop.call_at(deadline, lambda: self._on_deadline(call))
        return call.future

    def close(self):
        """Close the link and fail the pending calls."""
        if self._link is not None:
            self._link.stream.close()

    def on_open(self, _link):
        """Send the calls that were queued until the link was open."""
        queued_calls, self._queued_calls, self._queued_bytes = self._queued_calls, [], 0
        for call in queued_calls:
            if not call.future.done():
                self._send_call(call)

    def on_message(self, _link, message):
        """Complete the call that a message answers."""
        self._last_answer_at = self._loop.clock.now()
        call = self._calls_by_sequence.pop(message.request_sequence, None)
        if call is None or call.future.done():
            return  # The answer arrived after the call's deadline.
        call.timer.cancel()
        if message.kind == OK_KIND:
            call.future.set_result(message.payload)
            return
        try:
            problem = msgspec.msgpack.decode(message.payload, type=dict)
            call.future.set_exception(errors.from_problem(problem))
        except (msgspec.MsgspecError, ValueError, TypeError):
            call.future.set_exception(errors.CassiahillError("malformed problem"))

    def _refusal_error(self, payload, now, deadline):
        if deadline <= now:
            return errors.DeadlinePassed("the deadline passed before the call")
        if len(payload) > MAX_PAYLOAD_BYTES:
            return errors.RequestTooLarge("larger than a frame")
        pending_count = len(self._calls_by_sequence) + len(self._queued_calls)
        queued_bytes = self._queued_bytes + len(payload)
        if self._link is not None:
            queued_bytes += self._link.queued_bytes
        if pending_count >= MAX_PENDING_CALLS or queued_bytes > MAX_QUEUED_BYTES:
            return errors.Overloaded("too many calls to this proxy")
        if self._link is None and now < self._next_connect_at:
            return errors.BackendUnavailable("the proxy was unreachable just now")
        return None

    def _connect(self):
        self._next_connect_at = self._loop.clock.now() + RECONNECT_DELAY_SECONDS
        link = peer_links.PeerLink(
            self._loop, self._own_name, self._fleet_secret, b"client", self
        )
        self._link = link
        try:
            stream = transport.connect(
                self._loop,
                self._address,
                link.on_data,
                lambda: self._on_closed(link),
                self._ssl_context,
            )
        except errors.CassiahillError:
            self._on_closed(link)
            return
        link.start(stream)

    def _send_call(self, call):
        self._calls_by_sequence[self._link.send(0, call.kind, call.payload)] = call

    def _on_deadline(self, call):
        if call.future.done():
            return
        if call in self._queued_calls:
            self._queued_calls.remove(call)
            self._queued_bytes -= len(call.payload)
            call.future.set_exception(errors.DeadlinePassed("no link in time"))
            return
        call.future.set_exception(errors.OutcomeUnknown("no answer in time"))
        last_activity_at = max(self._last_answer_at, call.started_at)
        if (
            self._loop.clock.now() - last_activity_at >= LINK_ANSWER_TIMEOUT_SECONDS
            and self._link
        ):
            self._link.stream.close()

    def _on_closed(self, link):
        if link is not self._link:
            return
        self._link = None
        queued_calls, self._queued_calls, self._queued_bytes = self._queued_calls, [], 0
        sent_calls, self._calls_by_sequence = self._calls_by_sequence, {}
        for call in queued_calls:
            _fail_call(call, errors.BackendUnavailable("the proxy cannot be reached"))
        for call in sent_calls.values():
            _fail_call(call, errors.ConnectionLost("the link closed before the answer"))


def _fail_call(call, error):
    if call.timer is not None:
        call.timer.cancel()
    if not call.future.done():
        call.future.set_exception(error)

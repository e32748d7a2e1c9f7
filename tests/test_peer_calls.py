"""Tests of ``cassiahill.peer_calls``."""

import socket
import struct
import unittest

from cassiahill import clock, errors, loop, peer_calls
from cassiahill.loop import READ

SECRET = b"fleet secret"
late_answers = []  # Futures of the requests that are answered after their deadline.


def handle_request(_sender, kind, payload):
    """Echo the payload, refuse, or leave the answer open, by the kind of request."""
    if kind == "refuse":
        raise errors.NotOwner("moved", retry_after=0.25)
    if kind == "never":
        return loop.Future()
    if kind == "late":
        late_answers.append(loop.Future())
        return late_answers[-1]
    if kind == "answer of size":
        return loop.completed_future(b"x" * int(payload))
    return loop.completed_future(payload)


class PeersTest(unittest.TestCase):
    def setUp(self):
        self.loop = loop.EventLoop(clock.SystemClock())
        self.addCleanup(self.loop.close)
        self.listener = peer_calls.PeerListener(
            self.loop, ("127.0.0.1", 0), handle_request, SECRET, "b"
        )
        self.addCleanup(self.listener.close)
        self.client = self.new_client(SECRET)

    def new_client(self, secret):
        client = peer_calls.PeerClient(self.loop, self.listener.address, secret, "a")
        self.addCleanup(client.close)
        return client

    def run_until(self, *futures):
        for future in futures:
            self.loop.when_done(future, lambda _: self.loop.call_soon(lambda: None))
        while not all(future.done() for future in futures):
            self.loop._run_once()

    def call(self, kind="echo", payload=b"x", client=None, seconds=60.0):
        deadline = self.loop.clock.now() + seconds
        return (client or self.client).call(kind, payload, deadline)

    def send_raw(self, data):
        """Send bytes to the listener; return a future that ends with the link."""
        sock = socket.create_connection(self.listener.address)
        self.addCleanup(sock.close)
        sock.setblocking(False)
        closed = loop.Future()

        def receive(_events):
            try:
                if not sock.recv(65536):
                    self.loop.unwatch(sock)
                    closed.set_result(None)
            except ConnectionResetError:
                self.loop.unwatch(sock)
                closed.set_result(None)

        self.loop.watch(sock, READ, receive)
        sock.send(data)
        return closed

    def test_answer_beyond_a_frame(self):
        """Guards against an internal error for a read whose rows are too many."""
        largest = b"%d" % peer_calls.MAX_PAYLOAD_BYTES
        too_large = b"%d" % (peer_calls.MAX_PAYLOAD_BYTES + 1)
        answered = self.call("answer of size", largest)
        refused = self.call("answer of size", too_large)
        self.run_until(answered, refused)
        self.assertEqual(len(answered.result()), peer_calls.MAX_PAYLOAD_BYTES)
        self.assertIsInstance(refused.exception(), errors.ResponseTooLarge)
        self.run_until(self.call())  # The link still works.

    def test_many_large_answers_at_once(self):
        """Guards against a link that closes, with all its calls, on valid answers."""
        sizes = [3_000_000 + number for number in range(8)]
        calls = [self.call("answer of size", b"%d" % size) for size in sizes]
        small = self.call(payload=b"small")
        self.run_until(small, *calls)
        self.assertEqual([len(call.result()) for call in calls], sizes)
        self.assertEqual(small.result(), b"small")

    def test_answers_beyond_the_queue(self):
        """Guards against a link that closes, or a queue of answers without limit."""
        calls = [self.call("answer of size", b"3000000") for _ in range(30)]
        self.run_until(*calls)
        outcomes = {type(call.exception()) for call in calls}
        self.assertEqual(outcomes, {type(None), errors.OutcomeUnknown})
        self.run_until(self.call())  # The link still works.

    def test_many_large_calls_at_once(self):
        """Guards against a link that closes, with all its calls, on valid requests."""
        self.run_until(self.call())
        never = self.call("never")
        calls = [self.call(payload=b"%d" % n * 3_000_000) for n in range(8)]
        self.run_until(*calls)
        outcomes = {type(call.exception()) for call in calls}
        self.assertLessEqual(outcomes, {type(None), errors.Overloaded})
        self.assertIn(type(None), outcomes)
        self.assertFalse(never.done())
        self.run_until(self.call())  # The link still works.

    def test_answers_reach_their_own_calls(self):
        """Guards against answers that complete another call of the same link."""
        calls = [self.call(payload=b"%d" % number) for number in range(100)]
        large = self.call(payload=b"L" * 300_000)
        self.run_until(large, *calls)
        self.assertEqual(
            [call.result() for call in calls], [b"%d" % number for number in range(100)]
        )
        self.assertEqual(large.result(), b"L" * 300_000)

    def test_handler_errors_keep_their_class(self):
        """Guards against a refusal that the calling proxy takes for unknown outcome."""
        call = self.call("refuse")
        self.run_until(call)
        error = call.exception()
        self.assertIsInstance(error, errors.NotOwner)
        self.assertEqual(error.retry_after, 0.25)

    def test_lost_link_and_unreachable_proxy_differ(self):
        """Guards against "not run" errors of calls that the other proxy received."""
        pending, first = self.call("never"), self.call()
        self.run_until(first)
        self.listener.close()
        self.run_until(pending)
        self.assertIsInstance(pending.exception(), errors.ConnectionLost)
        unsent = self.call()
        self.run_until(unsent)
        self.assertIsInstance(unsent.exception(), errors.BackendUnavailable)

    def test_wrong_secret_is_refused(self):
        """Guards against calls from processes without the fleet's secret."""
        wrong_secret = self.call(client=self.new_client(b"other"))
        right_secret = self.call()
        self.run_until(wrong_secret, right_secret)
        self.assertIsInstance(wrong_secret.exception(), errors.BackendUnavailable)
        self.assertEqual(right_secret.result(), b"x")
        self.assertGreaterEqual(self.listener.refusals_by_reason["wrong hash"], 1)

    def test_recorded_link_is_refused(self):
        """Guards against replays of a recorded connection, or of one of its frames."""
        call = self.call()
        link = self.client._link
        # Not sent before the link is connected.
        recorded = [bytes(link.stream._write_buffer)]
        write = link._write_frame

        def record(envelope):
            recorded.extend((struct.pack(">I", len(envelope)), envelope))
            write(envelope)

        link._write_frame = record
        self.run_until(call)
        self.run_until(self.send_raw(b"".join(recorded)))
        self.assertEqual(self.listener.refusals_by_reason["wrong hash"], 1)
        link.stream.write(b"".join(recorded[-2:]))
        pending = self.call("never")
        self.run_until(pending)
        self.assertIsInstance(pending.exception(), errors.ConnectionLost)
        self.assertEqual(self.listener.refusals_by_reason["replayed sequence"], 1)

    def test_bad_input_closes_only_its_link(self):
        """Guards against input that exhausts the memory or closes other links."""
        oversized = struct.pack(">I", 1 << 30)
        malformed = struct.pack(">I", 64) + b"\xff" * 64
        self.run_until(self.send_raw(oversized), self.send_raw(malformed))
        self.assertEqual(self.listener.refusals_by_reason["oversized"], 1)
        self.assertEqual(self.listener.refusals_by_reason["malformed envelope"], 1)
        call = self.call()
        self.run_until(call)
        self.assertEqual(call.result(), b"x")

    def test_deadline_of_an_answer_that_never_comes(self):
        """Guards against a call that never ends, or that is reported as not run."""
        self.run_until(self.call())
        call = self.call("never", seconds=0.05)
        self.run_until(call)
        self.assertIsInstance(call.exception(), errors.OutcomeUnknown)
        late = self.call(seconds=-1.0)
        self.assertIsInstance(late.exception(), errors.DeadlinePassed)

    def test_late_answer_does_not_close_the_link(self):
        """Guards against a link that fails when an answer misses its deadline."""
        late = self.call("late", seconds=0.05)
        self.run_until(late)
        self.assertIsInstance(late.exception(), errors.OutcomeUnknown)
        late_answers.pop().set_result(b"late")
        following = self.call(payload=b"next")
        self.run_until(following)
        self.assertEqual(following.result(), b"next")
        self.assertFalse(self.client.refusals_by_reason)

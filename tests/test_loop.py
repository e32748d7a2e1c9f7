"""Tests of ``cassiahill.loop``: work that fails, and many ready sockets."""

import socket
import unittest

from cassiahill import clock, errors
from cassiahill.loop import DEFERRABLE_WORK_SECONDS, READ, EventLoop
from tests.stepped_loop import SteppedLoop


class RepeatedWorkTest(unittest.TestCase):
    def setUp(self):
        self.loop = SteppedLoop()
        self.runs = []

    def work(self):
        """Fail on the second run."""
        self.runs.append(self.loop.clock.now())
        if len(self.runs) == 2:
            raise ZeroDivisionError
        return self.loop.clock.now() + 1.0

    def test_work_goes_on_after_an_unexpected_error(self):
        """Guards against heartbeats or probes that one error ends for good.

        The timer was set at the end of the work, so that an error left none.
        """
        self.loop.repeat(self.loop.clock.now(), self.work)
        with self.assertLogs("absl", "ERROR") as logs:
            self.loop.advance(5.0)
        self.assertGreaterEqual(len(self.runs), 5)
        self.assertIn("repeated_work_failed", logs.output[0])

    def test_cancelled_work_does_not_run(self):
        """Guards against work of a closed object, also when it cancels itself."""
        timer = self.loop.repeat(self.loop.clock.now(), self.work)
        self.loop.advance(0.5)
        timer.cancel()
        self.loop.advance(5.0)
        self.assertEqual(len(self.runs), 1)


class FailedTaskTest(unittest.TestCase):
    def fail(self, error):
        raise error
        yield

    def test_unexpected_error_of_a_task_is_logged(self):
        """Guards against a background task that ends without a trace."""
        loop = SteppedLoop()
        with self.assertLogs("absl", "ERROR"):
            future = loop.spawn(self.fail(ZeroDivisionError()))
        self.assertIsInstance(future.exception(), ZeroDivisionError)

    def test_expected_error_of_a_task_is_not_logged(self):
        """Guards against log lines for each answer that does not come."""
        with self.assertNoLogs("absl", "ERROR"):
            SteppedLoop().spawn(self.fail(errors.ConnectionLost("closed")))


class ManyReadySocketsTest(unittest.TestCase):
    CLIENT_COUNT = 40
    CALLBACK_SECONDS = DEFERRABLE_WORK_SECONDS / 2

    def setUp(self):
        self.clock = clock.ManualClock()
        self.loop = EventLoop(self.clock)
        self.addCleanup(self.loop.close)
        self.handled_names = []

    def watch_ready_socket(self, name, is_deferrable):
        """Watch a socket that stays ready; handling it takes a while."""
        sock, other_end = socket.socketpair()
        self.addCleanup(other_end.close)
        self.addCleanup(sock.close)
        other_end.send(b"x")

        def handle(_events):
            self.handled_names.append(name)
            self.clock.advance(self.CALLBACK_SECONDS)

        self.loop.watch(sock, READ, handle, is_deferrable)
        return sock

    def watch_clients(self):
        for number in range(self.CLIENT_COUNT):
            self.watch_ready_socket(number, is_deferrable=True)

    def test_answer_of_the_store_does_not_wait_for_all_clients(self):
        """Guards against news that come late at a process with many busy clients."""
        self.watch_clients()
        self.loop._run_once()
        handled_before = len(self.handled_names)
        self.watch_ready_socket("store", is_deferrable=False)
        self.loop._run_once()
        self.assertEqual(self.handled_names[handled_before], "store")
        self.assertLessEqual(handled_before, 3)

    def test_timer_does_not_wait_for_all_clients(self):
        """Guards against heartbeats that many clients hold back."""
        self.watch_clients()
        due_at = self.clock.now() + 0.01
        ran_at = []
        self.loop.call_at(due_at, lambda: ran_at.append(self.clock.now()))
        while not ran_at:
            self.loop._run_once()
        self.assertLess(ran_at[0] - due_at, 2 * DEFERRABLE_WORK_SECONDS)

    def test_all_clients_take_turns(self):
        """Guards against clients that wait for good behind others that are busy."""
        self.watch_clients()
        while len(self.handled_names) < 3 * self.CLIENT_COUNT:
            self.loop._run_once()
        counts = [self.handled_names.count(n) for n in range(self.CLIENT_COUNT)]
        self.assertLessEqual(max(counts) - min(counts), 1)

    def test_socket_that_is_closed_while_it_waits(self):
        """Guards against a wait for a client that has gone."""
        socks = [self.watch_ready_socket(n, is_deferrable=True) for n in range(10)]
        self.loop._run_once()
        waiting = [n for n in range(10) if n not in self.handled_names]
        for number in waiting:
            self.loop.unwatch(socks[number])
        self.loop._run_once()
        self.assertFalse(set(waiting) & set(self.handled_names))


if __name__ == "__main__":
    unittest.main()

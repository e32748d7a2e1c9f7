"""Tests of the soak's questions for the proxies' states."""

import contextlib
import itertools
import os
import pathlib
import tempfile
import types
import unittest
from unittest import mock

from cassiahill import clock, http1, loop
from cassiahill.loop import LoopFuture
from tests import adapter_path

with adapter_path.importable():
    from soak import process_traces, state_checks

# Two listeners; of the connections to the first, one is not accepted yet and has unread
# bytes, one has bytes for its other end, and one is closed already.
SOCKET_TABLE = """  sl  local_address rem_address   st tx_queue rx_queue tr tm->when ...
   0: 0302017F:1F90 00000000:0000 0A 00000000:00000001 00:0 0 0 0 101 1 0
   1: 0302017F:1F91 00000000:0000 0A 00000000:00000007 00:0 0 0 0 102 1 0
   2: 0302017F:1F90 0100007F:A001 01 00000000:00000020 00:0 0 0 0 0 1 0
   3: 0302017F:1F90 0100007F:A002 01 00000000:00000000 00:0 0 0 0 103 1 0
   4: 0100007F:A002 0302017F:1F90 01 00000000:00000400 00:0 0 0 0 104 1 0
   5: 0302017F:1F90 0100007F:A003 06 00000000:00000000 03:0 0 0 0 0 3 0
"""


class SocketTableTest(unittest.TestCase):
    def test_queues_of_one_address(self):
        """Guards against a trace that blames the wrong end for a missing answer."""
        encoded_address = process_traces._encode_address(("127.1.2.3", 8080))
        self.assertEqual(
            process_traces.describe_socket_table(SOCKET_TABLE, encoded_address),
            "backlog 1, 1 connections not accepted, "
            "1 with bytes that the proxy has not read, "
            "1 with bytes that the other end has not read",
        )

    def test_schedule_of_an_ended_process(self):
        """Guards against a run that fails because a process ended meanwhile."""
        self.assertEqual(process_traces.read_schedule(2**30).state, "-")


class StateQuestionTest(unittest.TestCase):
    def setUp(self):
        self.loop = loop.EventLoop(clock.SystemClock())
        self.addCleanup(self.loop.close)
        log_file = tempfile.NamedTemporaryFile(suffix=".log")  # noqa: SIM115
        self.addCleanup(log_file.close)
        log_path = pathlib.Path(log_file.name)
        log_path.write_text('{"event":"loop_delayed","seconds":2.5}\n{"event":"x"}\n')
        self.requests = []
        self.server = http1.Server(self.loop, ("127.0.0.1", 0), self.handle_request)
        self.addCleanup(self.server.close)
        self.proxy = types.SimpleNamespace(
            number=1,
            peer_address=self.server.address,
            log_path=log_path,
            process=types.SimpleNamespace(pid=os.getpid()),
        )
        self.response = http1.json_response({"configuration": 7})

    def handle_request(self, request, _connection):
        self.requests.append(request)
        return self.response

    def ask(self):
        """Ask the stand-in for its state and return the ``StateAnswers``."""
        task = self.loop.spawn(
            state_checks.list_outdated_proxies(self.loop, [self.proxy], 7)
        )
        self.loop.when_done(task, lambda _: self.loop.stop())
        self.loop.run()
        return task.result()

    def test_newest_configuration(self):
        """Guards against a report about a proxy that has the newest version."""
        answers = self.ask()
        self.assertEqual(answers.problems, [])
        self.assertIn("proxy-1", answers.describe())

    def test_outdated_configuration(self):
        """Guards against missing a proxy that stayed with an old version."""
        self.response = http1.json_response({"configuration": 6})
        self.assertEqual(self.ask().problems, ["proxy-1 has configuration 6, not 7"])

    def test_missing_answer_is_traced(self):
        """Guards against a time-out whose cause can't be told from the output.

        The stand-in answers the second question only, as a proxy that was late does.
        """
        with mock.patch.object(state_checks, "STATE_TIMEOUT_SECONDS", 0.2):
            answers = self.ask_with_late_first_answer()
        self.assertEqual(len(answers.problems), 1)
        for fragment in (
            "no answer before the deadline",
            f"process {os.getpid()} in state R",
            "s for a processor",
            "backlog 0, 0 connections not accepted",
            "asked again: answered",
            '"seconds":2.5',
        ):
            self.assertIn(fragment, answers.problems[0])

    def test_wait_for_a_processor(self):
        """Guards against a time-out while the answer lies unread at the run's own end.

        On a machine with a load of 44 on 8 cores the run itself was kept from the
        processor for 4.4 s. Its time-out of 2 s then ended before it read the answer.
        """
        self.answer_after(0.2)
        with self.schedules(process_traces.Schedule(0.0, 0.5, "S")):
            self.assertEqual(self.ask().problems, [])

    def test_wait_that_has_not_ended(self):
        """Guards against a time-out of a proxy that still waits for a processor.

        Such a proxy had not accepted the connection after 2 s, and the kernel did not
        count its wait yet.
        """
        self.answer_after(0.2)
        with self.schedules(process_traces.Schedule(0.0, 0.0, "R")):
            self.assertEqual(self.ask().problems, [])

    def test_process_that_never_gets_a_processor(self):
        """Guards against a bound that a process which does nothing always keeps."""
        self.server.handler = lambda _request, _connection: LoopFuture()
        with (
            self.schedules(process_traces.Schedule(0.0, 1e6, "R")),
            mock.patch.object(state_checks, "MAX_PROCESSOR_WAIT_SECONDS", 0.1),
            mock.patch.object(state_checks, "LATE_ANSWER_TIMEOUT_SECONDS", 0.1),
        ):
            self.assertEqual(len(self.ask().problems), 1)

    def answer_after(self, seconds):
        """Let the stand-in answer late."""

        def handle_request(_request, _connection):
            answer = LoopFuture()
            self.loop.call_at(
                self.loop.clock.now() + seconds,
                lambda: answer.set_result(self.response),
            )
            return answer

        self.server.handler = handle_request

    @contextlib.contextmanager
    def schedules(self, later):
        """Shorten the time-out, and replace the later readings of both processes."""
        first = process_traces.Schedule(0.0, 0.0, "S")
        readings = itertools.chain([first] * 2, itertools.repeat(later))
        with (
            mock.patch.object(state_checks, "STATE_TIMEOUT_SECONDS", 0.1),
            mock.patch.object(
                process_traces, "read_schedule", lambda _pid: next(readings)
            ),
        ):
            yield

    def ask_with_late_first_answer(self):
        """Ask while the stand-in never answers the first question."""

        def handle_request(request, _connection):
            self.requests.append(request)
            return self.response if self.requests[1:] else LoopFuture()

        self.server.handler = handle_request
        return self.ask()


if __name__ == "__main__":
    unittest.main()

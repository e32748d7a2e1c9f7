"""A planned stop of one proxy while its clients keep using their sessions."""

import asyncio
import contextlib
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

RECORD_PATH = pathlib.Path(__file__).with_name("record.txt")
PROXY_COUNT = 2
CLIENT_COUNT = 12
# Pause of a client between an answer and its next statement.
PAUSE_SECONDS = 0.02
GRACE_SECONDS = 6.0
LOSS_SLACK_SECONDS = 0.2
STATEMENT_TIMEOUT_SECONDS = 0.8
# A request that was sent until then after the SIGTERM may be excused.
EXCUSED_UNTIL_SECONDS = 3.0


class Client:
    """Uses one session until it ends, then opens the next one at another proxy."""

    def __init__(self, deployment, number):
        self._deployment = deployment
        self._record = deployment.record
        self._number = number
        self.lost = []  # Id and times of each request without a complete answer.
        self.answered = 0

    async def run(self):
        """Open one session after another."""
        # All clients start at the first proxy; no other one takes them from it.
        proxy_number = 0
        while True:
            proxy = self._deployment.proxies[proxy_number]
            session = harness.Session(self._record, proxy)
            with contextlib.suppress(
                OSError, asyncio.TimeoutError, asyncio.IncompleteReadError
            ):
                if await session.open("orders-own") == ["READY", "I"]:
                    await self._use(session)
            session.close()
            proxy_number = 1 - proxy_number
            await asyncio.sleep(0.05)

    async def _use(self, session):
        """Send one statement after the other until the session is closed."""
        count = 0
        while not session.at_end():
            count += 1
            text = (
                f"WRITE {self._number}a {count}"
                if count % 5 == 0
                else f"READ {self._number}a"
            )
            try:
                if await session.query(text) is not None:
                    return
            except harness.Ended:
                self.lost.append(
                    (
                        session.last_id,
                        session.proxy,
                        session.sent_at,
                        self._record.now(),
                    )
                )
                return
            self.answered += 1
            await asyncio.sleep(PAUSE_SECONDS)


async def case(deployment, trouble):
    """Stop the first proxy; return the requests that it lost."""
    await deployment.start()
    clients = [Client(deployment, number) for number in range(CLIENT_COUNT)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(6.0)
    first_proxy = deployment.proxies[0]
    stopped_at = deployment.record.now()
    if trouble:
        first_proxy.signal(signal.SIGTERM)
    await asyncio.sleep(GRACE_SECONDS)
    if trouble and first_proxy.process.poll() is None:
        first_proxy.signal(signal.SIGKILL)
    await asyncio.sleep(2.0)
    for task in tasks:
        task.cancel()
    if sum(client.answered for client in clients) < CLIENT_COUNT * 20:
        raise harness.NotRun("too few requests were answered")
    arrived_at_by_id = {
        request_id: arrived_at
        for database in deployment.groups[0].databases
        for arrived_at, request_id, _, _ in database.ran
    }
    violations = []
    for client in clients:
        for request_id, proxy, sent_at, ended_at in client.lost:
            after_stop = sent_at - stopped_at
            held = ended_at - sent_at
            passed_on = request_id in arrived_at_by_id
            if (
                proxy is first_proxy
                and EXCUSED_UNTIL_SECONDS < after_stop <= GRACE_SECONDS + 1.0
                and held < STATEMENT_TIMEOUT_SECONDS
                and (passed_on or held > LOSS_SLACK_SECONDS)
            ):
                violations.append(
                    f"{request_id}, sent {after_stop:.3f} s after the SIGTERM, "
                    f"passed on: {passed_on}; the connection ended {held:.3f} s later "
                    "without an answer"
                )
    return violations


if __name__ == "__main__":
    harness.run_case(RECORD_PATH, case, PROXY_COUNT)

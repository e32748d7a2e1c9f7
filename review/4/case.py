"""The store is silent for a moment; later a database reports that it leaves."""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

RECORD_PATH = pathlib.Path(__file__).with_name("record.txt")
PROXY_COUNT = 3
CLIENT_COUNT = 9
PAUSE_SECONDS = 0.1
SILENT_SECONDS = 4.5
STABLE_WINDOW_SECONDS = 4.0
DRAIN_SECONDS = 7.0
WATCHED_SECONDS = 11.0


async def read_all_the_time(deployment, number):
    """Read from any database; open a new session after each error."""
    while True:
        proxy = deployment.proxies[number % PROXY_COUNT]
        session = harness.Session(deployment.record, proxy)
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError, harness.Ended
        ):
            if await session.open("orders-bounded") == ["READY", "I"]:
                while await session.query(f"READ {number}a") is None:
                    await asyncio.sleep(PAUSE_SECONDS)
        session.close()
        await asyncio.sleep(PAUSE_SECONDS)


async def case(deployment, trouble):
    """Silence the store after a change; return the requests that come too late."""
    await deployment.start()
    group = deployment.groups[0]
    _, replica, other_replica = group.databases
    clients = [
        asyncio.create_task(read_all_the_time(deployment, number))
        for number in range(CLIENT_COUNT)
    ]
    await asyncio.sleep(6.0)
    # A new version of the software: a change like any other, which ends all watches.
    other_replica.version = "2"
    await deployment.register(other_replica)
    await asyncio.sleep(0.1)
    deployment.store.silent = trouble
    deployment.record.write(f"the store is silent: {trouble}")
    await asyncio.sleep(SILENT_SECONDS)
    deployment.store.silent = False
    deployment.record.write("the store answers")
    await asyncio.sleep(STABLE_WINDOW_SECONDS + 0.2)
    replica.draining = True
    acknowledged_at = await deployment.register(replica)
    await asyncio.sleep(WATCHED_SECONDS)
    for task in clients:
        task.cancel()
    if not replica.ran:
        raise harness.NotRun("the replica ran nothing")
    return [
        f"{request_id} {text!r} reached {replica.id} "
        f"{arrived_at - acknowledged_at:.2f} s after the acknowledgement"
        for arrived_at, request_id, text, _ in replica.ran
        if arrived_at > acknowledged_at + DRAIN_SECONDS
    ]


if __name__ == "__main__":
    harness.run_case(RECORD_PATH, case, PROXY_COUNT)

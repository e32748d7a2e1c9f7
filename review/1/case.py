"""A replica receives nothing for a while, and the primary is lost meanwhile."""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

RECORD_PATH = pathlib.Path(__file__).with_name("record.txt")
PROXY_COUNT = 3
CLIENT_COUNT = 6
PAUSE_SECONDS = 0.1
# Two spells of 6.5 s, the second of which begins a second before the first ends.
DEAF_SECONDS = 12.0
CRASH_AFTER_SECONDS = 2.0
HEARTBEATS_UNTIL_REMOVAL_SECONDS = 3.6
SETTLE_SECONDS = 4.0


async def write_all_the_time(deployment, number):
    """Write again and again; open a new session after each error."""
    while True:
        proxy = deployment.proxies[number % PROXY_COUNT]
        session = harness.Session(deployment.record, proxy)
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError, harness.Ended
        ):
            if await session.open("orders-own") == ["READY", "I"]:
                while await session.query(f"WRITE {number}a data") is None:
                    await asyncio.sleep(PAUSE_SECONDS)
        session.close()
        await asyncio.sleep(PAUSE_SECONDS)


async def lose_primary(deployment, primary, replica):
    """Let a replica receive nothing for a while, and lose the primary meanwhile."""
    replica.deaf = True
    deployment.record.write(f"{replica.id} receives nothing from now")
    await asyncio.sleep(CRASH_AFTER_SECONDS)
    primary.dark = True
    deployment.record.write(f"{primary.id} is lost")
    await asyncio.sleep(HEARTBEATS_UNTIL_REMOVAL_SECONDS)
    await deployment.store.delete("servers", primary.id)
    deployment.record.write(f"the entry of {primary.id} is removed")
    await asyncio.sleep(
        DEAF_SECONDS - CRASH_AFTER_SECONDS - HEARTBEATS_UNTIL_REMOVAL_SECONDS
    )
    replica.deaf = False
    deployment.record.write(f"{replica.id} receives again")


async def case(deployment, trouble):
    """Lose the primary while a replica is behind; return the commits that are lost."""
    await deployment.start()
    group = deployment.groups[0]
    primary, replica, _ = group.databases
    clients = [
        asyncio.create_task(write_all_the_time(deployment, number))
        for number in range(CLIENT_COUNT)
    ]
    registration = asyncio.create_task(deployment.keep_registered())
    await asyncio.sleep(6.0)
    if trouble:
        await lose_primary(deployment, primary, replica)
    else:
        await asyncio.sleep(DEAF_SECONDS)
    await asyncio.sleep(SETTLE_SECONDS)
    for task in (*clients, registration):
        task.cancel()
    if len(group.acknowledged) < 50 or (trouble and group.term < 2):
        raise harness.NotRun("too few commits, or no other primary")
    return [
        f"commit {term}.{number} of {writes} was acknowledged, but is not in the log "
        "of the database that was promoted"
        for term, number, writes in group.lost
    ]


if __name__ == "__main__":
    harness.run_case(RECORD_PATH, case, PROXY_COUNT)

"""A store outage in which entries lapse, ended while all processes start again.

A replica receives nothing for 6.5 s. The store is down for 4.5 s meanwhile and the
entries of the databases lapse. All processes are killed 1.5 s before its return. The
databases run all the time; their entries are back within two seconds.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins_2 as standins  # noqa: E402

DEAF_SECONDS = 6.5
OUTAGE_SECONDS = 4.5
KILL_BEFORE_RETURN_SECONDS = 1.5
# Seconds from the store's return to the first write of each database there.
RETURNS = {"i-orders-2": 0.2, "i-orders-1": 1.8, "i-orders-0": 1.8}


async def scenario(platform):
    """Return whether a promoted database lacks commits that clients were told of."""
    record = platform.record
    await platform.start(["orders"], 3)
    if not await platform.until_ready():
        return standins.NOT_RUN
    service = platform.services["orders"]
    clients = standins.Clients(platform, "orders", 8, write_share=0.5)
    lost = set()

    def check_log(database):
        kept = {
            word
            for _, _, data in database.log
            for write in data.split(" ; ")
            for word in write.split(" ")[1:]
        }
        missing = clients.acknowledged_writes(record.now()) - kept
        record.write("the log of", database.server_id, "lacks", len(missing))
        for data in sorted(missing):
            record.write("a client was told of the commit of", data)
        lost.update(missing)

    service.on_promotion = check_log
    await asyncio.sleep(8)
    if standins.TROUBLE:
        await platform.store.set_down(True)
        for server_id in RETURNS:
            await platform.forget_entry(server_id)
        await asyncio.sleep(1.0)
        service.databases["i-orders-2"].deaf = True
        record.write("i-orders-2 receives nothing")
        asyncio.get_running_loop().call_later(
            DEAF_SECONDS, setattr, service.databases["i-orders-2"], "deaf", False
        )
        await asyncio.sleep(OUTAGE_SECONDS - 1.0 - KILL_BEFORE_RETURN_SECONDS)
        for proxy in platform.proxies:
            proxy.send_signal(signal.SIGKILL)
        await asyncio.sleep(KILL_BEFORE_RETURN_SECONDS)
        for server_id, seconds in RETURNS.items():
            platform.silent_until[server_id] = record.now() + seconds
        await platform.store.set_down(False)
    await asyncio.sleep(15)
    clients.stop()
    share, count = clients.served_share(0, record.now())
    print(f"{count} requests, {share:.3f} served, {len(lost)} commits lost")
    record.write(count, "requests", f"{share:.3f} served,", len(lost), "commits lost")
    if not clients.acknowledged_writes(record.now()):
        return standins.NOT_RUN
    return standins.BROKEN if lost else standins.HELD


standins.run(__file__, scenario)

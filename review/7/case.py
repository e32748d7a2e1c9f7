"""One unreadable entry of another writer hides all servers; then a final fault.

An entry of kind ``servers`` has a whole number of 5,000 digits as its ``slots``. Some
seconds later all processes are killed once and start again.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins_2 as standins  # noqa: E402

ENTRY = '{"service":"orders","state":"ready","slots":1' + "0" * 4999 + "}"
RECOVERY_SECONDS = 12
MIN_SHARE = 0.25


async def scenario(platform):
    """Return whether less than a quarter is served after the final fault."""
    record = platform.record
    await platform.start(["orders"], 3)
    if not await platform.until_ready():
        return standins.NOT_RUN
    clients = standins.Clients(platform, "orders", 8)
    started_at = record.now()
    await asyncio.sleep(6)
    if standins.TROUBLE:
        await platform.store.put("servers", "foreign-1", ENTRY)
        record.write("entry foreign-1 of another writer, slots of 5000 digits")
    await asyncio.sleep(8)
    await platform.write_configuration()
    killed_at = record.now()
    for proxy in platform.proxies:
        proxy.send_signal(signal.SIGKILL)
    before, count_before = clients.served_share(started_at, killed_at)
    await asyncio.sleep(1.0)
    while not all(proxy.process for proxy in platform.proxies):
        await asyncio.sleep(0.1)
    back_at = record.now()
    record.write("all processes are back")
    await asyncio.sleep(RECOVERY_SECONDS + 14)
    since = back_at + RECOVERY_SECONDS
    after, count_after = clients.served_share(since, record.now())
    clients.stop()
    text = (
        f"served before the final fault: {before:.3f} of {count_before}; "
        f"later than {RECOVERY_SECONDS} s after it: {after:.3f} of {count_after}"
    )
    print(text)
    record.write(text)
    if before < MIN_SHARE or not count_after:
        return standins.NOT_RUN
    return standins.BROKEN if after < MIN_SHARE else standins.HELD


standins.run(__file__, scenario)

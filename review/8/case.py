"""An entry with missing fields counts as a replica and blocks every promotion.

The entry of another writer lacks ``version``, ``coldLeftMs``, ``seq`` and ``born``, and
nobody listens at its address. Then the primary is replaced: a new database has started,
and the old one drains and leaves. All processes are killed once while it drains.
"""

import asyncio
import json
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins_2 as standins  # noqa: E402

DRAIN_SECONDS = 7.0
LEAVES_AFTER_SECONDS = 9.0
RECOVERY_SECONDS = 12
MIN_SHARE = 0.25


async def scenario(platform):
    """Return whether less than a quarter is served after the final fault."""
    record = platform.record
    await platform.start(["orders"], 3)
    if not await platform.until_ready():
        return standins.NOT_RUN
    service = platform.services["orders"]
    clients = standins.Clients(platform, "orders", 8)
    started_at = record.now()
    await asyncio.sleep(5)
    if standins.TROUBLE:
        [port] = standins.free_ports(platform.host, 1)
        entry = {
            "service": "orders",
            "addr": f"{platform.host}:{port}",
            "zone": "zone-b",
            "slots": 3,
            "state": "ready",
            "dbRole": "replica",
        }
        await platform.store.put("servers", "foreign-1", json.dumps(entry))
        record.write("entry foreign-1 of another writer", json.dumps(entry))
    await asyncio.sleep(3)
    await service.add("i-orders-3", "zone-a", platform.host)
    await asyncio.sleep(3)
    old_primary = service.primary
    old_primary.draining = True
    record.write(old_primary.server_id, "drains")
    drains_at = record.now()
    await asyncio.sleep(1.0)
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
    await asyncio.sleep(drains_at + LEAVES_AFTER_SECONDS - record.now())
    service.remove(old_primary.server_id)
    await platform.forget_entry(old_primary.server_id)
    since = back_at + RECOVERY_SECONDS
    await asyncio.sleep(since + 20 - record.now())
    after, count_after = clients.served_share(since, record.now())
    clients.stop()
    text = (
        f"served before the final fault: {before:.3f} of {count_before}; "
        f"later than {RECOVERY_SECONDS} s after it: {after:.3f} of {count_after}; "
        f"primary: {service.primary and service.primary.server_id}"
    )
    print(text)
    record.write(text)
    if before < MIN_SHARE or not count_after:
        return standins.NOT_RUN
    return standins.BROKEN if after < MIN_SHARE else standins.HELD


standins.run(__file__, scenario)

"""A database that drains between two pages of a list is used as if it did not.

More entries stand in the store than one page holds; those of another writer have no
fields. One process starts again. Between its two pages a replica reports that it
drains. No disruption of the store, and no other one.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins_2 as standins  # noqa: E402

FOREIGN_ENTRIES = 600
DRAIN_SECONDS = 7.0
LEAVES_AFTER_SECONDS = 20.0
DRAINING = "i-orders-2"


async def scenario(platform):
    """Return whether requests reach the database too late after its report."""
    record = platform.record
    for number in range(FOREIGN_ENTRIES):
        await platform.store.put("servers", f"j-{number:03}", "{}")
    await platform.start(["orders"], 3)
    if not await platform.until_ready():
        return standins.NOT_RUN
    service = platform.services["orders"]
    clients = standins.Clients(platform, "orders", 8)
    acknowledged = []

    async def report_drain():
        service.databases[DRAINING].draining = True
        await platform.write_entry(service.databases[DRAINING])
        acknowledged.append(record.now())
        record.write("the store has acknowledged that", DRAINING, "drains")

    async def report_between_pages(kind, after, more):
        if kind == "servers" and not after and more and not acknowledged:
            await report_drain()

    await asyncio.sleep(6)
    if standins.TROUBLE:
        platform.store.after_page = report_between_pages
    platform.proxies[0].send_signal(signal.SIGTERM)
    await asyncio.sleep(12)
    if not standins.TROUBLE:
        await report_drain()
    if not acknowledged:
        return standins.NOT_RUN
    drained_at = acknowledged[0]
    await asyncio.sleep(drained_at + LEAVES_AFTER_SECONDS - record.now())
    service.remove(DRAINING)
    await platform.forget_entry(DRAINING)
    clients.stop()
    late = [
        arrival
        for arrival in service.arrivals
        if arrival[1] == DRAINING and arrival[0] > drained_at + DRAIN_SECONDS
    ]
    for at, server_id, request_id, text, _ in late:
        record.write("late by", f"{at - drained_at - DRAIN_SECONDS:.3f}", server_id)
        record.write("   request", request_id, text)
    print(f"{len(late)} requests later than {DRAIN_SECONDS} s after the report")
    record.write(len(late), "requests later than", DRAIN_SECONDS, "s after the report")
    return standins.BROKEN if late else standins.HELD


standins.run(__file__, scenario)

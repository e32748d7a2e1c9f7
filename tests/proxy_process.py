"""Runs a whole session proxy in a thread, with a shared store in memory."""

import contextlib
import random
import threading

from cassiahill import catalog_feed, clock, loop
from cassiahill.promotion_orders import PromotionOrders
from cassiahill.session_proxy import SessionProxy
from cassiahill.session_proxy_settings import SessionProxySettings
from tests import adapter_path
from tests.loopback import free_address

with adapter_path.importable():
    from adapter import documents, wire


@contextlib.contextmanager
def running_proxy(store, revocation_seconds=None):
    """Run a session proxy without peers in a thread within the ``with`` block.

    Parameters
    ----------
    store : shared_store.MemorySharedStore
    revocation_seconds : float or None
        See ``SessionProxySettings``.

    Yields
    ------
    tuple of (SessionProxy, SessionProxySettings)
    """
    event_loop = loop.EventLoop(clock.SystemClock())
    settings = SessionProxySettings(
        "proxy-1",
        "domain-a",
        *(free_address() for _ in range(4)),
        seed_addresses=(),
        grace_seconds=1.0,
        revocation_seconds=revocation_seconds,
    )
    source = catalog_feed.CatalogSource(
        documents.CONFIGURATION_KIND,
        documents.CONFIGURATION_NAME,
        documents.SERVERS_KIND,
        documents.decode_configuration,
        documents.decode_server,
    )
    proxy = SessionProxy(
        event_loop,
        settings,
        store,
        source,
        wire.LineDialect(),
        PromotionOrders(),
        random.Random(1),
    )
    # A proxy without peers takes itself for partitioned and closes idle sessions.
    proxy.fleet.peers_indicate_partition = lambda _now: False
    thread = threading.Thread(target=event_loop.run, daemon=True)
    thread.start()
    try:
        yield proxy, settings
    finally:
        event_loop.stop()
        thread.join(10.0)

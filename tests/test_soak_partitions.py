"""Tests of the soak's cuts between proxies, and of servers that start behind one."""

import collections
import random
import types
import unittest
from unittest import mock

from cassiahill import clock, errors, http1, loop, transport
from cassiahill.loop import LoopFuture
from tests import adapter_path
from tests.stepped_loop import SteppedLoop

with adapter_path.importable():
    from soak import (
        group_faults,
        groups,
        links,
        membership,
        partitions,
        peer_links,
        promoter_faults,
        proxy_process,
    )

NAMES = [f"proxy-{number}" for number in range(4)]


class LinkPassageTest(unittest.TestCase):
    """A connection to another proxy as ``proxy_process`` opens it."""

    def setUp(self):
        self.loop = loop.EventLoop(clock.SystemClock())
        self.addCleanup(self.loop.close)
        self.requests = []
        server = http1.Server(self.loop, ("127.0.0.1", 0), self.handle_request)
        self.addCleanup(server.close)
        self.peer_links = peer_links.PeerLinks(self.loop)
        self.peer_links.add("proxy-1", [server.address])
        self.peer_links.add("proxy-0", [])
        patched = mock.patch.object(transport, "connect", transport.connect)
        patched.start()
        self.addCleanup(patched.stop)
        [link] = self.peer_links._links_by_name["proxy-1"]
        # Another address than the link's target, to which this process connects too.
        self.proxy_address = ("127.0.0.1", 1)
        proxy_process.pass_through_links({self.proxy_address: link.address}, "proxy-0")

    def handle_request(self, request, _connection):
        self.requests.append(request.path)
        return http1.json_response({})

    def run_task(self, generator):
        """Run a task to its end."""
        task = self.loop.spawn(generator)
        self.loop.when_done(task, lambda _: self.loop.stop())
        self.loop.run()
        task.result()

    def ask(self):
        """Send a request to the other proxy; return whether it is answered; a task."""
        connection = http1.ClientConnection(self.loop, self.proxy_address)
        deadline = self.loop.clock.now() + 0.3
        try:
            yield connection.request("GET", "/x", deadline=deadline)
        except errors.CassiahillError:
            return False
        finally:
            connection.close()
        return True

    def test_request_through_a_link(self):
        """Guards against the caller's name in the stream that the proxy reads."""

        def check():
            self.assertTrue((yield from self.ask()))
            self.assertEqual(self.requests, ["/x"])

        self.run_task(check())

    def test_cut_and_heal(self):
        """Guards against notices that arrive in spite of a cut, or never again."""

        def check():
            cut = self.peer_links.cut({"proxy-0"})
            self.assertFalse((yield from self.ask()))
            self.assertEqual(self.requests, [])
            self.peer_links.heal(cut)
            self.assertTrue((yield from self.ask()))

        self.run_task(check())


class UnreachableConnectionTest(unittest.TestCase):
    def setUp(self):
        self.loop = loop.EventLoop(clock.SystemClock())
        self.addCleanup(self.loop.close)
        self.target_opened = LoopFuture()
        self.target_closed = LoopFuture()
        listener = transport.Listener(self.loop, ("127.0.0.1", 0), self.accept)
        self.addCleanup(listener.close)
        self.link = links.Link(self.loop, listener.address)

    def accept(self, sock):
        transport.Stream(
            self.loop,
            sock,
            lambda _: self.target_opened.set_result(None),
            lambda: self.target_closed.set_result(None),
        )

    def close_behind(self, begin_fault):
        """Close a connection while a fault hides it; return when the target knows.

        A task.
        """
        stream = transport.connect(
            self.loop, self.link.address, lambda _: None, lambda: None
        )
        stream.write(b"STARTUP orders proxy-0 orders-0\r\n")
        yield self.target_opened
        begin_fault()
        stream.close()
        deadline = self.loop.clock.now() + 5.0
        yield self.loop.with_deadline(
            self.target_closed, deadline, AssertionError("the connection stays open")
        )

    def check_target_drops_connection(self, begin_fault):
        with mock.patch.object(links, "UNREACHABLE_CONNECTION_SECONDS", 0.05):
            task = self.loop.spawn(self.close_behind(begin_fault))
            self.loop.when_done(task, lambda _: self.loop.stop())
            self.loop.run()
            task.result()

    def test_silenced_connection(self):
        """Guards against closed connections that use up a server's limit for ever.

        With seeds 2001 and 2005 and group faults a server with 31 and 29 of them
        refused all proxies, and its group got no primary.
        """
        self.check_target_drops_connection(self.link.silence_open_connections)

    def test_connection_behind_a_cut(self):
        """Guards against closed connections that stay open during a long cut."""
        self.check_target_drops_connection(
            lambda: self.link.set_blocked_callers({"proxy-0"})
        )


class PeerLinksTest(unittest.TestCase):
    def setUp(self):
        self.loop = SteppedLoop()
        self.addCleanup(self.loop.close)
        self.peer_links = peer_links.PeerLinks(self.loop)
        for name in NAMES:
            self.peer_links.add(name, [("127.0.0.1", 1)])

    def blocked_callers(self, name):
        [link] = self.peer_links._links_by_name[name]
        return link.blocked_callers

    def test_overlapping_cuts(self):
        """Guards against a cut that ends with another one."""
        first = self.peer_links.cut(NAMES[:2])
        second = self.peer_links.cut(NAMES[:1])
        self.assertEqual(self.blocked_callers(NAMES[0]), set(NAMES[1:]))
        self.assertEqual(self.blocked_callers(NAMES[2]), set(NAMES[:2]))
        self.peer_links.heal(first)
        self.assertEqual(self.blocked_callers(NAMES[2]), set(NAMES[:1]))
        self.assertEqual(self.blocked_callers(NAMES[1]), set(NAMES[:1]))
        self.peer_links.heal(second)
        self.assertEqual(self.blocked_callers(NAMES[0]), set())


class PartitionTestCase(unittest.TestCase):
    def setUp(self):
        self.loop = SteppedLoop()
        self.addCleanup(self.loop.close)
        self.group = groups.Group(self.loop, random.Random(1), "orders", 20, None)
        self.servers = self.group.servers_by_id
        self.run_stub = mock.Mock()
        self.run_stub.loop = self.loop
        self.run_stub.groups = {"orders": self.group}
        self.run_stub.proxies = [
            types.SimpleNamespace(number=number, name=name, send_signal=mock.Mock())
            for number, name in enumerate(NAMES)
        ]
        self.run_stub.peer_links = peer_links.PeerLinks(self.loop)
        for name in NAMES:
            self.run_stub.peer_links.add(name, [("127.0.0.1", 1)])
        self.run_stub.store_links_by_proxy = {
            proxy.number: links.Link(self.loop, ("127.0.0.1", 1))
            for proxy in self.run_stub.proxies
        }
        self.run_stub.links_by_name = {}
        for server in self.servers.values():
            self.add_link(server)
        self.run_stub.add_server_link = self.add_link
        self.run_stub.faults.ended = False
        self.run_stub.faults.counts = collections.Counter()
        self.partitions = partitions.Partitions(self.run_stub, 1)
        self.membership = membership.MembershipFaults(self.run_stub, 1)
        replacements = self.membership.replacements
        replacements.place_started_server = self.partitions.place_started_server
        self.replacements = replacements

    def add_link(self, server):
        self.run_stub.links_by_name[server.server_id] = links.Link(
            self.loop, server.address
        )

    def cut_primary_with_half(self):
        cut = partitions.Cut(set(NAMES[:2]), {"orders-0"}, loses_store=True)
        self.partitions.begin(cut)

    def blocked_callers(self, server_id):
        return self.run_stub.links_by_name[server_id].blocked_callers


class PartitionTest(PartitionTestCase):
    def test_proxies_and_store_behind_a_cut(self):
        """Guards against proxies that a notice reaches although they are cut off."""
        self.cut_primary_with_half()
        self.assertEqual(self.blocked_callers("orders-0"), set(NAMES[2:]))
        self.assertEqual(self.blocked_callers("orders-1"), set(NAMES[:2]))
        [peer_link] = self.run_stub.peer_links._links_by_name[NAMES[3]]
        self.assertEqual(peer_link.blocked_callers, set(NAMES[:2]))
        store_links = self.run_stub.store_links_by_proxy
        self.assertTrue(store_links[0].drops_to_target)
        self.assertFalse(store_links[2].is_faulty())
        self.partitions.end()
        self.assertEqual(self.blocked_callers("orders-0"), set())
        self.assertEqual(peer_link.blocked_callers, set())
        self.assertFalse(store_links[0].is_faulty())

    def test_server_that_starts_behind_the_cut(self):
        """Guards against new servers that proxies of both sides reach.

        They used to be on the primary's side for replication only.
        """
        self.cut_primary_with_half()
        self.replacements.replace_server(
            self.group, self.servers["orders-2"], self.servers["orders-0"]
        )
        new_server = self.servers["orders-n1"]
        self.assertEqual(self.blocked_callers("orders-n1"), set(NAMES[2:]))
        self.assertTrue(new_server.loses_heartbeats)
        self.loop.advance(1.0)
        position = self.group.commit(self.servers["orders-0"], [("item", "data")])
        self.group.replicate()
        self.assertTrue(self.group.is_on_replica(position))
        self.partitions.end()
        self.assertEqual(new_server.side, 0)
        self.assertFalse(new_server.loses_heartbeats)

    def test_server_that_starts_outside_the_cut(self):
        """Guards against new servers that no cut applies to."""
        self.cut_primary_with_half()
        self.replacements.replace_server(self.group, self.servers["orders-2"])
        self.assertEqual(self.servers["orders-n1"].side, 0)
        self.assertEqual(self.blocked_callers("orders-n1"), set(NAMES[:2]))

    def test_proxies_cut_from_one_another(self):
        """Guards against cuts of proxies only that take servers away, too."""
        self.partitions.begin(partitions.Cut(set(NAMES[:2])))
        for server_id in self.servers:
            self.assertEqual(self.blocked_callers(server_id), set())
        [peer_link] = self.run_stub.peer_links._links_by_name[NAMES[0]]
        self.assertEqual(peer_link.blocked_callers, set(NAMES[2:]))


class RandomCutTest(PartitionTestCase):
    def setUp(self):
        super().setUp()
        self.partitions = partitions.Partitions(self.run_stub, 1, only_with_half=True)
        self.partitions.start_beside = mock.Mock()
        self.partitions.find_promoter = lambda: self.run_stub.proxies[0]
        self.counts = self.run_stub.faults.counts

    def test_cut_with_half_of_the_proxies(self):
        """Guards against cuts behind which no server starts or no proxy is left."""
        self.partitions._begin()
        self.loop.advance(partitions.JOIN_DELAY_RANGE_SECONDS[1])
        primary = self.servers["orders-0"]
        self.partitions.start_beside.assert_called_once_with(primary)
        self.assertEqual(primary.side, 1)
        self.assertEqual(len(self.blocked_callers("orders-0")), 2)
        self.assertEqual(self.counts, {"cut_primary_with_half": 1})

    def test_promoter_stays_outside(self):
        """Guards against cuts after which nobody promotes a server outside."""
        with mock.patch.object(partitions, "PROMOTER_OUTSIDE_PROBABILITY", 1.0):
            for _ in range(10):
                names = self.partitions._choose_half_without_promoter()
                self.assertEqual(len(names), 2)
                self.assertNotIn(NAMES[0], names)

    def test_group_without_a_primary(self):
        """Guards against counting cuts that did not take place."""
        self.group.primary_id = None
        self.partitions._begin()
        self.partitions.end()
        self.assertEqual(self.counts, {})


class PromoterIsolationTest(PartitionTestCase):
    def test_former_promoter_without_the_store(self):
        """Guards against a former promoter that learns at once that it was replaced."""
        faults = promoter_faults.PromoterFaults(self.run_stub, 1)
        faults._isolate_then_lose_store(self.run_stub.proxies[0])
        store_link = self.run_stub.store_links_by_proxy[0]
        [peer_link] = self.run_stub.peer_links._links_by_name[NAMES[0]]
        self.assertEqual(peer_link.blocked_callers, set(NAMES[1:]))
        self.loop.advance(promoter_faults.ISOLATION_RANGE_SECONDS[1])
        self.assertEqual(peer_link.blocked_callers, set())
        self.assertTrue(store_link.drops_to_target)
        self.loop.advance(promoter_faults.DURATION_RANGE_SECONDS[1])
        self.assertFalse(store_link.is_faulty())


class RestartTest(PartitionTestCase):
    def test_restart_of_a_paused_replica(self):
        """Guards against restarts that last longer than the promotion they are for."""
        self.servers["orders-2"].paused_term = 2
        self.membership._restart_paused_replica(self.group)
        self.assertTrue(self.servers["orders-2"].crashed)
        self.loop.advance(membership.RESTART_RANGE_SECONDS[1])
        self.assertTrue(self.servers["orders-2"].is_running())
        self.assertEqual(self.servers["orders-2"].paused_term, 0)


class EndOfReplacementsTest(PartitionTestCase):
    def setUp(self):
        super().setUp()
        self.faults = group_faults.GroupFaults(self.run_stub, 1)

    def test_departure_after_the_faults(self):
        """Guards against a recovery that is checked before the last primary has left.

        With seed 2005 a primary and a replica left 11 s before the check, and the
        promoter waited 10 s for the replica.
        """
        self.servers["orders-0"].draining = True
        task = self.loop.spawn(self.faults.await_replacements())
        self.loop.advance(5.0)
        self.assertFalse(task.done())
        self.group.remove_server("orders-0")
        self.loop.advance(group_faults.POLL_SECONDS)
        self.assertTrue(task.done())

    def test_departure_that_never_ends(self):
        """Guards against a run without an end while a group has no primary."""
        self.servers["orders-0"].draining = True
        task = self.loop.spawn(self.faults.await_replacements())
        self.loop.advance(
            group_faults.MAX_REPLACEMENT_SECONDS + group_faults.POLL_SECONDS
        )
        self.assertTrue(task.done())


if __name__ == "__main__":
    unittest.main()

"""Tests of ``cassiahill.fair_queueing`` and of the queue's order by it."""

import math
import unittest

from cassiahill import fair_queueing
from cassiahill.placement import OnPrimary
from cassiahill.request_queue import QueuedRequest, RequestQueue
from cassiahill.tenants import Tenant, TenantDirectory


def directory(**rates):
    """Return a directory of tenants with these rates."""
    return TenantDirectory.from_tenants(
        Tenant(name, frozenset(), rate) for name, rate in rates.items()
    )


def request(tenant, number=0, priority=1, arrived_at=0.0, target_at=math.inf):
    """Return a queued request of a tenant."""
    return QueuedRequest(
        f"{tenant}-{number}",
        priority,
        arrived_at,
        arrived_at + 1.0,
        OnPrimary,
        target_at=target_at,
        tenant=tenant,
    )


def queue_with(**rates):
    """Return a queue with the weights of tenants with these rates."""
    queue = RequestQueue()
    queue.weights_by_tenant = fair_queueing.weights(directory(**rates))
    return queue


def serve(queue, count):
    """Serve requests from a queue; return their tenants in order."""
    served = list(queue)[:count]
    for queued in served:
        queue.take(queued)
    return [queued.tenant for queued in served]


class WeightsTest(unittest.TestCase):
    def test_small_tenants_have_the_mean_weight(self):
        """Guards against a small tenant's second request that waits for 1 / rate."""
        weights = fair_queueing.weights(directory(large=30.0, small=0.1, other=0.5))
        self.assertEqual(weights["large"], 30.0)
        self.assertEqual(weights["small"], weights["other"])
        self.assertAlmostEqual(weights["small"], 30.6 / 3)

    def test_tenants_without_a_limit(self):
        """Guards against an infinite weight, whose requests would never wait."""
        weights = fair_queueing.weights(directory(a=10.0, b=math.inf))
        self.assertEqual(weights, {"a": 10.0, "b": 10.0})
        self.assertEqual(fair_queueing.weights(directory(b=math.inf)), {"b": 1.0})


class FairOrderTest(unittest.TestCase):
    def test_flood_waits_behind_its_own_requests(self):
        """Guards against a tenant whose burst costs the others their place."""
        queue = queue_with(flood=10.0, quiet=10.0)
        for number in range(50):
            queue.add(request("flood", number))
        queue.add(request("quiet"))
        self.assertIn("quiet", serve(queue, 2))

    def test_service_follows_the_weights(self):
        """Guards against a large tenant that gets no more than a small one."""
        queue = RequestQueue()
        queue.weights_by_tenant = {"large": 30.0, "small": 10.0}
        for number in range(40):
            queue.add(request("small", number))
            queue.add(request("large", number))
        served = serve(queue, 40)
        self.assertAlmostEqual(served.count("large"), 30, delta=1)

    def test_idle_tenant_saves_no_service(self):
        """Guards against a tenant that comes back and keeps all others waiting."""
        queue = queue_with(busy=10.0, back=10.0)
        for number in range(100):
            queue.add(request("busy", number))
        serve(queue, 80)
        for number in range(20):
            queue.add(request("back", number))
        self.assertAlmostEqual(serve(queue, 20).count("busy"), 10, delta=1)

    def test_refused_requests_are_not_charged(self):
        """Guards against a tenant that is last long after its flood was refused."""
        queue = queue_with(flood=10.0, quiet=10.0)
        for number in range(100):
            queue.add(request("flood", number))
        for queued in list(queue):
            queue.remove(queued)
        for number in range(4):
            queue.add(request("quiet", number))
            queue.add(request("flood", 100 + number))
        self.assertEqual(serve(queue, 4).count("flood"), 2)

    def test_retry_keeps_its_place(self):
        """Guards against a request that goes to the end after a failed attempt."""
        queue = queue_with(a=10.0, b=10.0)
        first = request("a", 0)
        queue.add(first)
        queue.add(request("a", 1))
        serve(queue, 1)
        queue.add(first)
        self.assertIs(next(iter(queue)), first)

    def test_priority_and_target_come_first(self):
        """Guards against a fair order that overrides the ranks of routes."""
        queue = queue_with(a=10.0, b=10.0)
        queue.add(request("a", 0, priority=2))
        queue.add(request("b", 1, target_at=0.5))
        queue.add(request("b", 2))
        queue.add(request("a", 3, priority=0))
        queue.mark_late(0.6)
        self.assertEqual(
            [queued.request_id for queued in queue], ["a-3", "b-2", "b-1", "a-0"]
        )

    def test_order_without_tenants_is_that_of_arrival(self):
        """Guards against a change of order in a deployment without tenants."""
        queue = RequestQueue()
        for number in range(30):
            queue.add(request(None, number))
        self.assertEqual(
            [queued.request_id for queued in queue],
            [f"None-{number}" for number in range(30)],
        )

    def test_idle_tenants_are_forgotten(self):
        """Guards against tags that pile up for tenants that came once."""
        order = fair_queueing.FairOrder()
        for number in range(5000):
            order.record_served(order.start_tag(f"tenant-{number}", 1.0) + 1.0)
        self.assertLessEqual(
            len(order._finish_tags_by_tenant), fair_queueing.MIN_TENANTS_TO_FORGET
        )


class RoomByTenantTest(unittest.TestCase):
    def test_flood_does_not_refuse_other_tenants(self):
        """Guards against refusals of a tenant because another one waits for long."""
        queue = queue_with(flood=10.0, quiet=10.0)
        queue.add(request("flood", 0, target_at=0.2))
        arriving = request("flood", 1, arrived_at=0.19)
        self.assertFalse(queue.has_room_for(arriving, 0.19))
        self.assertTrue(queue.has_room_for(request("quiet", arrived_at=0.19), 0.19))

    def test_starved_tenant_does_not_refuse_others(self):
        """Guards against refusals of all tenants after one waited in vain."""
        queue = queue_with(flood=10.0, quiet=10.0)
        queue.record_starved(request("flood"))
        for tenant in ("flood", "quiet"):
            queue.add(request(tenant, 1, arrived_at=1.0))
        self.assertFalse(queue.has_room_for(request("flood", 2), 1.0))
        self.assertTrue(queue.has_room_for(request("quiet", 2), 1.0))


if __name__ == "__main__":
    unittest.main()

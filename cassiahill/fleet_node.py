"""Connects the gossip among proxies with the gateway and the failover driver."""

import msgspec

from cassiahill import (
    errors,
    failover,
    forwarding,
    gossip,
    server_ownership,
    suspicion,
    swim,
)

OBSERVATION_TIMEOUT = 0.5


class FleetNode:
    """The part of one process in the fleet.

    Parameters
    ----------
    loop : loop.EventLoop
    proxy_settings : settings.ProxySettings
    topology : topology.Topology
    gateway : gateway.Gateway
    rng : random.Random
    claim : callable
        Claims a term of a group in the platform; see ``failover.FailoverDriver``.
    on_change : callable
        Takes a ``failover.PrimaryChange`` of a promotion made here.
    ssl_context : ssl.SSLContext or None
        For links to other proxies.
    """

    def __init__(
        self,
        loop,
        proxy_settings,
        topology,
        gateway,
        rng,
        claim,
        on_change,
        ssl_context=None,
    ):
        self._loop = loop
        self._own_name = proxy_settings.name
        self._own_domain = proxy_settings.failure_domain
        self._topology = topology
        self._gateway = gateway
        self._rng = rng
        self._claim = claim
        self._on_change = on_change
        self._driver = None
        self.gossip = gossip.Gossip(
            loop,
            swim.Member(
                proxy_settings.name,
                tuple(proxy_settings.peer_address),
                proxy_settings.failure_domain,
            ),
            proxy_settings.seeds,
            proxy_settings.fleet_secret,
            rng,
            ssl_context=ssl_context,
        )
        self.gossip.on_membership = lambda _member: self._update_members()
        self.restart_failover()
        self._update_members()

    def restart_failover(self):
        """Start the failover driver anew, after a change of the groups."""
        if self._driver is not None:
            self._driver.close()
        self._driver = failover.FailoverDriver(
            self._loop,
            self._topology.groups_by_name,
            self._topology.backends_by_server,
            self._topology.views_by_group,
            self._own_name,
            self._own_domain,
            self._rng,
            self._claim,
            self._send_observation,
            self._on_change,
        )
        self._driver.set_live_proxies(self.domains_by_proxy())

    def domains_by_proxy(self):
        """Return the failure domains of the live proxies, this one included."""
        domains = {
            member.name: member.failure_domain
            for member in self.gossip.members().values()
            if member.state in (swim.LIVE, swim.SUSPECTED)
        }
        return {**domains, self._own_name: self._own_domain}

    def approve(self, group):
        """Let a promotion go on that waits for an operator."""
        self._driver.approve(group)

    def leave(self):
        """Announce that this process leaves."""
        self.gossip.leave()

    def handle_peer(self, sender, kind, payload):
        """Return the future of the answer to another proxy's call."""
        if kind.startswith(gossip.KIND_PREFIX):
            return self.gossip.handle(sender, kind, payload)
        if kind == forwarding.OBSERVATION:
            call = forwarding.decode(payload, forwarding.ObservationCall)
            if call.observer != sender:
                raise errors.PeerRejected("an observation of another proxy")
            self._driver.record_observation(
                suspicion.Observation(
                    call.group,
                    call.term,
                    call.primary,
                    sender,
                    call.unreachable_seconds,
                )
            )
            return forwarding.EMPTY_ANSWER
        return self._gateway.handle_peer(sender, kind, payload)

    def dump(self):
        """Return the state as plain values."""
        return {"gossip": self.gossip.dump(), "failover": self._driver.dump()}

    def close(self):
        """Stop taking part."""
        self._driver.close()
        self.gossip.close()

    def _update_members(self):
        members = self.gossip.members()
        self._gateway.update_members(
            [
                server_ownership.OwnerCandidate(
                    member.name,
                    member.failure_domain,
                    leaving=member.state == swim.LEAVING,
                )
                for member in members.values()
                if member.state != swim.DEAD
            ],
            {
                member.name: tuple(member.peer_address)
                for member in members.values()
                if member.name != self._own_name
            },
        )
        self._driver.set_live_proxies(self.domains_by_proxy())

    def _send_observation(self, observation):
        """Send what was seen to the other observers of the group only."""
        call = forwarding.ObservationCall(
            observation.group,
            observation.term,
            observation.primary,
            observation.observer,
            observation.unreachable_seconds,
        )
        payload = msgspec.msgpack.encode(call)
        observers = suspicion.choose_observers(
            observation.group, self.domains_by_proxy()
        )
        for name in observers:
            if name != self._own_name:
                self._gateway.notify(
                    name, forwarding.OBSERVATION, payload, OBSERVATION_TIMEOUT
                )

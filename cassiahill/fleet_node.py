"""Runs this process's gossip and failover driver and connects them to the gateway."""

import msgspec

from cassiahill import (
    errors,
    failover,
    gossip,
    peer_messages,
    server_ownership,
    suspicion,
    swim,
)

OBSERVATION_TIMEOUT_SECONDS = 0.5


class FleetNode:
    """Gossip and failover driver of this process.

    Parameters
    ----------
    loop : loop.EventLoop
    proxy_settings : settings.ProxySettings
    topology : topology.Topology
    gateway : gateway.Gateway
    rng : random.Random
    claim_term : callable
        Claims a term of a group at the platform; see ``failover.FailoverDriver``.
    on_primary_change : callable
        Takes each ``failover.PrimaryChange`` of a promotion by this process.
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
        claim_term,
        on_primary_change,
        ssl_context=None,
    ):
        self._loop = loop
        self._own_name = proxy_settings.name
        self._own_domain = proxy_settings.failure_domain
        self._topology = topology
        self._gateway = gateway
        self._rng = rng
        self._claim_term = claim_term
        self._on_primary_change = on_primary_change
        self._failover_driver = None
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
        self.gossip.on_member_changed = lambda _member: self._update_members()
        self.restart_failover()
        self._update_members()

    def restart_failover(self):
        """Replace the failover driver after a change of the configured groups."""
        if self._failover_driver is not None:
            self._failover_driver.close()
        self._failover_driver = failover.FailoverDriver(
            self._loop,
            self._topology.groups_by_name,
            self._topology.backends_by_server,
            self._topology.views_by_group,
            self._own_name,
            self._own_domain,
            self._rng,
            self._claim_term,
            self._send_observation,
            self._on_primary_change,
        )
        self._failover_driver.set_live_proxies(self.domains_by_proxy())

    def domains_by_proxy(self):
        """Return the failure domains of the live and suspected proxies by name.

        This process is included in any case.
        """
        domains = {
            member.name: member.failure_domain
            for member in self.gossip.members().values()
            if member.state in (swim.LIVE, swim.SUSPECTED)
        }
        return {**domains, self._own_name: self._own_domain}

    def approve(self, group):
        """Approve a group's promotion that waits for an operator."""
        self._failover_driver.approve(group)

    def leave(self):
        """Announce to the other proxies that this process leaves."""
        self.gossip.leave()

    def handle_peer_call(self, sender, kind, payload):
        """Handle another proxy's call; return the future of its answer."""
        if kind.startswith(gossip.KIND_PREFIX):
            return self.gossip.handle_request(sender, kind, payload)
        if kind == peer_messages.OBSERVATION:
            call = peer_messages.decode(payload, peer_messages.ObservationCall)
            if call.observer != sender:
                raise errors.PeerRejected("an observation of another proxy")
            self._failover_driver.record_observation(
                suspicion.Observation(
                    call.group,
                    call.term,
                    call.primary,
                    sender,
                    call.unreachable_seconds,
                )
            )
            return peer_messages.EMPTY_ANSWER_FUTURE
        return self._gateway.handle_peer_call(sender, kind, payload)

    def dump(self):
        """Return the state of gossip and failover for operators, as plain values."""
        return {"gossip": self.gossip.dump(), "failover": self._failover_driver.dump()}

    def close(self):
        """Stop gossip and failover."""
        self._failover_driver.close()
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
        self._failover_driver.set_live_proxies(self.domains_by_proxy())

    def _send_observation(self, observation):
        """Send an observation to the other observers of its group."""
        call = peer_messages.ObservationCall(
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
                    name,
                    peer_messages.OBSERVATION,
                    payload,
                    OBSERVATION_TIMEOUT_SECONDS,
                )

"""Runs statements at backend servers: at the own ones, else through their owners."""

import collections

import attrs

from cassiahill import (
    errors,
    owned_servers,
    owner_service,
    peer_messages,
    server_ownership,
)

TICK = 0.1  # seconds between two looks at the ownership
PING_INTERVAL = 0.25  # seconds between two probes of an unreachable owner
PING_TIMEOUT = 0.3
DRAIN_TIMEOUT = 5.0  # seconds for the queue of a server that another proxy will own
FORWARD_GRACE = 0.05  # seconds for the way back of an answer


class WaitingWork:
    """Waiting work by backend server, read when it is asked for."""

    def __init__(self, owned_by_server):
        self._owned_by_server = owned_by_server

    def get(self, server, default=0):
        """Return how much work waits; the default for servers not owned here."""
        owned_server = self._owned_by_server[server]
        return owned_server.waiting if owned_server.state == "owned" else default


class Gateway:
    """Sends work to the owner of each backend server.

    Parameters
    ----------
    loop : loop.EventLoop
    own : server_ownership.OwnerCandidate
        This proxy.
    topology : topology.Topology
    make_policy : callable
        Takes ``settings.ServerSettings``, returns an admission policy.
    make_client : callable
        Takes a peer address, returns a ``peer_calls.PeerClient``.
    rng : random.Random
    """

    def __init__(
        self,
        loop,
        own,
        topology,
        make_policy,
        make_client,
        rng,
    ):
        self.counts = collections.Counter()
        self._loop = loop
        self._own = own
        self._topology = topology
        self._make_policy = make_policy
        self._make_client = make_client
        self._rng = rng
        self._owned_by_server = {}
        self._backends_by_server = {}
        self.waiting_by_server = WaitingWork(self._owned_by_server)
        self._candidates_by_name = {own.name: own}
        self._addresses_by_name = {}
        self._clients_by_name = {}
        self._ping_at_by_name = {}
        self._owner_by_server = {}
        self._refused_until_by_rank = {}
        self._claims = server_ownership.ClaimLimiter(own.name, loop.clock.now())
        self.hosting = owner_service.Hosting(
            loop, own.name, topology, self._own_server, self.counts
        )
        self._closed = False
        self.update_servers()
        loop.call_soon(self._tick)

    # Configuration, membership and ownership

    def update_servers(self):
        """Take over the backend servers of the topology after a change."""
        for name, backend_of_server in list(self._backends_by_server.items()):
            if self._topology.backends_by_server.get(name) is not backend_of_server:
                self._owned_by_server.pop(name).close()
                del self._backends_by_server[name]
                self._owner_by_server.pop(name, None)
        for name, server in self._topology.servers_by_name.items():
            if name not in self._owned_by_server:
                adapter = self._topology.backends_by_server[name]
                self._backends_by_server[name] = adapter
                self._owned_by_server[name] = owned_servers.OwnedServer(
                    self._loop,
                    adapter,
                    server,
                    self._own.name,
                    self._make_policy(server),
                    self._rng,
                )
        self._refresh()

    def update_members(self, candidates, addresses_by_name):
        """Take over the live proxies and the addresses of their peer ports."""
        self._candidates_by_name = {c.name: c for c in candidates}
        self._candidates_by_name.setdefault(self._own.name, self._own)
        for name, address in addresses_by_name.items():
            if self._addresses_by_name.get(name) not in (None, address):
                self._drop_client(name)
        self._addresses_by_name = dict(addresses_by_name)
        for name in list(self._ping_at_by_name):
            if name not in self._candidates_by_name:
                del self._ping_at_by_name[name]
        self._refresh()

    def leave(self):
        """Stop being a candidate; owned servers are drained by the ticks."""
        self._own = attrs.evolve(self._own, leaving=True)
        self._candidates_by_name[self._own.name] = self._own
        self._refresh()

    def _refresh(self):
        reachable = [
            candidate
            for name, candidate in self._candidates_by_name.items()
            if name not in self._ping_at_by_name
        ]
        self._claims.observe_view(reachable, self._loop.clock.now())
        for name, server in self._topology.servers_by_name.items():
            self._owner_by_server[name] = server_ownership.server_owner(
                name, server.failure_domain, reachable
            )

    def _tick(self):
        if self._closed:
            return
        now = self._loop.clock.now()
        for name, owned_server in self._owned_by_server.items():
            mine = self._owner_by_server[name] == self._own.name
            if mine and owned_server.state in ("released", "lost"):
                self._claim(name, owned_server, now)
            elif not mine and owned_server.state == "owned":
                self._loop.spawn(self._give_up(owned_server, now))
        for name, ping_at in list(self._ping_at_by_name.items()):
            if now >= ping_at:
                self._loop.spawn(self._ping(name))
        self._loop.call_at(now + TICK, self._tick)

    def _claim(self, name, owned_server, now):
        group = self._topology.servers_by_name[name].group
        monitor = self._topology.monitors_by_group[group]
        status = monitor.view.status_by_server.get(name)
        if status is None:
            return
        claim = self._claims.claim(name, max(status.epoch, owned_server.epoch), now)
        if claim is not None:
            self.counts["claims"] += 1
            owned_server.claim(claim.epoch - 1).add_done_callback(_ignore)

    def _give_up(self, owned_server, now):
        yield owned_server.drain(now + DRAIN_TIMEOUT)
        owned_server.release()

    def _ping(self, name):
        self._ping_at_by_name[name] = self._loop.clock.now() + PING_INTERVAL
        if (yield from self._answers(name)):
            self._ping_at_by_name.pop(name, None)
            self._refresh()

    def _answers(self, name):
        """Return whether another proxy answers a ping; True when it is not known."""
        client = self._client(name)
        if client is None:
            return True
        deadline = self._loop.clock.now() + PING_TIMEOUT
        try:
            yield client.call(peer_messages.PING, b"", deadline)
        except errors.CassiahillError:
            return False
        return True

    def _suspect(self, name):
        """Leave out a proxy that cannot be reached until it answers a ping."""
        if name in self._candidates_by_name and name not in self._ping_at_by_name:
            self.counts["owners_suspected"] += 1
            self._ping_at_by_name[name] = self._loop.clock.now() + PING_INTERVAL
            self._refresh()

    def _client(self, name):
        client = self._clients_by_name.get(name)
        if client is None and name in self._addresses_by_name:
            client = self._clients_by_name[name] = self._make_client(
                self._addresses_by_name[name]
            )
        return client

    def notify(self, name, kind, payload, timeout):
        """Send a call to a proxy without waiting for its answer."""
        client = self._client(name)
        if client is not None:
            deadline = self._loop.clock.now() + timeout
            client.call(kind, payload, deadline).add_done_callback(_ignore)

    def _drop_client(self, name):
        client = self._clients_by_name.pop(name, None)
        if client is not None:
            client.close()

    # Calls of the entry proxy; generators for ``yield from``

    def submit(self, server, request_context, batch, confirm):
        """Run a batch at a backend server.

        With ``confirm``, the result is returned once a majority of the group has the
        log up to the result's position.
        """
        if self._owner_by_server[server] == self._own.name:
            return (
                yield from self.hosting.submit(server, request_context, batch, confirm)
            )
        call = peer_messages.SubmitCall(
            server,
            int(request_context.rank),
            request_context.caller,
            self._left(request_context.deadline),
            batch.term,
            batch.read_only,
            confirm,
            peer_messages.plain_statements(batch.statements),
        )
        self._refuse_early(server, request_context.rank)
        try:
            payload = yield from self._forward(
                self._owner_by_server[server],
                peer_messages.SUBMIT,
                call,
                request_context.deadline,
            )
        except errors.Overloaded as error:
            refused_until = self._loop.clock.now() + (error.retry_after or 0.0)
            self._refused_until_by_rank[server, request_context.rank] = refused_until
            raise
        return peer_messages.decode_result(payload)

    def begin(self, server, request_context, term):
        """Open a transaction; return ``(owner, transaction id)``."""
        owner = self._owner_by_server[server]
        if owner == self._own.name:
            return owner, (yield from self.hosting.begin(server, request_context, term))
        call = peer_messages.BeginCall(
            server,
            int(request_context.rank),
            request_context.caller,
            self._left(request_context.deadline),
            term,
        )
        payload = yield from self._forward(
            owner, peer_messages.BEGIN, call, request_context.deadline
        )
        return owner, peer_messages.decode(
            payload, peer_messages.BeginResult
        ).transaction

    def execute(self, owner, transaction, statements, deadline):
        """Run statements of a transaction at its owner."""
        if owner == self._own.name:
            return (yield from self.hosting.execute(transaction, statements, deadline))
        call = peer_messages.ExecuteCall(
            transaction,
            self._left(deadline),
            peer_messages.plain_statements(statements),
        )
        payload = yield from self._forward(owner, peer_messages.EXECUTE, call, deadline)
        return peer_messages.decode_result(payload)

    def end(self, owner, transaction, commit, deadline):
        """Commit or roll back a transaction at its owner."""
        if owner == self._own.name:
            return (yield from self.hosting.end(transaction, commit, deadline))
        call = peer_messages.EndCall(transaction, self._left(deadline), commit)
        payload = yield from self._forward(owner, peer_messages.END, call, deadline)
        return peer_messages.decode_result(payload)

    def _refuse_early(self, server, rank):
        """Refuse what the owner would refuse, so that a flood costs no hop."""
        left = self._refused_until_by_rank.get((server, rank), 0.0)
        left -= self._loop.clock.now()
        if left > 0:
            self.counts["refused_early"] += 1
            raise errors.Overloaded("refused by the owner just now", retry_after=left)

    def _left(self, deadline):
        left = deadline - self._loop.clock.now()
        if left <= 0:
            raise errors.DeadlinePassed("the deadline passed before the call")
        return left

    def _forward(self, owner, kind, call, deadline):
        client = None if owner is None else self._client(owner)
        if client is None:
            raise errors.BackendUnavailable("no owner of the backend server is known")
        self.counts["forwarded"] += 1
        try:
            return (
                yield client.call(
                    kind, peer_messages.encode(call), deadline + FORWARD_GRACE
                )
            )
        except errors.BackendUnavailable as error:
            if not client.connected:
                self._suspect(owner)
            raise error
        except errors.ConnectionLost:
            self._suspect(owner)
            raise
        except errors.OutcomeUnknown:
            self._loop.spawn(self._check_owner(owner))
            raise

    def _own_server(self, server):
        owned_server = self._owned_by_server.get(server)
        if owned_server is None or owned_server.state not in ("owned", "draining"):
            owner = self._owner_by_server.get(server)
            if owner not in (None, self._own.name):
                # An entry proxy may have seen the owner fail; see for ourselves.
                self._loop.spawn(self._check_owner(owner))
            raise errors.NotOwner(f"{self._own.name} does not own {server}")
        return owned_server

    def _check_owner(self, name):
        if not (yield from self._answers(name)):
            self._suspect(name)

    def handle_peer_call(self, _sender, kind, payload):
        """Return the future of the answer to another proxy's call."""
        return self._loop.spawn(self.hosting.handle_peer_call(kind, payload))

    # Operators

    def owns(self, server):
        """Return whether this process owns a backend server now."""
        owned_server = self._owned_by_server.get(server)
        return owned_server is not None and owned_server.state == "owned"

    def server_owner(self, server):
        """Return the proxy that owns a backend server, as known here, or None."""
        return self._owner_by_server[server]

    def dump(self):
        """Return the state as plain values."""
        return {
            "owners": dict(self._owner_by_server),
            "unreachable": sorted(self._ping_at_by_name),
            "owned": {
                name: owned_server.dump()
                for name, owned_server in self._owned_by_server.items()
                if owned_server.state != "released"
            },
            "transactions": self.hosting.count,
            "counts": dict(self.counts),
        }

    def busy(self):
        """Return whether an owned server still has work."""
        return any(
            s.state in ("owned", "draining") for s in self._owned_by_server.values()
        )

    def close(self):
        """Release all servers and links."""
        self._closed = True
        for owned_server in self._owned_by_server.values():
            owned_server.close()
        for client in self._clients_by_name.values():
            client.close()


def _ignore(future):
    """Read the error of a call that is repeated while it is needed."""
    future.exception()

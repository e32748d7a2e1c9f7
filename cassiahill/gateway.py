"""Runs requests at backend servers, through the proxies that own the servers."""

import collections

import attrs

from cassiahill import (
    errors,
    owned_servers,
    owner_service,
    peer_messages,
    server_ownership,
)

OWNERSHIP_CHECK_INTERVAL_SECONDS = 0.1
PING_INTERVAL_SECONDS = 0.25  # Time between two pings of an unreachable proxy.
PING_TIMEOUT_SECONDS = 0.3
# Time for the accepted requests at a server that another proxy will own to end.
DRAIN_TIMEOUT_SECONDS = 5.0
# Time after a request's deadline for the owner's last answer to arrive.
FORWARD_GRACE_SECONDS = 0.05


class UnfinishedRequestCounts:
    """Number of unfinished requests by backend server, computed when it is read.

    Parameters
    ----------
    owned_servers_by_name : dict of str to owned_servers.OwnedServer
    """

    def __init__(self, owned_servers_by_name):
        self._owned_servers_by_name = owned_servers_by_name

    def get(self, server, default=0):
        """Return a server's number of requests; ``default`` if it is not owned here."""
        owned_server = self._owned_servers_by_name[server]
        return (
            owned_server.unfinished_request_count
            if owned_server.state == "owned"
            else default
        )


class Gateway:
    """Sends each request to the proxy that owns its backend server.

    A request for a server that this proxy owns is served in this process.

    Parameters
    ----------
    loop : loop.EventLoop
    own_candidate : server_ownership.OwnerCandidate
        This proxy.
    topology : topology.Topology
    make_admission_policy : callable
        Takes ``settings.ServerSettings``, returns an admission policy.
    make_peer_client : callable
        Takes a peer address, returns a ``peer_calls.PeerClient``.
    rng : random.Random
    """

    def __init__(
        self,
        loop,
        own_candidate,
        topology,
        make_admission_policy,
        make_peer_client,
        rng,
    ):
        self.counts = collections.Counter()
        self._loop = loop
        self._own_candidate = own_candidate
        self._topology = topology
        self._make_admission_policy = make_admission_policy
        self._make_peer_client = make_peer_client
        self._rng = rng
        self._owned_servers_by_name = {}
        self._backends_by_server = {}
        self.unfinished_requests_by_server = UnfinishedRequestCounts(
            self._owned_servers_by_name
        )
        self._candidates_by_proxy = {own_candidate.name: own_candidate}
        self._addresses_by_proxy = {}
        self._clients_by_proxy = {}
        self._next_ping_at_by_unreachable_proxy = {}
        self._owners_by_server = {}
        self._refused_until_by_server_and_rank = {}
        self._claim_limiter = server_ownership.ClaimLimiter(
            own_candidate.name, loop.clock.now()
        )
        self._owner_service = owner_service.OwnerService(
            loop, own_candidate.name, topology, self._owned_server, self.counts
        )
        self.update_servers()
        self._ownership_timer = loop.repeat(loop.clock.now(), self._check_ownership)

    # Configuration, membership and ownership

    def update_servers(self):
        """Add and remove backend servers after a change of the topology."""
        for server, previous_backend in list(self._backends_by_server.items()):
            if self._topology.backends_by_server.get(server) is not previous_backend:
                self._owned_servers_by_name.pop(server).close()
                del self._backends_by_server[server]
                self._owners_by_server.pop(server, None)
        for server, server_settings in self._topology.servers_by_name.items():
            if server not in self._owned_servers_by_name:
                server_backend = self._topology.backends_by_server[server]
                self._backends_by_server[server] = server_backend
                self._owned_servers_by_name[server] = owned_servers.OwnedServer(
                    self._loop,
                    server_backend,
                    server_settings,
                    self._own_candidate.name,
                    self._make_admission_policy(server_settings),
                    self._rng,
                )
        self._update_owners()

    def update_members(self, candidates, addresses_by_proxy):
        """Replace the set of live proxies and the addresses of their peer ports.

        Parameters
        ----------
        candidates : iterable of server_ownership.OwnerCandidate
        addresses_by_proxy : dict of str to tuple
            Peer addresses of the other proxies.
        """
        self._candidates_by_proxy = {
            candidate.name: candidate for candidate in candidates
        }
        self._candidates_by_proxy.setdefault(
            self._own_candidate.name, self._own_candidate
        )
        for proxy, address in addresses_by_proxy.items():
            if self._addresses_by_proxy.get(proxy) not in (None, address):
                self._close_client(proxy)
        self._addresses_by_proxy = dict(addresses_by_proxy)
        for proxy in list(self._next_ping_at_by_unreachable_proxy):
            if proxy not in self._candidates_by_proxy:
                del self._next_ping_at_by_unreachable_proxy[proxy]
        self._update_owners()

    def stop_owning_servers(self):
        """Withdraw as an owner; the ownership checks drain the owned servers."""
        self._own_candidate = attrs.evolve(self._own_candidate, leaving=True)
        self._candidates_by_proxy[self._own_candidate.name] = self._own_candidate
        self._update_owners()

    def _update_owners(self):
        """Compute the owner of each backend server from the reachable proxies."""
        reachable_candidates = [
            candidate
            for proxy, candidate in self._candidates_by_proxy.items()
            if proxy not in self._next_ping_at_by_unreachable_proxy
        ]
        self._claim_limiter.observe_view(reachable_candidates, self._loop.clock.now())
        for server, server_settings in self._topology.servers_by_name.items():
            self._owners_by_server[server] = server_ownership.server_owner(
                server, server_settings.failure_domain, reachable_candidates
            )

    def _check_ownership(self):
        """Claim and release servers as their owners change, and ping proxies."""
        now = self._loop.clock.now()
        for server, owned_server in self._owned_servers_by_name.items():
            owned_here = self._owners_by_server[server] == self._own_candidate.name
            if owned_here and owned_server.state in ("released", "lost"):
                self._claim_server(server, owned_server, now)
            elif not owned_here and owned_server.state == "owned":
                self._loop.spawn(self._drain_and_release(owned_server, now))
        for proxy, next_ping_at in list(
            self._next_ping_at_by_unreachable_proxy.items()
        ):
            if now >= next_ping_at:
                self._loop.spawn(self._ping_unreachable(proxy))
        return now + OWNERSHIP_CHECK_INTERVAL_SECONDS

    def _claim_server(self, server, owned_server, now):
        """Claim a server once its epoch is known and the claim limiter allows it."""
        group = self._topology.servers_by_name[server].group
        monitor = self._topology.monitors_by_group[group]
        status = monitor.view.status_by_server.get(server)
        if status is None:
            return
        claim = self._claim_limiter.claim(
            server, max(status.epoch, owned_server.epoch), now
        )
        if claim is not None:
            self.counts["claims"] += 1
            owned_server.claim(claim.epoch - 1).add_done_callback(_ignore_error)

    def _drain_and_release(self, owned_server, now):
        """Let the accepted requests end, then give up the ownership."""
        yield owned_server.drain(now + DRAIN_TIMEOUT_SECONDS)
        owned_server.release()

    def _ping_unreachable(self, proxy):
        """Ping an unreachable proxy; make it a candidate again when it answers."""
        self._next_ping_at_by_unreachable_proxy[proxy] = (
            self._loop.clock.now() + PING_INTERVAL_SECONDS
        )
        if (yield from self._answers_ping(proxy)):
            self._next_ping_at_by_unreachable_proxy.pop(proxy, None)
            self._update_owners()

    def _answers_ping(self, proxy):
        """Return whether another proxy answers a ping; True when it is not known."""
        client = self._client_for_proxy(proxy)
        if client is None:
            return True
        deadline = self._loop.clock.now() + PING_TIMEOUT_SECONDS
        try:
            yield client.call(peer_messages.PING, b"", deadline)
        except errors.CassiahillError:
            return False
        return True

    def _mark_unreachable(self, proxy):
        """Exclude a proxy from owning servers until it answers a ping."""
        if (
            proxy in self._candidates_by_proxy
            and proxy not in self._next_ping_at_by_unreachable_proxy
        ):
            self.counts["owners_suspected"] += 1
            self._next_ping_at_by_unreachable_proxy[proxy] = (
                self._loop.clock.now() + PING_INTERVAL_SECONDS
            )
            self._update_owners()

    def _client_for_proxy(self, proxy):
        """Return the client of another proxy, or None when its address is unknown."""
        client = self._clients_by_proxy.get(proxy)
        if client is None and proxy in self._addresses_by_proxy:
            client = self._clients_by_proxy[proxy] = self._make_peer_client(
                self._addresses_by_proxy[proxy]
            )
        return client

    def notify(self, proxy, kind, payload, timeout_seconds):
        """Send a call to a proxy without waiting for its answer."""
        client = self._client_for_proxy(proxy)
        if client is not None:
            deadline = self._loop.clock.now() + timeout_seconds
            client.call(kind, payload, deadline).add_done_callback(_ignore_error)

    def _close_client(self, proxy):
        client = self._clients_by_proxy.pop(proxy, None)
        if client is not None:
            client.close()

    # Requests of this proxy's callers. The methods are generators for ``yield from``.

    def submit(self, server, request_context, batch, wait_for_majority):
        """Run a batch at a backend server.

        With ``wait_for_majority``, the result is returned once a majority of the group
        has the log up to the result's position.
        """
        if self._owners_by_server[server] == self._own_candidate.name:
            return (
                yield from self._owner_service.submit(
                    server, request_context, batch, wait_for_majority
                )
            )
        call = peer_messages.SubmitCall(
            server,
            int(request_context.rank),
            request_context.caller,
            self._remaining_seconds(request_context.deadline),
            batch.term,
            batch.read_only,
            wait_for_majority,
            peer_messages.statements_to_pairs(batch.statements),
        )
        self._refuse_if_owner_overloaded(server, request_context.rank)
        try:
            payload = yield from self._call_owner(
                self._owners_by_server[server],
                peer_messages.SUBMIT,
                call,
                request_context.deadline,
            )
        except errors.Overloaded as error:
            refused_until = self._loop.clock.now() + (error.retry_after or 0.0)
            self._refused_until_by_server_and_rank[server, request_context.rank] = (
                refused_until
            )
            raise
        return peer_messages.decode_result(payload)

    def begin(self, server, request_context, term):
        """Open a transaction; return ``(owner, transaction id)``."""
        owner = self._owners_by_server[server]
        if owner == self._own_candidate.name:
            return owner, (
                yield from self._owner_service.begin(server, request_context, term)
            )
        call = peer_messages.BeginCall(
            server,
            int(request_context.rank),
            request_context.caller,
            self._remaining_seconds(request_context.deadline),
            term,
        )
        payload = yield from self._call_owner(
            owner, peer_messages.BEGIN, call, request_context.deadline
        )
        return owner, peer_messages.decode(
            payload, peer_messages.BeginResult
        ).transaction_id

    def execute(self, owner, transaction_id, statements, deadline):
        """Run statements of a transaction at its owner."""
        if owner == self._own_candidate.name:
            return (
                yield from self._owner_service.execute(
                    transaction_id, statements, deadline
                )
            )
        call = peer_messages.ExecuteCall(
            transaction_id,
            self._remaining_seconds(deadline),
            peer_messages.statements_to_pairs(statements),
        )
        payload = yield from self._call_owner(
            owner, peer_messages.EXECUTE, call, deadline
        )
        return peer_messages.decode_result(payload)

    def end(self, owner, transaction_id, commit, deadline):
        """Commit or roll back a transaction at its owner."""
        if owner == self._own_candidate.name:
            return (
                yield from self._owner_service.end(transaction_id, commit, deadline)
            )
        call = peer_messages.EndCall(
            transaction_id, self._remaining_seconds(deadline), commit
        )
        payload = yield from self._call_owner(owner, peer_messages.END, call, deadline)
        return peer_messages.decode_result(payload)

    def _refuse_if_owner_overloaded(self, server, rank):
        """Refuse what the owner would refuse, so that an overload costs no call."""
        retry_after_seconds = self._refused_until_by_server_and_rank.get(
            (server, rank), 0.0
        )
        retry_after_seconds -= self._loop.clock.now()
        if retry_after_seconds > 0:
            self.counts["refused_early"] += 1
            raise errors.Overloaded(
                "refused by the owner just now",
                retry_after=retry_after_seconds,
            )

    def _remaining_seconds(self, deadline):
        """Return the seconds up to a deadline; fail when it has passed."""
        remaining_seconds = deadline - self._loop.clock.now()
        if remaining_seconds <= 0:
            raise errors.DeadlinePassed("the deadline passed before the call")
        return remaining_seconds

    def _call_owner(self, owner, kind, call, deadline):
        """Forward a request to the owner of its server; return the answer's bytes."""
        client = None if owner is None else self._client_for_proxy(owner)
        if client is None:
            raise errors.BackendUnavailable("no owner of the backend server is known")
        self.counts["forwarded"] += 1
        try:
            return (
                yield client.call(
                    kind, peer_messages.encode(call), deadline + FORWARD_GRACE_SECONDS
                )
            )
        except errors.BackendUnavailable as error:
            if not client.connected:
                self._mark_unreachable(owner)
            raise error
        except errors.ResponseTooLarge:
            raise  # The owner works: it has answered.
        except errors.ConnectionLost:
            self._mark_unreachable(owner)
            raise
        except errors.OutcomeUnknown:
            self._loop.spawn(self._probe_owner(owner))
            raise

    def _owned_server(self, server):
        """Return the server's ``OwnedServer``, or raise ``errors.NotOwner``."""
        owned_server = self._owned_servers_by_name.get(server)
        if owned_server is None or owned_server.state not in ("owned", "draining"):
            owner = self._owners_by_server.get(server)
            if owner not in (None, self._own_candidate.name):
                # The proxy that sent the request may have found the owner unreachable.
                self._loop.spawn(self._probe_owner(owner))
            raise errors.NotOwner(f"{self._own_candidate.name} does not own {server}")
        return owned_server

    def _probe_owner(self, proxy):
        """Ping a proxy; mark it unreachable when it does not answer."""
        if not (yield from self._answers_ping(proxy)):
            self._mark_unreachable(proxy)

    def handle_peer_call(self, _sender, kind, payload):
        """Return the future of the answer to another proxy's call."""
        return self._loop.spawn(self._owner_service.handle_peer_call(kind, payload))

    # State for operators and other parts of the process

    def owns_server(self, server):
        """Return whether this process owns a backend server now."""
        owned_server = self._owned_servers_by_name.get(server)
        return owned_server is not None and owned_server.state == "owned"

    def dump(self):
        """Return the owners, unreachable proxies and owned servers, as plain values."""
        return {
            "owners": dict(self._owners_by_server),
            "unreachable": sorted(self._next_ping_at_by_unreachable_proxy),
            "owned": {
                server: owned_server.dump()
                for server, owned_server in self._owned_servers_by_name.items()
                if owned_server.state != "released"
            },
            "transactions": self._owner_service.open_transaction_count,
            "counts": dict(self.counts),
        }

    def has_owned_servers(self):
        """Return whether a backend server is still owned or draining here."""
        return any(
            owned_server.state in ("owned", "draining")
            for owned_server in self._owned_servers_by_name.values()
        )

    def close(self):
        """Release all backend servers and close the links to other proxies."""
        self._ownership_timer.cancel()
        for owned_server in self._owned_servers_by_name.values():
            owned_server.close()
        for client in self._clients_by_proxy.values():
            client.close()


def _ignore_error(future):
    """Retrieve the error of a call whose failure needs no action."""
    future.exception()

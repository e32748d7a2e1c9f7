"""Proxies that admit operations of tenants and lend shares, in virtual time.

The real ``RateLimits`` and ``RatePot`` run on one clock. Heartbeats and answers can be
lost or late, and processes can be suspended, cut off and restarted. What is admitted is
counted by a plain list of instants.
"""

import bisect
import collections
import itertools

import attrs
import msgspec

from cassiahill import heartbeats, rate_limits, rate_shares
from cassiahill.session_fleet import (
    HEARTBEAT_INTERVAL_SECONDS,
    HEARTBEAT_TIMEOUT_SECONDS,
)
from cassiahill.tenants import Tenant, TenantDirectory

TOLERANCE = rate_limits.RateTolerance(window_seconds=5.0, excess=0.1, slack=20.0)
MESSAGE_SECONDS = 0.002


def directory(**limits_by_name):
    """Return a directory of tenants from their pairs of rate and burst."""
    return TenantDirectory.from_tenants(
        Tenant(name, frozenset(), rate, burst)
        for name, (rate, burst) in limits_by_name.items()
    )


@attrs.define(eq=False)
class RateProcess:
    """One proxy; ``term`` is set while it takes itself for the promoter."""

    name: str
    limits: rate_limits.RateLimits
    promoter: str | None = None
    term: str | None = None
    pot: rate_shares.RatePot | None = None
    next_heartbeat_at: float = 0.0
    suspended: bool = False


@attrs.frozen
class Message:
    """A heartbeat, or the answer to one, with the encoded report or answer.

    A held one is delivered only when its sender leaves ``holding_requests``.
    """

    deliver_at: float
    sent_at: float
    sender: RateProcess
    receiver: RateProcess
    body: bytes
    is_answer: bool
    is_held: bool = False


class RateFleet:
    """Proxies that own all groups.

    Parameters
    ----------
    names : list of str
    tenants : TenantDirectory
    limits_class, pot_class : type
        Classes to run; broken ones in tests of the checks.

    Attributes
    ----------
    admitted_at_by_tenant : dict of str to list of float
        Instants of admissions by all proxies, in order.
    losing_requests, losing_answers : set of str
        Proxies whose heartbeats, or the answers to them, are lost.
    holding_requests : set of str
        Proxies whose heartbeats are delivered only when they leave the set.
    cut_names : set of str
        Proxies that exchange messages among themselves only.
    """

    def __init__(
        self,
        names,
        tenants,
        limits_class=rate_limits.RateLimits,
        pot_class=rate_shares.RatePot,
    ):
        self.now = 1000.0
        self.tenants = tenants
        self.names = list(names)
        self._limits_class = limits_class
        self._pot_class = pot_class
        self._term_numbers = itertools.count(1)
        self._messages = []
        self._limits_changes = collections.defaultdict(list)
        self.newest_promoter = None
        self.admitted_at_by_tenant = collections.defaultdict(list)
        self.losing_requests = set()
        self.losing_answers = set()
        self.holding_requests = set()
        self.cut_names = set()
        self.processes = {}
        for number, name in enumerate(self.names):
            self.restart(name)
            delay = HEARTBEAT_INTERVAL_SECONDS * number / len(self.names)
            self.processes[name].next_heartbeat_at = self.now + delay
        self._record_limits(tenants)

    def restart(self, name):
        """Start a process with nothing in memory; it knows the newest promoter."""
        limits = self._limits_class(name, TOLERANCE, self.now)
        limits.install(self.tenants, self.now)
        limits.set_owners(self.names, self.now)
        promoter = self.newest_promoter
        self.processes[name] = RateProcess(
            name, limits, promoter, next_heartbeat_at=self.now
        )

    def elect(self, name):
        """Make a process the promoter; the others learn it with ``learn_promoter``."""
        self.newest_promoter = name
        process = self.processes[name]
        process.promoter = name
        process.term = f"{name}.{next(self._term_numbers)}"
        process.pot = self._pot_class(process.term)

    def learn_promoter(self, name):
        """Let a process learn the newest promoter."""
        process = self.processes[name]
        process.promoter = self.newest_promoter
        if name != self.newest_promoter:
            process.term = None

    def learn_promoter_everywhere(self):
        """Let all processes learn the newest promoter."""
        for name in self.names:
            self.learn_promoter(name)

    def install(self, tenants):
        """Change the limits at all processes."""
        self.tenants = tenants
        self._record_limits(tenants)
        for process in self.processes.values():
            process.limits.install(tenants, self.now)

    def admit(self, name, tenant_name):
        """Start an operation at a proxy; return whether it is admitted."""
        process = self.processes[name]
        if process.suspended or not process.limits.admit(tenant_name, self.now):
            return False
        self.admitted_at_by_tenant[tenant_name].append(self.now)
        return True

    def advance(self, seconds):
        """Move the clock, with the heartbeats and messages that fall due."""
        self.now += seconds
        for process in self.processes.values():
            if process.suspended or process.next_heartbeat_at > self.now:
                continue
            process.next_heartbeat_at = self.now + HEARTBEAT_INTERVAL_SECONDS
            self._send_heartbeat(process)
        self._deliver()

    def excess(self, tenant_name):
        """Return by how much the fullest window exceeds the rule.

        It is negative if none does. A window is measured by the highest limit that was
        in force within it.
        """
        admitted_at = self.admitted_at_by_tenant[tenant_name]
        worst = float("-inf")
        for first, started_at in enumerate(admitted_at):
            ended_at = started_at + TOLERANCE.window_seconds
            count = bisect.bisect_left(admitted_at, ended_at) - first
            worst = max(worst, count - self._allowed(tenant_name, started_at, ended_at))
        return worst

    def _allowed(self, tenant_name, started_at, ended_at):
        changes = self._limits_changes[tenant_name]
        in_force = [
            tenant
            for (changed_at, tenant), (ended_by, _) in itertools.pairwise(
                [*changes, (float("inf"), None)]
            )
            if changed_at <= ended_at and ended_by >= started_at
        ]
        limit = max(
            tenant.rate * TOLERANCE.window_seconds + tenant.burst for tenant in in_force
        )
        return limit * (1.0 + TOLERANCE.excess) + TOLERANCE.slack

    def _record_limits(self, tenants):
        for name, tenant in tenants.by_name.items():
            self._limits_changes[name].append((self.now, tenant))

    def _send_heartbeat(self, process):
        if process.promoter is None:
            return
        receiver = self.processes[process.promoter]
        report = process.limits.report(process.promoter, self.now)
        body = msgspec.json.encode(report)
        if receiver is process:
            if process.term is not None:
                answer = self._answer(process, process.name, body)
                process.limits.accept(process.name, answer, self.now, self.now)
            return
        if process.name in self.losing_requests or not self._reaches(process, receiver):
            return
        is_held = process.name in self.holding_requests
        deliver_at = self.now + MESSAGE_SECONDS
        self._messages.append(
            Message(deliver_at, self.now, process, receiver, body, False, is_held)
        )

    def _reaches(self, process, other):
        return (process.name in self.cut_names) == (other.name in self.cut_names)

    def _answer(self, promoter, sender_name, body):
        """Return the promoter's answer; messages are decoded as on the network."""
        report = msgspec.json.decode(body, type=heartbeats.RateReport)
        answer = promoter.pot.answer(sender_name, report, self.names, self.now)
        return msgspec.json.decode(
            msgspec.json.encode(answer), type=heartbeats.RateAnswer
        )

    def _deliver(self):
        messages, self._messages = self._messages, []
        for message in messages:
            is_held = message.is_held and message.sender.name in self.holding_requests
            is_due = message.deliver_at <= self.now and not is_held
            if not is_due or message.receiver.suspended:
                self._messages.append(message)
            elif self.processes[message.receiver.name] is message.receiver:
                self._handle(message)

    def _handle(self, message):
        receiver = message.receiver
        if message.is_answer:
            is_late = self.now - message.sent_at > HEARTBEAT_TIMEOUT_SECONDS
            if not is_late and receiver.promoter == message.sender.name:
                answer = msgspec.json.decode(message.body, type=heartbeats.RateAnswer)
                reports_again = receiver.limits.accept(
                    message.sender.name, answer, message.sent_at, self.now
                )
                if reports_again:
                    self._send_heartbeat(receiver)
            return
        if receiver.term is None:
            return
        sender = message.sender
        answer = self._answer(receiver, sender.name, message.body)
        if sender.name in self.losing_answers or not self._reaches(sender, receiver):
            return
        body = msgspec.json.encode(answer)
        deliver_at = self.now + MESSAGE_SECONDS
        self._messages.append(
            Message(deliver_at, message.sent_at, receiver, sender, body, True)
        )

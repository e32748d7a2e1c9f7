"""Faults over real processes, with the history of all callers checked.

``python -m bench.faults`` runs each scenario on a new deployment and prints one line
for each; it exits with 1 when a promise was broken. Names on the command line select
scenarios.
"""

import argparse
import signal
import sys
import time

import attrs

from bench import deployment, workload

SHAPE = attrs.evolve(deployment.MIXED, service_ms=2)
GROUP = "renewals"
PRIMARY = "renewals-1"
CALLERS = 8
BEFORE_SECONDS = 2.0
FAULT_SECONDS = 6.0
AFTER_SECONDS = 4.0
OTHER_DOMAINS = ("b", "c")  # The primary of the group is in domain a.


@attrs.frozen
class Scenario:
    """One fault: how it starts and ends, and whether a promotion has to follow."""

    start: object
    end: object = None
    promotes: bool = False


def _nothing(_running):
    """End a fault that ends by itself."""


def _kill_primary(running):
    running.kill(PRIMARY)


def _freeze_primary(running):
    running.kill(PRIMARY, signal.SIGSTOP)


def _thaw_primary(running):
    running.kill(PRIMARY, signal.SIGCONT)


def _isolate_primary(running):
    running.fault(PRIMARY, cut=list(OTHER_DOMAINS))


def _join_primary(running):
    running.fault(PRIMARY, cut=[])


def _silence_connections(running):
    for server in running.addresses_by_server:
        running.fault(server, silence_open=True)


def _lose_answers(running):
    for server in running.addresses_by_server:
        running.fault(server, lose_answers=3)


def _slow_primary(running):
    running.fault(PRIMARY, service_ms=60)


def _normal_primary(running):
    running.fault(PRIMARY, service_ms=SHAPE.service_ms)


def _lag_replicas(running):
    for server in running.addresses_by_server:
        running.fault(server, lag_ms=400)


def _catch_up(running):
    for server in running.addresses_by_server:
        running.fault(server, lag_ms=SHAPE.lag_ms)


def _stop_platform(running):
    deployment.post(running.platform_address, "/fault", {"down": True})


def _start_platform(running):
    deployment.post(running.platform_address, "/fault", {"down": False})


def _stop_platform_kill_primary(running):
    _stop_platform(running)
    _kill_primary(running)


def _kill_proxy(running):
    running.kill("proxy-1")


def _freeze_proxy(running):
    running.kill("proxy-1", signal.SIGSTOP)


def _thaw_proxy(running):
    running.kill("proxy-1", signal.SIGCONT)


def _drain_proxy(running):
    running.kill("proxy-2", signal.SIGTERM)


def _kill_primary_and_proxy(running):
    _kill_primary(running)
    _kill_proxy(running)


SCENARIOS_BY_NAME = {
    "none": Scenario(_nothing),
    "kill-primary": Scenario(_kill_primary, promotes=True),
    "freeze-primary": Scenario(_freeze_primary, _thaw_primary, promotes=True),
    "isolate-primary": Scenario(_isolate_primary, _join_primary, promotes=True),
    "silent-connections": Scenario(_silence_connections),
    "lost-answers": Scenario(_lose_answers),
    "slow-primary": Scenario(_slow_primary, _normal_primary),
    "lagging-replicas": Scenario(_lag_replicas, _catch_up),
    "platform-down": Scenario(_stop_platform, _start_platform),
    "platform-down-kill-primary": Scenario(
        _stop_platform_kill_primary, _start_platform, promotes=True
    ),
    "kill-proxy": Scenario(_kill_proxy),
    "freeze-proxy": Scenario(_freeze_proxy, _thaw_proxy),
    "drain-proxy": Scenario(_drain_proxy),
    "kill-primary-and-proxy": Scenario(_kill_primary_and_proxy, promotes=True),
}


def run(name):
    """Run one scenario; return its line and whether it is as promised."""
    scenario = SCENARIOS_BY_NAME[name]
    with deployment.running(SHAPE) as running:
        addresses = list(running.callers_by_proxy.values())
        workload.prepare(addresses, SHAPE.groups)
        with workload.working(addresses, SHAPE.groups, CALLERS) as (
            measures,
            findings,
        ):
            time.sleep(BEFORE_SECONDS)
            scenario.start(running)
            time.sleep(FAULT_SECONDS)
            (scenario.end or _nothing)(running)
            time.sleep(AFTER_SECONDS)
        term = running.dump("proxy-3")["groups"][GROUP]["term"]
    for finding in findings[:10]:
        print(f"  {name}: {finding}", flush=True)
    promoted = term > 1
    gap = workload.longest_gap(measures, GROUP)
    good = not findings and promoted == scenario.promotes
    urgent = measures.ends_by_rank["urgent"]
    lookup = measures.ends_by_rank["lookup"]
    line = (
        f"{name:<28} {'yes' if promoted else 'no':>8} {gap:>9.2f}"
        f" {urgent[0]:>6}/{urgent[1]:<6} {lookup[0]:>6}/{lookup[1]:<6}"
        f" {len(findings):>7} {'ok' if good else 'BROKEN'}"
    )
    return line, good


def main(argv=None):
    """Print the table; return 1 when a promise was broken."""
    parser = argparse.ArgumentParser(prog="bench.faults", description=__doc__)
    parser.add_argument("names", nargs="*", choices=[[], *SCENARIOS_BY_NAME])
    options = parser.parse_args(argv)
    print(
        f"{'scenario':<28} {'promoted':>8} {'ack gap s':>9}"
        f" {'urgent done':>13} {'lookup done':>13} {'broken':>7}"
    )
    all_good = True
    for name in options.names or SCENARIOS_BY_NAME:
        line, good = run(name)
        print(line, flush=True)
        all_good = all_good and good
    return 0 if all_good else 1


if __name__ == "__main__":
    sys.exit(main())

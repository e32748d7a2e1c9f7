"""Injects faults into running processes and checks the history of all callers.

``python -m bench.faults`` runs each scenario on a new deployment and prints one line
for each. It exits with 1 when a consistency rule was violated, or when a promotion was
missing or unexpected. Names on the command line select scenarios.
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
CALLER_COUNT = 8
SECONDS_BEFORE_FAULT = 2.0
FAULT_SECONDS = 6.0
SECONDS_AFTER_FAULT = 4.0
OTHER_DOMAINS = ("b", "c")  # The primary of the group is in failure domain a.


@attrs.frozen
class Scenario:
    """One fault; a promotion must follow if one is expected, and only then.

    ``start_fault`` and ``end_fault`` take a ``deployment.Deployment``.
    """

    start_fault: object
    end_fault: object = None
    expects_promotion: bool = False


def _do_nothing(_running_deployment):
    """Start no fault, or end one that needs no action to end."""


def _kill_primary(running_deployment):
    running_deployment.kill(PRIMARY)


def _freeze_primary(running_deployment):
    running_deployment.kill(PRIMARY, signal.SIGSTOP)


def _unfreeze_primary(running_deployment):
    running_deployment.kill(PRIMARY, signal.SIGCONT)


def _isolate_primary(running_deployment):
    running_deployment.fault(PRIMARY, cut=list(OTHER_DOMAINS))


def _reconnect_primary(running_deployment):
    running_deployment.fault(PRIMARY, cut=[])


def _leave_connection_attempts_unanswered(running_deployment):
    for server in running_deployment.addresses_by_server:
        running_deployment.fault(server, silence_open=True)


def _drop_answers(running_deployment):
    for server in running_deployment.addresses_by_server:
        running_deployment.fault(server, lose_answers=3)


def _slow_down_primary(running_deployment):
    running_deployment.fault(PRIMARY, service_ms=60)


def _restore_primary_speed(running_deployment):
    running_deployment.fault(PRIMARY, service_ms=SHAPE.service_ms)


def _increase_replica_lag(running_deployment):
    for server in running_deployment.addresses_by_server:
        running_deployment.fault(server, lag_ms=400)


def _restore_replica_lag(running_deployment):
    for server in running_deployment.addresses_by_server:
        running_deployment.fault(server, lag_ms=SHAPE.lag_ms)


def _stop_platform(running_deployment):
    deployment.post(running_deployment.platform_address, "/fault", {"down": True})


def _start_platform(running_deployment):
    deployment.post(running_deployment.platform_address, "/fault", {"down": False})


def _stop_platform_and_kill_primary(running_deployment):
    _stop_platform(running_deployment)
    _kill_primary(running_deployment)


def _kill_proxy(running_deployment):
    running_deployment.kill("proxy-1")


def _freeze_proxy(running_deployment):
    running_deployment.kill("proxy-1", signal.SIGSTOP)


def _unfreeze_proxy(running_deployment):
    running_deployment.kill("proxy-1", signal.SIGCONT)


def _drain_proxy(running_deployment):
    running_deployment.kill("proxy-2", signal.SIGTERM)


def _kill_primary_and_proxy(running_deployment):
    _kill_primary(running_deployment)
    _kill_proxy(running_deployment)


SCENARIOS_BY_NAME = {
    "none": Scenario(_do_nothing),
    "kill-primary": Scenario(_kill_primary, expects_promotion=True),
    "freeze-primary": Scenario(
        _freeze_primary, _unfreeze_primary, expects_promotion=True
    ),
    "isolate-primary": Scenario(
        _isolate_primary, _reconnect_primary, expects_promotion=True
    ),
    "silent-connections": Scenario(_leave_connection_attempts_unanswered),
    "lost-answers": Scenario(_drop_answers),
    "slow-primary": Scenario(_slow_down_primary, _restore_primary_speed),
    "lagging-replicas": Scenario(_increase_replica_lag, _restore_replica_lag),
    "platform-down": Scenario(_stop_platform, _start_platform),
    "platform-down-kill-primary": Scenario(
        _stop_platform_and_kill_primary, _start_platform, expects_promotion=True
    ),
    "kill-proxy": Scenario(_kill_proxy),
    "freeze-proxy": Scenario(_freeze_proxy, _unfreeze_proxy),
    "drain-proxy": Scenario(_drain_proxy),
    "kill-primary-and-proxy": Scenario(_kill_primary_and_proxy, expects_promotion=True),
}


def run_scenario(name):
    """Run one scenario; return its table row and whether it passed."""
    scenario = SCENARIOS_BY_NAME[name]
    with deployment.running(SHAPE) as running_deployment:
        addresses = list(running_deployment.callers_by_proxy.values())
        workload.create_tables(addresses, SHAPE.groups)
        with workload.running_callers(addresses, SHAPE.groups, CALLER_COUNT) as (
            measurements,
            findings,
        ):
            time.sleep(SECONDS_BEFORE_FAULT)
            scenario.start_fault(running_deployment)
            time.sleep(FAULT_SECONDS)
            (scenario.end_fault or _do_nothing)(running_deployment)
            time.sleep(SECONDS_AFTER_FAULT)
        term = running_deployment.dump("proxy-3")["groups"][GROUP]["term"]
    for finding in findings[:10]:
        print(f"  {name}: {finding}", flush=True)
    promoted = term > 1
    gap_seconds = workload.longest_ack_gap_seconds(measurements, GROUP)
    passed = not findings and promoted == scenario.expects_promotion
    urgent_counts = measurements.request_counts_by_rank["urgent"]
    lookup_counts = measurements.request_counts_by_rank["lookup"]
    table_row = (
        f"{name:<28} {'yes' if promoted else 'no':>8} {gap_seconds:>9.2f}"
        f" {urgent_counts[0]:>6}/{urgent_counts[1]:<6}"
        f" {lookup_counts[0]:>6}/{lookup_counts[1]:<6}"
        f" {len(findings):>7} {'ok' if passed else 'BROKEN'}"
    )
    return table_row, passed


def main(argv=None):
    """Run the selected scenarios and print a table; return the exit code."""
    parser = argparse.ArgumentParser(prog="bench.faults", description=__doc__)
    parser.add_argument("names", nargs="*", choices=[[], *SCENARIOS_BY_NAME])
    options = parser.parse_args(argv)
    print(
        f"{'scenario':<28} {'promoted':>8} {'ack gap s':>9}"
        f" {'urgent done':>13} {'lookup done':>13} {'broken':>7}"
    )
    all_passed = True
    for name in options.names or SCENARIOS_BY_NAME:
        table_row, passed = run_scenario(name)
        print(table_row, flush=True)
        all_passed = all_passed and passed
    return 0 if all_passed else 1


if __name__ == "__main__":
    sys.exit(main())

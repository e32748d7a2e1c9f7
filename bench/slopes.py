"""Slopes for ``docs/CAPACITY.md``: what one more of each thing costs a proxy.

``python -m bench.slopes`` prints one line for each slope. CPU is in microseconds.
"""

import argparse
import random
import resource
import socket
import sys
import time

import attrs

from bench import deployment, fleet, load, point_read, spread
from cassiahill import (
    configuration,
    membership,
    poller,
    server_ownership,
    settings,
    suspicion,
    swim,
)

IDLE_SECONDS = 4.0
READ_SECONDS = 3.0
IDLE_CONNECTIONS = 10_000
SMALL_FLEET, LARGE_FLEET = 256, 1024
FLEET_SECONDS = 4.0
REPETITIONS = 50


def report(name, value, unit, how):
    """Print one slope."""
    print(f"{name:<44} {value:>12.3f} {unit:<22} {how}", flush=True)


def cpu_of(function, repetitions=REPETITIONS):
    """Return the CPU in microseconds of one call."""
    started = time.process_time()
    for _ in range(repetitions):
        function()
    return (time.process_time() - started) / repetitions * 1e6


def idle_cpu(running, name):
    """Return the CPU in microseconds per second of an idle proxy."""
    pid = running.processes_by_name[name].pid
    before = load.cpu_seconds(pid)
    time.sleep(IDLE_SECONDS)
    return (load.cpu_seconds(pid) - before) / IDLE_SECONDS * 1e6


def polling():
    """Measure the cost of watching backend servers: 3 against 9 of them."""
    costs = []
    for count in (1, 3):
        shape = attrs.evolve(
            deployment.SAFEPLATE, groups=deployment.SAFEPLATE.groups[:count]
        )
        with deployment.running(shape, proxy_count=1) as running:
            time.sleep(2.0)
            costs.append(idle_cpu(running, "proxy-1"))
    per_server = (costs[1] - costs[0]) / 6
    report("polls and probes per watched server", per_server, "us CPU/s", "9 against 3")
    report("idle proxy without servers", costs[0] - 3 * per_server, "us CPU/s", "rest")


def poll_bytes():
    """Measure the bytes of one status poll, request and answer, without TCP headers."""
    with deployment.running(deployment.SAFEPLATE, proxy_count=1) as running:
        address = running.addresses_by_server["fees-1"]
        path = "/status?wait_ms=100&known_term=1&known_position=100"
        request = f"GET {path} HTTP/1.1\r\nHost: 127.0.0.1:20000\r\n"
        request += "Content-Length: 0\r\nDomain: pk-central-a\r\n\r\n"
        with socket.create_connection(address) as sock:
            sock.sendall(request.encode())
            answer = sock.recv(65_536)
    report("one poll", len(request) + len(answer), "bytes", "request and answer")
    rate = 1 / poller.POLL_WAIT_SECONDS
    report(
        "polls of an idle server", rate * (len(request) + len(answer)), "bytes/s", ""
    )


def serving():
    """Measure memory per caller connection and CPU per read, own and forwarded."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    with deployment.running(deployment.SAFEPLATE, proxy_count=2) as running:
        addresses = running.callers_by_proxy
        for sql in (
            "create table fees (id integer primary key, vendor text)",
            "insert into fees values (1, 'vendor-1')",
        ):
            deployment.post(
                addresses["proxy-1"],
                "/v1/statements",
                {"kind": "write", "group": "fees", "sql": sql},
            )
        pids = {name: running.processes_by_name[name].pid for name in addresses}
        before = load.resident_bytes(pids["proxy-1"])
        with point_read.idle_connections(addresses["proxy-1"], IDLE_CONNECTIONS):
            time.sleep(1.0)
            held = load.resident_bytes(pids["proxy-1"])
        report("resident proxy, 9 servers", before / 1e6, "MB", "start")
        per_connection = (held - before) / IDLE_CONNECTIONS
        report("idle caller connection", per_connection, "bytes", "10,000 against 0")
        spent = {name: load.cpu_seconds(pid) for name, pid in pids.items()}
        rate, own, _ = point_read.measure(
            addresses["proxy-1"], pids["proxy-1"], READ_SECONDS
        )
        other = load.cpu_seconds(pids["proxy-2"]) - spent["proxy-2"]
        reads = rate * (READ_SECONDS + point_read.WARM_UP_SECONDS)
        counts = running.dump("proxy-1")["gateway"]["counts"]
        report("point read, entry proxy", own, "us CPU/read", f"{rate:.0f} reads/s")
        report("point read, other proxy", other / reads * 1e6, "us CPU/read", "owner")
        report("reads forwarded", counts.get("forwarded", 0), "reads", "of all above")


def members():
    """Measure membership in one process with direct calls."""
    for count in (SMALL_FLEET, LARGE_FLEET):
        run = fleet.MemberFleet(count, 1, known=True)
        run.run(1.0)
        run.wire_bytes_by_type.clear()
        started = time.process_time()
        run.run(FLEET_SECONDS)
        cpu = (time.process_time() - started) / FLEET_SECONDS / count * 1e6
        sent = sum(run.wire_bytes_by_type.values()) / FLEET_SECONDS / count
        report(f"membership at {count}", cpu, "us CPU/s/proxy", "decisions only")
        report(f"membership at {count}", sent, "bytes/s/proxy", "quiet")
    change = spread.spread_once("push+pull", LARGE_FLEET, 0.1, 1)
    report(
        "configuration change at 1024, 10 % failed", change["bytes"], "bytes/proxy", ""
    )
    report(
        "configuration change at 1024, 10 % failed", change["rounds"], "rounds", "0.2 s"
    )
    pulls = spread.pull_bytes()
    report("pulls without news", pulls, "bytes/s/proxy", "")


def choices():
    """Measure the choice of owners and observers over the fleet."""
    for count in (SMALL_FLEET, LARGE_FLEET):
        proxies = [
            server_ownership.OwnerCandidate(f"p{n}", f"d{n % 6}") for n in range(count)
        ]
        domains = {proxy.name: proxy.failure_domain for proxy in proxies}
        cost = cpu_of(
            lambda proxies=proxies: server_ownership.server_owner("s1", "d1", proxies)
        )
        report(f"owner of one server among {count}", cost, "us CPU", "per change")
        cost = cpu_of(lambda domains=domains: suspicion.choose_observers("g1", domains))
        report(f"observers of one group among {count}", cost, "us CPU", "per change")


def documents():
    """Measure the configuration per group."""
    sizes = []
    for count in (100, 400):
        document = {
            "groups": {
                f"group-{n}": {
                    "servers": {
                        f"group-{n}-{k}": {
                            "address": f"10.0.{n % 250}.{k + 1}:5432",
                            "failure_domain": f"domain-{k}",
                        }
                        for k in range(3)
                    }
                }
                for n in range(count)
            }
        }
        accepted = configuration.next_configuration(
            configuration.NO_CONFIGURATION, document, "operator", 0, "id"
        )
        value = configuration.encode(accepted)
        decoding = cpu_of(lambda value=value: configuration.decode(value), 10)
        reading = cpu_of(lambda document=document: settings.build_groups(document), 10)
        sizes.append((len(value), decoding, reading))
    for index, (name, unit) in enumerate(
        (
            ("configuration, stored", "bytes/group"),
            ("configuration, decoding", "us CPU/group"),
            ("configuration, building the groups", "us CPU/group"),
        )
    ):
        slope = (sizes[1][index] - sizes[0][index]) / 300
        report(name, slope, unit, "400 against 100 groups")


def view_memory():
    """Measure the memory of one view per member."""
    import tracemalloc

    tracemalloc.start()
    made = membership.Membership(
        swim.Member("p0", ("127.0.0.1", 1), "d0"), (), random.Random(1), 0.0
    )
    before = tracemalloc.get_traced_memory()[0]
    news = tuple(
        swim.Member(f"p{n}", ("10.0.0.1", n), f"d{n % 6}") for n in range(1, 4200)
    )
    made.step(swim.MessageReceived("", swim.SyncAnswer(news)), 0.1)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    known = len(made.members_by_name)
    report("membership view", used / max(1, known), "bytes/member", f"{known} members")


def main(argv=None):
    """Print all slopes."""
    parser = argparse.ArgumentParser(prog="bench.slopes", description=__doc__)
    parser.parse_args(argv)
    started = time.monotonic()
    for part in (
        serving,
        poll_bytes,
        polling,
        members,
        choices,
        documents,
        view_memory,
    ):
        part()
    report("this run", time.monotonic() - started, "s", "")
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Compares ways to spread a configuration, and measures membership.

Run with ``python -m bench.spread --seed 1``. All members are real decision modules in
one process; failed members stay in everyone's view, as before their failure is found.
"""

import argparse
import random
import sys
import time
import tracemalloc

import msgspec

from bench import fleet
from cassiahill import membership, rumor_spreading, swim

SIZES = (256, 1024, 4200)
FAILED_SHARES = (0.0, 0.1, 0.2, 0.3, 0.4, 0.5)
DOMAINS = 6
BODY = b"x" * 10_000
MAX_ROUNDS = 60
CHANGES_PER_DAY = 7300
RESTARTS_PER_DAY = 1668
WAYS = ("platform", "push", "push+pull", "push+tree", "push+graph")


def tree(names, rng):
    """Return the neighbours of each name in a balanced binary tree."""
    order = rng.sample(names, len(names))
    edges = [(order[i], order[(i - 1) // 2]) for i in range(1, len(order))]
    return _neighbours(edges)


def graph(names, rng):
    """Return the neighbours of each name in the union of three random matchings."""
    edges = []
    for _ in range(3):
        order = rng.sample(names, len(names))
        edges += zip(order[::2], order[1::2], strict=False)
    return _neighbours(edges)


def _neighbours(edges):
    found = {}
    for one, other in edges:
        found.setdefault(one, set()).add(other)
        found.setdefault(other, set()).add(one)
    return {name: tuple(sorted(others)) for name, others in found.items()}


def spread_once(way, count, failed_share, seed, single_source=False, rounds=None):
    """Spread one change; return the figures of the run as a dict."""
    rng = random.Random(seed)
    names = [f"proxy-{number:04}" for number in range(count)]
    fixed = {"push+tree": tree, "push+graph": graph}.get(way)
    neighbours = fixed(names, rng) if fixed else None

    def make(name, secret, member_rng, now):
        return rumor_spreading.RumorSpreader(
            name,
            secret,
            member_rng,
            now,
            pull_enabled=way == "push+pull",
            max_push_rounds=rounds,
        )

    run = fleet.SpreadFleet(names, seed, make, neighbours)
    run.down = set(rng.sample(names, int(failed_share * count)))
    sources = _sources(way, names, run.down, rng, single_source)
    for source in sources:
        run.publish(source, 1, BODY)
    rounds_run, reached_at = 0, 0
    lacking = count - len(run.down) - len(sources)
    quiet = 0
    while lacking and rounds_run < MAX_ROUNDS and quiet < 3:
        before = run.messages
        run.step_round()
        rounds_run += 1
        quiet = 0 if run.messages > before else quiet + 1
        still = len(run.lacking(1))
        if still < lacking:
            lacking, reached_at = still, rounds_run
    live = count - len(run.down)
    calls = 2 * len(sources)  # The watch that answers and the one that follows.
    return {
        "missed": lacking,
        "informed": 100 * (live - lacking) / live,
        "rounds": reached_at,
        "messages": run.messages / live,
        "bytes": run.wire_bytes / live,
        "fetches": max(run.fetches_by_peer.values(), default=0),
        "calls": calls,
    }


def _sources(way, names, down, rng, single_source):
    live = [name for name in names if name not in down]
    if way == "platform":
        return live
    if single_source:
        return [rng.choice(live)]
    chosen = []
    for domain in range(DOMAINS):
        members = names[domain::DOMAINS]
        chosen += rumor_spreading.choose_platform_readers(f"domain{domain}", members)
    return [name for name in chosen if name not in down]


def compare(seed):
    """Print the figures of each way as designed, with three readers per domain."""
    print("three readers in each of 6 failure domains, one change, 10,000-byte body")
    print("members failed% way         missed rounds msgs/member bytes/member", end="")
    print(" max-fetches platform-calls")
    for count in SIZES:
        for share in FAILED_SHARES:
            for way in WAYS:
                row = spread_once(way, count, share, seed)
                print(
                    f"{count:7} {share * 100:6.0f}% {way:11} {row['missed']:6}"
                    f" {row['rounds']:6} {row['messages']:11.1f} {row['bytes']:12.0f}"
                    f" {row['fetches']:11} {row['calls']:14}",
                    flush=True,
                )


def compare_with_report(seed, count=4200, runs=2):
    """Print the share of live members informed from one source, in %."""
    print(f"\none source, {count} members, mean share informed in % of {runs} runs")
    print(
        "failed%  tree   push push+tree  graph push+graph push+pull  msgs(tree)", end=""
    )
    print(" msgs(pull) rounds(pull)")
    settings = (
        ("push+tree", 0),
        ("push", None),
        ("push+tree", None),
        ("push+graph", 0),
        ("push+graph", None),
        ("push+pull", None),
    )
    for share in FAILED_SHARES:
        rows = [
            [
                spread_once(way, count, share, seed + run, True, rounds)
                for run in range(runs)
            ]
            for way, rounds in settings
        ]
        informed = [sum(r["informed"] for r in row) / runs for row in rows]
        messages = [sum(r["messages"] for r in row) / runs for row in rows]
        pull_rounds = sum(r["rounds"] for r in rows[5]) / runs
        print(
            f"{share * 100:6.0f}% {informed[0]:6.1f} {informed[1]:6.1f}"
            f" {informed[2]:9.1f} {informed[3]:6.1f} {informed[4]:10.1f}"
            f" {informed[5]:9.1f} {messages[2]:11.1f} {messages[5]:10.1f}"
            f" {pull_rounds:12.1f}",
            flush=True,
        )


def pull_bytes():
    """Return bytes/s per member of pulls while all members agree."""
    run = fleet.SpreadFleet([f"proxy-{n:04}" for n in range(256)], 1)
    seconds = 12.0
    for _ in range(round(seconds / rumor_spreading.ROUND_INTERVAL_SECONDS)):
        run.step_round()
    return run.wire_bytes / seconds / 256


def membership_cost(count, seed, seconds=12):
    """Print traffic, CPU time and memory of membership, and what failures do."""
    members = fleet.MemberFleet(count, seed, known=True)
    members.run(2.0)
    members.wire_bytes_by_type.clear()
    started = time.process_time()
    members.run(seconds)
    cpu = (time.process_time() - started) / seconds / count
    quiet = sum(members.wire_bytes_by_type.values()) / seconds / count
    members.wire_bytes_by_type.clear()
    victims = members.rng.sample(range(3, count + 1), 4)
    members.down = {fleet.address(number) for number in victims[:2]}
    members.deliver(
        fleet.address(victims[2]),
        members.memberships_by_address[fleet.address(victims[2])].step(
            swim.LeaveFleet(), members.now
        ),
    )
    members.start(victims[3])
    members.run(seconds)
    busy = sum(members.wire_bytes_by_type.values()) / seconds / count
    dead = [
        sum(m.state == swim.DEAD for m in made.members_by_name.values())
        for made in members.live()
    ]
    per_change = (busy - quiet) * seconds / 4
    estimate = quiet + per_change * RESTARTS_PER_DAY / 86_400
    print(
        f"{count:7} {cpu * 1e6:14.0f} {quiet:13.0f} {per_change:16.0f}"
        f" {estimate:16.0f} {min(dead):8} {max(dead):8}",
        flush=True,
    )
    return estimate


def membership_memory(count):
    """Return the bytes of one process's view, and the CPU seconds to build it."""
    everyone = swim.SyncAnswer(
        tuple(
            swim.Member(f"p{number}", fleet.address(number), f"domain{number % 6}")
            for number in range(2, count + 1)
        )
    )
    payload = msgspec.msgpack.encode(everyone)
    own = swim.Member("p1", fleet.address(1), "domain1")
    started = time.process_time()
    made = membership.Membership(own, [], random.Random(1), 0.0)
    decode = msgspec.msgpack.decode
    made.step(swim.MessageReceived("", decode(payload, type=swim.SyncAnswer)), 0.0)
    cpu = time.process_time() - started
    tracemalloc.start()
    made = membership.Membership(own, [], random.Random(1), 0.0)
    made.step(swim.MessageReceived("", decode(payload, type=swim.SyncAnswer)), 0.0)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used, cpu, len(payload)


def main(argv=None):
    """Run all parts; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parts = ("all", "ways", "report", "membership")
    parser.add_argument("--part", choices=parts, default="all")
    options = parser.parse_args(argv)
    if options.part in ("all", "ways"):
        compare(options.seed)
    if options.part in ("all", "report"):
        compare_with_report(options.seed)
    if options.part in ("all", "membership"):
        _membership_part(options.seed)
    return 0


def _membership_part(seed):
    print("\nmembership: 12 s quiet, then 2 failures, 1 leave and 1 restart in 12 s")
    print("members us-CPU/s/member quiet-bytes/s bytes/change/m est.-bytes/s", end="")
    print("  min-dead max-dead")
    for count in SIZES:
        estimate = membership_cost(count, seed)
    change = spread_once("push+pull", SIZES[-1], 0.0, seed)
    pulls = pull_bytes()
    spread = change["bytes"] * CHANGES_PER_DAY / 86_400
    body = len(BODY) * CHANGES_PER_DAY / 86_400
    print(
        f"bytes/s per member at {SIZES[-1]}: membership {estimate:.0f},"
        f" pulls without change {pulls:.0f}, rumors of {CHANGES_PER_DAY} changes a day"
        f" {spread:.0f}, bodies of {len(BODY)} bytes {body:.0f}"
    )
    for count in SIZES:
        used, cpu, size = membership_memory(count)
        print(
            f"view of {count} members: {used / 1e6:.2f} MB, joined in"
            f" {cpu * 1e3:.0f} ms CPU from {size} bytes"
        )


if __name__ == "__main__":
    sys.exit(main())

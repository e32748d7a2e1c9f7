"""Searches faults in which all proxies together admit more than a tenant's limit."""

import unittest

from hypothesis import Phase, example, given, settings, target
from hypothesis import strategies as st

from tests.broken_rates import BROKEN_LIMITS
from tests.rate_fleet import RateFleet, directory

PROXIES = ("a", "b", "c")
STEP_SECONDS = 0.1
FLOOD_OPERATIONS = 100  # Further operations per step, which are refused.
# With a small burst, the tolerance is small beside what a proxy admits in some seconds.
LIMITS = ((200.0, 5.0), (300.0, 5.0), (60.0, 5.0))
SMALL_LIMIT = (1.0, 1.0)
some_proxies = st.sets(st.sampled_from(PROXIES), min_size=1)
one_proxy = st.sampled_from(PROXIES)
ACTIONS = st.one_of(
    st.tuples(st.just("wait"), st.integers(1, 10)),
    st.tuples(st.just("wait"), st.integers(10, 60)),
    st.tuples(st.just("flood"), one_proxy),
    st.tuples(st.just("load"), st.just(PROXIES)),
    st.tuples(st.just("lose requests"), one_proxy),
    st.tuples(st.just("lose answers"), one_proxy),
    st.tuples(st.just("hold requests"), one_proxy),
    st.tuples(st.just("suspend"), one_proxy),
    st.tuples(st.just("cut"), one_proxy),
    st.tuples(st.just("heal"), st.just(None)),
    st.tuples(st.just("restart"), some_proxies),
    st.tuples(st.just("elect"), one_proxy),
    st.tuples(st.just("learn"), some_proxies),
    st.tuples(st.just("limit"), st.sampled_from(LIMITS)),
)


# Histories that a broken version needs and that chance builds seldom.
FLOOD_BEHIND_A_CUT = (
    *[("flood", "b")] * 3,
    ("cut", "b"),
    ("load", PROXIES),
    ("wait", 60),
    ("wait", 60),
)
RESTART_WITHOUT_CONTACT = (
    *[("flood", "a")] * 3,
    ("lose requests", "b"),
    ("lose requests", "c"),
    ("restart", {"b", "c"}),
    ("load", PROXIES),
    ("wait", 60),
)
ANSWERS_LOST_FOR_LONG = (
    ("lose answers", "b"),
    ("flood", "a"),
    ("load", PROXIES),
    *[("wait", 60)] * 3,
)


def tenants(limit):
    """Return a tenant with a limit that changes, and a small one."""
    return directory(acme=limit, small=SMALL_LIMIT)


class RateHistory:
    """Runs actions on a fleet whose proxies are asked for all that they admit."""

    def __init__(self, **classes):
        self.fleet = RateFleet(PROXIES, tenants(LIMITS[0]), **classes)
        self.loaded = set(PROXIES)
        self.flooded = None
        self.fleet.elect("a")
        self.fleet.learn_promoter_everywhere()
        self.run("wait", 60)

    def run(self, kind, value):
        """Run one action."""
        if kind == "wait":
            for _ in range(value):
                self._step()
        elif kind == "load":
            self.loaded = set(value)
        elif kind == "flood":
            self.flooded = value
            self.loaded = {value}
            self.run("wait", 20)
        else:
            self._change_fleet(kind, value)
        self._step()

    def _change_fleet(self, kind, value):
        fleet = self.fleet
        match kind:
            case "lose requests":
                fleet.losing_requests ^= {value}
            case "lose answers":
                fleet.losing_answers ^= {value}
            case "hold requests":
                fleet.holding_requests ^= {value}
            case "suspend":
                process = fleet.processes[value]
                process.suspended = not process.suspended
            case "cut":
                fleet.cut_names = {value}
            case "heal":
                self._heal()
            case "restart":
                for name in sorted(value):
                    fleet.restart(name)
            case "elect":
                fleet.elect(value)
            case "learn":
                for name in sorted(value):
                    fleet.learn_promoter(name)
            case "limit":
                fleet.install(tenants(value))

    def _heal(self):
        fleet = self.fleet
        fleet.losing_requests.clear()
        fleet.losing_answers.clear()
        fleet.holding_requests.clear()
        fleet.cut_names = set()
        for process in fleet.processes.values():
            process.suspended = False
        fleet.learn_promoter_everywhere()

    def _step(self):
        self.fleet.advance(STEP_SECONDS)
        for name in sorted(self.loaded):
            for tenant in ("acme", "small"):
                while self.fleet.admit(name, tenant):
                    pass
            if name == self.flooded:
                for _ in range(FLOOD_OPERATIONS):
                    self.fleet.admit(name, "acme")


def search(max_examples, **classes):
    """Return a search that fails if a window exceeds the rule."""

    @settings(
        derandomize=True,
        deadline=None,
        max_examples=max_examples,
        database=None,
        phases=(Phase.explicit, Phase.generate, Phase.target),
    )
    @example(FLOOD_BEHIND_A_CUT)
    @example(RESTART_WITHOUT_CONTACT)
    @example(ANSWERS_LOST_FOR_LONG)
    @given(st.lists(ACTIONS, min_size=10, max_size=30))
    def run(actions):
        history = RateHistory(**classes)
        for kind, value in actions:
            history.run(kind, value)
        for tenant in ("acme", "small"):
            excess = history.fleet.excess(tenant)
            target(excess, label=tenant)
            assert excess <= 0.0, f"a window of {tenant} exceeds the rule by {excess}"

    return run


class RateSearchTest(unittest.TestCase):
    def test_no_window_exceeds_the_limit(self):
        """Guards against a part of a limit that two proxies use at the same time.

        Heartbeats and answers are lost or late, processes are suspended, cut off and
        restarted, promoters change or are two, and limits change.
        """
        search(120)()

    def test_broken_versions_are_found(self):
        """Guards against a search that overlooks what it is made to find."""
        for name, classes in BROKEN_LIMITS.items():
            with self.subTest(name), self.assertRaises(AssertionError):
                search(5, **classes)()


if __name__ == "__main__":
    unittest.main()

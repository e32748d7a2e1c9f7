"""Tests of ``cassiahill.configuration_age`` and of the proofs in a fleet in memory."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill.catalog_feed import CatalogFeed
from cassiahill.configuration_age import (
    BEHIND_SHARE,
    CLOCK_MARGIN_SECONDS,
    ERA_SETTLE_SECONDS,
    ConfigurationAge,
    StoreRole,
)
from tests import broken_configuration_age as broken
from tests.age_model import BOUND_SECONDS, AgeModel, UnprovedAcceptance
from tests.memory_fleet import MemoryFleet

STEP_COUNT = 400


class ConfigurationAgeTest(unittest.TestCase):
    def setUp(self):
        self.age = ConfigurationAge(BOUND_SECONDS, now=0.0)
        self.age.record_era(1, 0.0)
        self.age.record_installed(3, 0.0)
        self.latest_at = 10.0 + BOUND_SECONDS - CLOCK_MARGIN_SECONDS

    def test_nothing_is_refused_without_a_bound(self):
        """Guards against refusals in a deployment that does not limit the age."""
        age = ConfigurationAge(None, now=0.0)
        self.assertTrue(age.is_young_enough(1e9))
        self.assertFalse(age.should_ask_store(StoreRole.PROMOTER, 1e9))
        self.assertFalse(age.should_ask_peers(1e9))

    def test_proof_of_the_store_ends_with_the_bound(self):
        """Guards against a key that is accepted after the bound, or refused early."""
        self.assertFalse(self.age.is_young_enough(0.0))
        self.age.record_proof(3, asked_at=10.0)
        self.assertTrue(self.age.is_young_enough(self.latest_at - 0.01))
        self.assertFalse(self.age.is_young_enough(self.latest_at))

    def test_late_answer_does_not_replace_a_younger_proof(self):
        """Guards against a proof that gets older by an answer that was under way."""
        self.age.record_proof(3, asked_at=10.0)
        self.age.record_proof(3, asked_at=8.0)
        self.age.record_peer_proof(3, 4.0, asked_at=11.0)
        self.assertEqual(self.age.proved_at, 10.0)

    def test_proof_travels_with_its_age(self):
        """Guards against an age that a chain of peers resets."""
        self.age.record_proof(3, asked_at=10.0)
        stated = self.age.state_proof(12.0)
        receiver = ConfigurationAge(BOUND_SECONDS, now=11.0)
        receiver.record_installed(3, 0.0)
        receiver.record_peer_proof(stated.version, stated.age_seconds, asked_at=11.8)
        self.assertAlmostEqual(receiver.proved_at, 9.8)
        stated_again = receiver.state_proof(13.0)
        self.assertAlmostEqual(stated_again.age_seconds, 3.2)

    def test_peer_without_a_proof_states_none(self):
        """Guards against the proof of a process that has just started."""
        stated = self.age.state_proof(2.0)
        self.age.record_peer_proof(stated.version, stated.age_seconds, asked_at=2.0)
        self.assertFalse(self.age.is_young_enough(2.0))

    def test_proof_of_an_older_version_holds_for_a_newer_one(self):
        """Guards against refusals right after a change that peers do not have yet."""
        self.age.record_installed(5, 0.0)
        self.age.record_peer_proof(3, 0.5, asked_at=10.0)
        self.assertEqual(self.age.proved_at, 9.5)

    def test_proof_of_a_version_that_is_missing_does_not_count(self):
        """Guards against an old configuration that is proved by a newer one's proof."""
        self.age.record_peer_proof(4, 0.0, asked_at=10.0)
        self.assertFalse(self.age.is_young_enough(10.0))
        self.age.record_installed(4, 0.0)
        self.age.record_peer_proof(4, 0.0, asked_at=10.4)
        self.assertTrue(self.age.is_young_enough(10.5))

    def test_earlier_proof_counts_while_a_newer_version_is_fetched(self):
        """Guards against refusals at each change of the configuration."""
        self.age.record_proof(3, asked_at=10.0)
        self.age.record_known(4, 10.5)
        self.assertTrue(self.age.is_young_enough(11.0))

    def test_store_that_has_lost_a_version_proves_nothing(self):
        """Guards against a restored store whose copy lacks the newest version."""
        self.age.record_installed(5, 0.0)
        self.age.record_proof(3, asked_at=10.0)
        self.assertFalse(self.age.is_young_enough(10.0))

    def test_proofs_of_a_new_era_count_after_a_while(self):
        """Guards against a restored store before the operator has written again."""
        self.age.record_era(2, 20.0)
        self.age.record_proof(3, asked_at=20.0 + 0.9 * ERA_SETTLE_SECONDS)
        self.assertFalse(self.age.is_young_enough(21.0))
        self.age.record_era(2, 20.5)
        self.age.record_proof(3, asked_at=20.0 + ERA_SETTLE_SECONDS)
        self.assertTrue(self.age.is_young_enough(21.0))

    def test_promoter_asks_first_and_followers_last(self):
        """Guards against calls to the store of every proxy."""
        self.age.record_proof(3, asked_at=10.0)
        ages_by_role = {}
        for role in StoreRole:
            tenths = 0
            while not self.age.should_ask_store(role, 10.0 + tenths / 10):
                tenths += 1
            ages_by_role[role] = tenths / 10
        self.assertEqual(list(ages_by_role.values()), [1.0, 2.0, 3.0])

    def test_calls_of_one_proxy_are_spaced_out(self):
        """Guards against calls without a pause, and of a whole fleet in an outage."""
        for role, limit in ((StoreRole.PROMOTER, 20), (StoreRole.FOLLOWER, 12)):
            age = ConfigurationAge(BOUND_SECONDS, now=0.0, spread=0.5)
            call_count = 0
            for tenths in range(200):
                now = tenths / 10
                if age.should_ask_store(role, now):
                    call_count += 1
                    age.record_call(now)
                    age.record_call_result(role, answered=False, now=now)
            self.assertLessEqual(call_count, limit, role)
            self.assertGreater(call_count, 4, role)

    def test_proxy_that_lacks_a_known_version_asks_early(self):
        """Guards against a version that is known for seconds and not installed.

        Newer ones that come all the time must not postpone the call.
        """
        self.age.record_proof(3, asked_at=10.0)
        asked_at = None
        for tenths in range(30):
            now = 10.0 + tenths / 10
            self.age.record_known(4 + tenths, now)
            if self.age.should_ask_store(StoreRole.FOLLOWER, now):
                asked_at = now
                break
        self.assertAlmostEqual(asked_at, 10.0 + BEHIND_SHARE * BOUND_SECONDS)
        self.age.record_installed(100, asked_at)
        self.assertFalse(self.age.should_ask_store(StoreRole.FOLLOWER, asked_at))


class AgeSearchTest(unittest.TestCase):
    """Searches for an accepted key whose removal was acknowledged before the bound."""

    @given(st.integers(0, 2**32))
    @settings(derandomize=True, max_examples=600, deadline=None)
    def test_no_key_is_accepted_after_the_bound(self, seed):
        """Guards against freezes, restarts, restores and late answers, in any order."""
        AgeModel(random.Random(seed)).run(STEP_COUNT)

    def test_search_reaches_both_decisions(self):
        """Guards against a search in which nothing is ever accepted or refused."""
        young_count = old_count = 0
        for seed in range(20):
            model = AgeModel(random.Random(seed))
            model.run(STEP_COUNT)
            young_count += model.young_count
            old_count += model.old_count
        self.assertGreater(young_count, 0.2 * (young_count + old_count))
        self.assertGreater(old_count, 0.1 * (young_count + old_count))

    def test_broken_versions_are_found(self):
        """Guards against a search that would not find these faults."""
        for age_class in (
            broken.ResetsAgeByPeerProof,
            broken.ResetsAgeByPeerCopy,
            broken.DatesPeerProofAtReceipt,
            broken.DatesStoreProofAtReceipt,
            broken.IgnoresEras,
            broken.AcceptsProofOfMissingVersion,
        ):
            self.assert_found(lambda rng, cls=age_class: AgeModel(rng, cls), age_class)
        self.assert_found(broken.CountsStaleReads, broken.CountsStaleReads)

    def assert_found(self, build_model, name):
        for seed in range(150):
            try:
                build_model(random.Random(seed)).run(STEP_COUNT)
            except UnprovedAcceptance:
                return
        self.fail(f"{name} was not found")


class StrictFleetTest(unittest.TestCase):
    """Real fleets and feeds on one store."""

    def start_fleet(self, count, seed=1, feed_class=CatalogFeed):
        fleet = MemoryFleet(
            count,
            seed=seed,
            revocation_seconds=BOUND_SECONDS,
            feed_class=feed_class,
        )
        fleet.loop.advance(12.0)
        self.written_at_by_version = {3: fleet.loop.clock.now()}
        return fleet

    def write_version(self, fleet, version):
        fleet.write("config", "main", {"version": version})
        self.written_at_by_version.setdefault(version, fleet.loop.clock.now())

    def unproved_names(self, fleet):
        """Return the processes that refuse keys; check those that accept them."""
        now = fleet.loop.clock.now()
        names = set()
        for name, process in fleet.processes_by_name.items():
            if not process.age.is_young_enough(now):
                names.add(name)
                continue
            installed = process.feed.versions[0]
            for version, written_at in self.written_at_by_version.items():
                if version > installed:
                    self.assertLess(now - written_at, BOUND_SECONDS, name)
        return names

    def watch_fleet(self, fleet, seconds):
        """Return the processes that refuse keys at some time."""
        names = set()
        for _ in range(round(seconds * 10)):
            fleet.loop.advance(0.1)
            names |= self.unproved_names(fleet)
        return names

    def test_calm_fleet_accepts_keys_with_one_call_a_second(self):
        """Guards against proofs that lapse, and against calls of every proxy."""
        for count in (1, 8, 85):
            fleet = self.start_fleet(count)
            fleet.calls_by_name.clear()
            self.assertEqual(self.watch_fleet(fleet, 30.0), set(), count)
            self.assertLessEqual(fleet.call_count()["changes"], 30 + 1, count)

    def test_nothing_is_asked_without_a_bound(self):
        """Guards against calls to the store that the deployment does not need."""
        fleet = MemoryFleet(20)
        fleet.loop.advance(30.0)
        self.assertEqual(fleet.call_count()["changes"], 0)

    def test_processes_that_the_store_turns_away_stay_in_service(self):
        """Guards against refusals by a proxy whose peers reach the store."""
        for count in (8, 85):
            for seed in (1, 2):
                fleet = self.start_fleet(count, seed)
                names = sorted(fleet.processes_by_name)
                turned_away = random.Random(seed).sample(names, count // 2)
                promoters = self.promoter_names(fleet)
                fleet.storeless_names |= {*turned_away, *promoters}
                self.assertEqual(self.watch_fleet(fleet, 20.0), set(), (count, seed))

    def promoter_names(self, fleet):
        return {
            name
            for name, process in fleet.processes_by_name.items()
            if process.fleet.election.is_promoter
        }

    def test_loss_of_the_promoter_does_not_lapse_the_proofs(self):
        """Guards against a fleet whose proofs all depend on one proxy."""
        for count in (8, 85):
            fleet = self.start_fleet(count)
            promoters = self.promoter_names(fleet)
            fleet.silent_names |= promoters
            self.assertEqual(self.watch_fleet(fleet, 10.0) - promoters, set(), count)

    def test_cut_domain_refuses_after_the_bound_and_comes_back(self):
        """Guards against keys that are accepted behind a cut, and a slow return."""
        fleet = self.start_fleet(30)
        names = {
            name
            for name, process in fleet.processes_by_name.items()
            if process.fleet._own_member.failure_domain == "domain-0"
        }
        fleet.cut_domain = "domain-0"
        fleet.storeless_names |= names
        self.assertEqual(self.watch_fleet(fleet, 2.5), set())
        self.write_version(fleet, 9)
        self.assertEqual(self.watch_fleet(fleet, 8.0), names)
        self.assertEqual(self.unproved_names(fleet), names)
        fleet.cut_domain = None
        fleet.storeless_names.clear()
        fleet.loop.advance(2.0)
        self.assertEqual(self.unproved_names(fleet), set())

    def test_outage_of_the_store(self):
        """Guards against early refusals in an outage, and late ones after it."""
        fleet = self.start_fleet(30)
        fleet.calls_by_name.clear()
        fleet.store.available = False
        self.assertEqual(self.watch_fleet(fleet, 2.5), set())
        self.watch_fleet(fleet, 7.5)
        self.assertEqual(len(self.unproved_names(fleet)), 30)
        # The promoter asks once a second, others at most every 1.5 s at first.
        self.assertLess(fleet.call_count()["changes"], 30 * 10 / 2)
        fleet.store.available = True
        fleet.loop.advance(2.5)
        self.assertEqual(self.unproved_names(fleet), set())

    def test_answers_that_take_long_do_not_make_a_proof_younger(self):
        """Guards against a proof that is dated from the receipt of an answer."""
        fleet = self.start_fleet(30)
        fleet.message_seconds = 0.15
        self.watch_fleet(fleet, 5.0)
        fleet.store.available = False
        fleet.loop.advance(1.0)
        proved_at = max(
            process.age.proved_at for process in fleet.processes_by_name.values()
        )
        fleet.loop.advance(4.0)
        for process in fleet.processes_by_name.values():
            self.assertLessEqual(process.age.proved_at, proved_at + 1e-6)

    def test_broken_feeds_are_found(self):
        """Guards against checks that would not find these faults."""
        for feed_class, check in (
            (broken.ProvesByPeerCopies, self.check_restart_from_old_copies),
            (broken.ProvesByStaleReads, self.check_stale_reads),
            (broken.IgnoresLostVersions, self.check_lost_version),
        ):
            with self.assertRaises(AssertionError, msg=feed_class):
                check(feed_class)

    def test_restarted_process_does_not_trust_old_copies(self):
        """Guards against a restart that takes a peer's old copy for the newest."""
        self.check_restart_from_old_copies(CatalogFeed)

    def test_stale_read_is_no_proof(self):
        """Guards against a proof by an answer that is some seconds old."""
        self.check_stale_reads(CatalogFeed)

    def test_restored_store_proves_nothing_before_it_is_whole(self):
        """Guards against an older copy of the store that proves an old version."""
        self.check_restored_store(CatalogFeed)

    def test_store_without_the_newest_version_proves_nothing(self):
        """Guards against a proof by a store that is not yet written to again."""
        self.check_lost_version(CatalogFeed)

    def check_lost_version(self, feed_class):
        fleet = self.start_fleet(8, feed_class=feed_class)
        copied = fleet.store.copy()
        self.write_version(fleet, 7)
        self.watch_fleet(fleet, 2.0)
        fleet.restore(copied)
        restored_at = fleet.loop.clock.now()
        self.watch_fleet(fleet, 3.0)
        for process in fleet.processes_by_name.values():
            self.assertLessEqual(process.age.proved_at, restored_at)

    def check_restart_from_old_copies(self, feed_class):
        fleet = self.start_fleet(30, feed_class=feed_class)
        fleet.store.available = False
        self.watch_fleet(fleet, 6.0)
        fleet.seed_addresses = (("proxy-29", 1),)
        for name in sorted(fleet.processes_by_name)[:6]:
            domain = fleet.processes_by_name[name].fleet._own_member.failure_domain
            fleet.start(name, domain)
        self.watch_fleet(fleet, 4.0)
        versions = {
            process.feed.versions[0] for process in fleet.processes_by_name.values()
        }
        self.assertEqual(versions, {3})
        self.assertEqual(len(self.unproved_names(fleet)), 30)

    def check_stale_reads(self, feed_class):
        fleet = self.start_fleet(30, feed_class=feed_class)
        process = fleet.processes_by_name["proxy-3"]
        fleet.loop.spawn(process.feed.read_configuration(3))
        fleet.loop.advance(0.05)
        self.assertLess(process.age.proved_at, fleet.loop.clock.now() - 0.05)

    def check_restored_store(self, feed_class):
        fleet = self.start_fleet(8, feed_class=feed_class)
        copied = fleet.store.copy()
        # These processes have not heard of the version that the store will lose.
        fleet.silent_names = set(sorted(fleet.processes_by_name)[:4])
        self.write_version(fleet, 7)
        self.watch_fleet(fleet, 2.0)
        fleet.restore(copied)
        fleet.silent_names.clear()
        restored_at = fleet.loop.clock.now()
        self.watch_fleet(fleet, 0.8)
        for process in fleet.processes_by_name.values():
            self.assertLessEqual(process.age.proved_at, restored_at)
        self.write_version(fleet, 7)
        self.watch_fleet(fleet, 10.0)
        self.assertEqual(self.unproved_names(fleet), set())
        for process in fleet.processes_by_name.values():
            self.assertEqual(process.feed.versions[0], 7)

    def test_random_faults(self):
        """Guards against an accepted key in a fleet with any mixture of faults."""
        for seed in range(2):
            rng = random.Random(seed)
            fleet = self.start_fleet(24, seed)
            names = sorted(fleet.processes_by_name)
            for version in range(10, 25):
                self.write_version(fleet, version)
                fleet.silent_names = set(rng.sample(names, rng.choice((0, 3, 8))))
                fleet.storeless_names = set(rng.sample(names, rng.choice((0, 8, 24))))
                fleet.cut_domain = rng.choice((None, None, "domain-0", "domain-1"))
                if rng.random() < 0.3:
                    name = rng.choice(names)
                    process = fleet.processes_by_name[name]
                    fleet.start(name, process.fleet._own_member.failure_domain)
                self.watch_fleet(fleet, rng.choice((0.3, 1.0, 3.0, 6.0)))


if __name__ == "__main__":
    unittest.main()

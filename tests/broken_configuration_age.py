"""Broken variants of the age of the configuration; each accepts keys for too long."""

import math

from cassiahill.catalog_feed import CatalogFeed
from cassiahill.configuration_age import ConfigurationAge
from tests.age_model import AgeModel


class ResetsAgeByPeerProof(ConfigurationAge):
    """Takes a peer's proof for a new one, however old it was there."""

    def record_peer_proof(self, version, age_seconds, asked_at):
        known_age = None if age_seconds is None else 0.0
        super().record_peer_proof(version, known_age, asked_at)


class ResetsAgeByPeerCopy(ConfigurationAge):
    """Takes a configuration that a peer sent for a proof."""

    def record_installed(self, version, now):
        super().record_installed(version, now)
        self._record(version, self.read_clock())


class DatesPeerProofAtReceipt(ConfigurationAge):
    """Does not count the time that the answer of a peer was under way."""

    def record_peer_proof(self, version, age_seconds, asked_at):
        super().record_peer_proof(version, age_seconds, self.read_clock())


class DatesStoreProofAtReceipt(ConfigurationAge):
    """Does not count the time that the answer of the store was under way."""

    def record_proof(self, version, asked_at):
        super().record_proof(version, self.read_clock())


class IgnoresEras(ConfigurationAge):
    """Believes a store that has just returned from an older copy."""

    def record_era(self, era, now):
        self._era_settled_at = -math.inf


class AcceptsProofOfMissingVersion(ConfigurationAge):
    """Takes over the proof of a version that is not installed here."""

    def _record(self, version, proved_at):
        if proved_at > self.proved_at:
            self.proved_at = proved_at
            self.proved_version = version


class CountsStaleReads(AgeModel):
    """Takes an answer that may be stale for a proof."""

    def apply_stale_answer(self, age, version, asked_at):
        super().apply_stale_answer(age, version, asked_at)
        age.record_proof(version, asked_at)


class ProvesByPeerCopies(CatalogFeed):
    """Takes the configuration in a peer's view for the newest one."""

    def apply_view(self, view, peer):
        super().apply_view(view, peer)
        self._age.record_era(self._store.era, -math.inf)
        self._age.record_proof(self._age.known_version, self._loop.clock.now())


class ProvesByStaleReads(CatalogFeed):
    """Takes an answer that may be stale for a proof."""

    def read_configuration(self, version):
        was_read = yield from super().read_configuration(version)
        self._age.record_proof(self._age.installed_version, self._loop.clock.now())
        return was_read


class IgnoresLostVersions(CatalogFeed):
    """Believes a store that holds a lower version than is installed."""

    def _record_proof(self, asked_at, revision):
        super()._record_proof(asked_at, revision)
        self._age.record_proof(self._age.known_version, asked_at)

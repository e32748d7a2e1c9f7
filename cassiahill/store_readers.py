"""Decides which proxies read the shared store and which follow them; does no I/O.

The store limits the calls of all proxies together, and each change ends every watch.
In a small fleet each proxy watches the store. In a larger one a few readers of each
failure domain do, and announce in their heartbeats which revisions they know. The other
proxies fetch what is newer. A proxy whose readers are silent, or are turned away by the
store, reads it by itself.

The decision is meant for the start of a large fleet, when all proxies register at the
same time, and for the loss of all readers of a failure domain.
"""

import attrs
import xxhash

from cassiahill import rendezvous
from cassiahill.regions import Regions
from cassiahill.shared_store import MAX_WATCH_SECONDS

READERS_PER_DOMAIN = 2  # One reads while the other restarts.
MAX_INDEPENDENT_PROXIES = 16  # Largest fleet in which every proxy reads the store.
# A proxy that is new to the store waits this long for others that start with it.
REGISTRATION_WAIT_SECONDS = 2.5
# Time without a reader's answer after which a proxy reads the store by itself. Several
# readers are asked in this time.
FOLLOWING_TIMEOUT_SECONDS = 2.0
# Time after which a proxy asks its preferred reader again, in its own failure domain.
PREFERRED_RETRY_SECONDS = 5.0
# Longest wait of a watch where each proxy watches, and of the first reader of a domain
# otherwise. A lost watch is noticed soon enough for a change that follows an outage.
INDEPENDENT_WATCH_SECONDS = 4.0
FIRST_READER_WATCH_SECONDS = 7.0
# Part of the timeout by which the proxies of a domain differ, so that they do not call
# the store at the same moment.
TIMEOUT_SPREAD = 0.5


@attrs.frozen
class StoreReaders:
    """The proxies that read the store.

    Attributes
    ----------
    every_proxy_reads : bool
    names_by_domain : dict of str to list of str
        Names of the readers of each failure domain, preferred ones first.
    domains_by_name : dict of str to str
        Failure domain of each reader.
    """

    every_proxy_reads: bool
    names_by_domain: dict
    domains_by_name: dict

    def includes_proxy(self, name, domain):
        """Return whether a proxy is a reader."""
        return self.every_proxy_reads or name in self.names_by_domain.get(domain, ())

    def announces(self, name, domain):
        """Return whether a proxy is the one that announces changes to its domain."""
        names = self.names_by_domain.get(domain, ())
        return not self.every_proxy_reads and names[:1] == [name]

    def candidates(self, domain, regions=None):
        """Return the readers of a failure domain, and those of all others.

        Parameters
        ----------
        domain : str
        regions : regions.Regions or None
            The other domains of the own region come before those of other regions.
            None in a deployment without regions.

        Returns
        -------
        tuple of (list of str, list of str)
        """
        regions = regions or Regions(domain)
        other_domains = regions.nearest_first(set(self.names_by_domain) - {domain})
        return list(self.names_by_domain.get(domain, ())), [
            name for other in other_domains for name in self.names_by_domain[other]
        ]


def choose_readers(domains_by_name):
    """Return the ``StoreReaders`` of a fleet.

    Parameters
    ----------
    domains_by_name : dict of str to str
        Failure domain of each proxy, by the proxy's name.
    """
    every_proxy_reads = len(domains_by_name) <= MAX_INDEPENDENT_PROXIES
    readers_per_domain = None if every_proxy_reads else READERS_PER_DOMAIN
    names_by_domain = {
        domain: names[:readers_per_domain]
        for domain, names in rendezvous.rank_by_domain("store", domains_by_name).items()
    }
    return StoreReaders(
        every_proxy_reads,
        names_by_domain,
        {name: domain for domain, names in names_by_domain.items() for name in names},
    )


class ReaderFollowing:
    """Whether one proxy reads the store, and which reader it follows otherwise.

    Parameters
    ----------
    own_name, own_domain : str
    rng : random.Random
    now : float
    regions : regions.Regions or None
        None in a deployment without regions.

    Attributes
    ----------
    readers : StoreReaders
    fleet_known : bool
        Whether the members that are known are those of the whole fleet. A proxy that
        starts with all others does not know them at first.
    """

    def __init__(self, own_name, own_domain, rng, now, regions=None):
        self._regions = regions or Regions(own_domain)
        self._own_name = own_name
        self._own_domain = own_domain
        self._timeout_seconds = FOLLOWING_TIMEOUT_SECONDS * (
            1 + TIMEOUT_SPREAD * rng.random()
        )
        self._rotation = xxhash.xxh3_64_intdigest(own_name.encode())
        self._candidate_index = 0
        self._retry_preferred_at = now
        self._read_alone_at = now + self._timeout_seconds
        self.readers = choose_readers({own_name: own_domain})
        self.fleet_known = False

    def update_members(self, domains_by_name):
        """Choose the readers again after a change of the members."""
        self.readers = choose_readers(
            {**domains_by_name, self._own_name: self._own_domain}
        )

    def is_reader(self):
        """Return whether this proxy is one of the chosen readers."""
        return self.fleet_known and self.readers.includes_proxy(
            self._own_name, self._own_domain
        )

    def reads_store(self, now):
        """Return whether this proxy reads the store by itself."""
        if not self.fleet_known:
            return False
        return self.is_reader() or now >= self._read_alone_at

    def watch_wait_seconds(self):
        """Return the longest wait of this proxy's watches.

        In a large fleet only the first reader of each failure domain renews its watches
        often. Its peers hear from it what their own watches have missed.
        """
        if self.readers.every_proxy_reads:
            return INDEPENDENT_WATCH_SECONDS
        own_readers, _ = self.readers.candidates(self._own_domain)
        if own_readers[:1] == [self._own_name]:
            return FIRST_READER_WATCH_SECONDS
        return MAX_WATCH_SECONDS

    def reader_to_ask(self):
        """Return the name of the reader that this proxy follows, or None.

        The proxies of a failure domain spread over its readers.
        """
        own_readers, other_readers = self.readers.candidates(
            self._own_domain, self._regions
        )
        rotation = self._rotation % max(1, len(own_readers))
        names = own_readers[rotation:] + own_readers[:rotation] + other_readers
        names = [name for name in names if name != self._own_name]
        return names[self._candidate_index % len(names)] if names else None

    def record_answer(self, name, reads_store, now):
        """Record a proxy's answer.

        Parameters
        ----------
        name : str
        reads_store : bool
            Whether that proxy reads the store and the store answers it.
        now : float
        """
        if not reads_store:
            self.record_failure(name, now)
            return
        self._read_alone_at = now + self._timeout_seconds
        if now >= self._retry_preferred_at:
            self._candidate_index = 0

    def record_failure(self, name, now):
        """Record that a proxy did not answer; ask the next reader if it was one."""
        if name == self.reader_to_ask():
            self._candidate_index += 1
            self._retry_preferred_at = now + PREFERRED_RETRY_SECONDS

    def restart_timeout(self, now):
        """Restart the timeout after a time in which no answer could arrive."""
        self._read_alone_at = now + self._timeout_seconds

"""Reads the shared store, or follows a reader of it and fetches what is newer.

``store_readers`` decides which of the two. This module makes the calls: to the store,
and to the members that announce newer versions.
"""

from cassiahill import (
    errors,
    event_log,
    heartbeats,
    member_registry,
    promoter_election,
    store_readers,
)

# Pause of a process without a reader after the store has not answered it.
STORE_RETRY_SECONDS = 1.0
# Once the store answers a follower again, its readers usually notice in this time.
READERS_RETURN_SECONDS = 2.0
VIEW_TIMEOUT_SECONDS = 0.8


class StoreFollower:
    """How this process learns of changes in the shared store.

    Parameters
    ----------
    loop : loop.EventLoop
    store : shared_store.SharedStore
    own_member : heartbeats.Member
    registry : member_registry.MemberRegistry
    client : member_client.MemberClient
    process_state : process_state.ProcessState
    rng : random.Random
    regions : regions.Regions

    Attributes
    ----------
    following : store_readers.ReaderFollowing
    reads_store : bool
        Whether this process watches the store itself.
    """

    def __init__(
        self, loop, store, own_member, registry, client, process_state, rng, regions
    ):
        self._loop = loop
        self._store = store
        self._own_member = own_member
        self._registry = registry
        self._client = client
        self._process_state = process_state
        self._rng = rng
        self._fetching_view = False
        self._asking_store = False
        self._announced_versions = None
        self.following = store_readers.ReaderFollowing(
            own_member.name, own_member.failure_domain, rng, loop.clock.now(), regions
        )
        self.reads_store = False

    def update_members(self):
        """Choose the readers again after a change of the members."""
        if self._registry.fleet_known and not self.following.fleet_known:
            self.following.fleet_known = True
            if not self._registry.started_with_fleet:
                # Clients may be waiting for this process, so it waits for no reader.
                self._process_state.request_lists()
        self.following.update_members(
            {
                member.name: member.failure_domain
                for member in self._registry.members_by_name.values()
            }
        )

    def store_answers(self):
        """Return whether this process reads the store, and the store answers it."""
        return bool(
            self.reads_store
            and not self._process_state.is_store_unreachable()
            and not self._registry.watcher.is_store_unreachable
        )

    def update(self, is_promoter, now):
        """Let the watchers rest while this process follows a reader.

        Parameters
        ----------
        is_promoter : bool
            The promoter reads the store in any case.
        now : float
        """
        wait_seconds = self.following.watch_wait_seconds()
        self._process_state.set_watch_wait(wait_seconds)
        if self.following.readers.every_proxy_reads:
            self._registry.watcher.wait_seconds = wait_seconds
        is_reader = is_promoter or self.following.is_reader()
        if is_reader or not self.following.reads_store(now):
            self._set_reads_store(is_reader)
        elif not self.reads_store and not self._asking_store:
            self._asking_store = True
            self._loop.spawn(self._read_store_if_it_answers())

    def _read_store_if_it_answers(self):
        """Read the store without a reader, after one cheap call has succeeded; a task.

        While the store is away, the calls of all followers would add to its load. When
        it is back, the readers get the time to notice.
        """
        try:
            yield self._store.get(
                member_registry.PROXIES_KIND,
                promoter_election.PROMOTER_NAME,
                may_be_stale=True,
            )
            yield self._loop.sleep_until(
                self._loop.clock.now() + READERS_RETURN_SECONDS
            )
            if self.following.reads_store(self._loop.clock.now()):
                self._set_reads_store(True)
        except errors.CassiahillError as error:
            event_log.event("store_unreachable", cause=error.detail)
            yield self._loop.sleep_until(
                self._loop.clock.now()
                + STORE_RETRY_SECONDS * (0.5 + self._rng.random())
            )
        finally:
            self._asking_store = False

    def _set_reads_store(self, reads_store):
        if reads_store == self.reads_store:
            return
        self.reads_store = reads_store
        event_log.event(
            "store_read" if reads_store else "store_followed",
            reader=self.following.is_reader(),
            members=len(self._registry.members_by_name),
        )
        self._registry.watcher.set_resting(not reads_store)
        self._process_state.set_following(not reads_store)

    def has_news_to_announce(self):
        """Return whether this process announces changes and has some; note them."""
        versions = (*self._process_state.versions(), self._registry.revision)
        announces = self.reads_store and self.following.readers.announces(
            self._own_member.name, self._own_member.failure_domain
        )
        if not announces or versions == self._announced_versions:
            return False
        self._announced_versions = versions
        return True

    def catch_up_with(self, member, announced):
        """Fetch what a member's message announces and this process lacks.

        Servers and members are taken from the reader that this process follows, or from
        any member while the store does not answer.

        Parameters
        ----------
        member : Member
        announced : heartbeats.Heartbeat or heartbeats.HeartbeatAnswer
        """
        version, servers_revision = self._process_state.versions()
        if announced.reads_store:
            self._process_state.record_announcement(announced.servers_as_of)
            self._registry.watcher.record_announcement(announced.members_as_of)
        follows = not self.reads_store and announced.reads_store
        newer_servers = announced.servers_as_of > servers_revision and (
            follows or self._process_state.is_store_unreachable()
        )
        newer_members = follows and announced.members_as_of > self._registry.revision
        newer_configuration = announced.version > version
        if self._fetching_view:
            return
        if newer_configuration or newer_servers or newer_members:
            self._fetching_view = True
            self._loop.spawn(self._catch_up(member, announced.version))

    def _catch_up(self, member, version):
        """Fetch what is newer from a member, or from the store if it is large; a task.

        Parameters
        ----------
        member : Member
        version : int
            Announced version of the configuration.
        """
        follows = not self.reads_store
        try:
            yield from self.fetch_view(
                member.name, member.address, accepts_large=not follows
            )
            if follows and version > self._process_state.versions()[0]:
                was_read = yield from self._process_state.read_configuration(version)
                if not was_read:
                    yield from self.fetch_view(member.name, member.address)
        finally:
            self._fetching_view = False

    def fetch_view(self, name, address, accepts_large=True):
        """Fetch a member's ``View`` and apply it; a task.

        The store, which sends its lists in pages, is asked for what is too long for a
        view.
        """
        version, servers_revision = self._process_state.versions()
        members_revision = self._registry.revision
        known = heartbeats.KnownVersions(
            version,
            servers_revision.number,
            members_revision.number,
            int(accepts_large),
            servers_revision.era,
            members_revision.era,
        )
        deadline = self._loop.clock.now() + VIEW_TIMEOUT_SECONDS
        try:
            view = yield from self._client.fetch_view(address, known, deadline)
        except errors.ResponseTooLarge:
            event_log.event("view_too_large", peer=name)
            self._process_state.request_lists()
            self._registry.watcher.request_list()
            return
        except errors.CassiahillError as error:
            event_log.event("view_failed", peer=name, cause=repr(error))
            return
        self._process_state.apply_view(view, name)
        self._registry.apply_view(view, self.reads_store)

"""What the store and the other proxies know of a group, asked for a promotion.

A promoter may have started, or missed a change, after a replica acknowledged commits.
Each acknowledgement that a client got has passed a proxy, though, and the store lists
the servers that are registered now.
"""

import math

from cassiahill import errors, event_log, heartbeats
from cassiahill.loop import completed_future
from cassiahill.missing_commits import REMOVED_REPLICA_WAIT_SECONDS
from cassiahill.shared_store import Revision

# The store and reachable proxies answer in milliseconds; the group waits meanwhile.
EVIDENCE_TIMEOUT_SECONDS = 0.25


class PromotionEvidence:
    """Interface to what others know; this one has nobody to ask."""

    def update_servers(self):
        """Apply the store's present list of servers to the group.

        Returns
        -------
        loop.LoopFuture
            Future of whether the store has answered.
        """
        return completed_future(True)

    def servers_complete_at(self):
        """Return when the list of servers will be complete.

        Returns
        -------
        float
            See ``list_completeness.ListCompleteness.complete_at``.
        """
        return -math.inf

    def servers_listed_since(self):
        """Return the instant since which the store has listed the servers.

        Returns
        -------
        float
            Infinite while it does not answer.
        """
        return math.inf

    def own_term(self):
        """Return the ``Revision`` of this process's term as the promoter, or None."""
        return Revision()

    def ask_about_promotion(self, group, successor):
        """Ask the other proxies what a server that is about to be promoted must have.

        Parameters
        ----------
        group : str
        successor : str

        Returns
        -------
        loop.LoopFuture
            Future of a list of ``positions.LogPosition``: for each proxy that has
            answered, the newest commit of the group that it has seen acknowledged
            before. None if a proxy knows a newer promoter, so that this process is
            none any more.
        """
        return completed_future([])

    def replicas_known_to_others(self, group):
        """Return ids of the replicas that the proxies named in their last answers.

        Parameters
        ----------
        group : str

        Returns
        -------
        set of str
        """
        return set()

    def removed_by_others(self, group):
        """Return for how long other proxies have removed replicas, by their ids.

        As ``replicas_known_to_others``.
        """
        return {}


def answer_notice(notice, group, election):
    """Apply a notice of a promotion unless a newer promoter is known.

    Parameters
    ----------
    notice : heartbeats.PromotionNotice
    group : server_group.ServerGroup or None
        None if this process does not know the group.
    election : promoter_election.PromoterElection

    Returns
    -------
    heartbeats.NewestCommit
    """
    position = None if group is None else group.acknowledged_commits.position
    term = notice.promoter_term
    if term is not None and not election.record_term(term):
        event_log.event(
            "promotion_notice_ignored",
            group=notice.group,
            successor=notice.successor,
            revision=term.number,
            era=term.era,
            newest_revision=election.newest_term.number,
            newest_era=election.newest_term.era,
        )
        return heartbeats.encode_commit(position, election.newest_term)
    commit = heartbeats.encode_commit(position)
    event_log.event(
        "promotion_announced",
        group=notice.group,
        successor=notice.successor,
        acknowledged=position,
    )
    if group is not None:
        commit.replica_ids = sorted(set(group.pools_by_id) - {group.primary.server_id})
        commit.removed_seconds_by_id = group.removed_seconds_by_id(
            REMOVED_REPLICA_WAIT_SECONDS
        )
    return commit


class FleetEvidence(PromotionEvidence):
    """Asks the shared store and the proxies that are connected to a group.

    Parameters
    ----------
    loop : loop.EventLoop
    catalog_feed : catalog_feed.CatalogFeed
    fleet : session_fleet.SessionFleet
    owner_names : callable
        Returns the names of the proxies that own a group.
    """

    def __init__(self, loop, catalog_feed, fleet, owner_names):
        self._loop = loop
        self._catalog_feed = catalog_feed
        self._fleet = fleet
        self._owner_names = owner_names
        self._replica_ids_by_group = {}
        self._removed_seconds_by_group = {}

    def replicas_known_to_others(self, group):
        """Return ids of the replicas that the proxies named in their last answers."""
        return self._replica_ids_by_group.get(group, set())

    def removed_by_others(self, group):
        """Return for how long other proxies have removed replicas, by their ids."""
        return self._removed_seconds_by_group.get(group, {})

    def update_servers(self):
        """Return the future of whether the list of servers is up to date."""
        deadline = self._loop.clock.now() + EVIDENCE_TIMEOUT_SECONDS
        return self._loop.spawn(self._catalog_feed.update_servers(deadline))

    def servers_complete_at(self):
        """Return when this process's list of servers will be complete."""
        return self._catalog_feed.completeness.complete_at

    def servers_listed_since(self):
        """Return the instant since which the store has answered this process."""
        return self._catalog_feed.completeness.answered_since

    def own_term(self):
        """Return the ``Revision`` of this process's term as the promoter, or None."""
        return self._fleet.election.term_revision

    def ask_about_promotion(self, group, successor):
        """Return the future of the newest commits that other proxies have seen."""
        term = self._fleet.election.term_revision
        if term is None:
            return completed_future(None)
        notice = heartbeats.PromotionNotice(group, successor, term.era, term.number)
        return self._loop.spawn(self._tell_proxies(group, notice))

    def _tell_proxies(self, group, notice):
        deadline = self._loop.clock.now() + EVIDENCE_TIMEOUT_SECONDS
        names = self._fleet.reports.watchers_of(group) | self._owner_names(group)
        # A former promoter that the store does not answer learns of its succession.
        names = {*names, self._fleet.election.predecessor_name}
        members = self._fleet.other_members(names)
        futures = [
            self._loop.spawn(self._tell_proxy(member, notice, deadline))
            for member in members
        ]
        commits = []
        for future in futures:
            commits.append((yield future))
        if any(commit.newer_term is not None for commit in commits):
            return None
        self._replica_ids_by_group[group] = {
            server_id for commit in commits for server_id in commit.replica_ids
        }
        self._removed_seconds_by_group[group] = {
            server_id: seconds
            for commit in commits
            for server_id, seconds in commit.removed_seconds_by_id.items()
        }
        return [commit.position for commit in commits if commit.position is not None]

    def _tell_proxy(self, member, notice, deadline):
        try:
            commit = yield from self._fleet.ask_about_promotion(
                member, notice, deadline
            )
        except errors.CassiahillError as error:
            event_log.event(
                "promotion_unannounced",
                group=notice.group,
                peer=member.name,
                cause=error.detail,
            )
            return heartbeats.NewestCommit()
        if commit.newer_term is not None:
            self._fleet.election.record_term(commit.newer_term)
        return commit

"""What the promoter learns from the heartbeats of all proxies; does no I/O."""

import collections

from cassiahill import primary_symptoms

REPORT_MAX_AGE_SECONDS = 1.2


class HeartbeatReports:
    """The newest heartbeat of each proxy, and what they say together.

    Attributes
    ----------
    total_demand_by_group : dict of str to float
        Sum of the statements that wait or run, by group.
    """

    def __init__(self):
        self._heartbeats_by_member = {}
        self._unreachable_since_by_group = {}
        self.total_demand_by_group = {}

    def record(self, heartbeat, now):
        """Record a heartbeat."""
        self._heartbeats_by_member[heartbeat.name] = (now, heartbeat)

    def update(self, own_demand_by_group, now):
        """Sum up the heartbeats that are recent.

        Parameters
        ----------
        own_demand_by_group : dict of str to float
            Demand of this process.
        now : float
        """
        self._heartbeats_by_member = {
            name: (received_at, heartbeat)
            for name, (received_at, heartbeat) in self._heartbeats_by_member.items()
            if now - received_at < REPORT_MAX_AGE_SECONDS
        }
        heartbeats = [heartbeat for _, heartbeat in self._heartbeats_by_member.values()]
        self._update_unreachable_primaries(heartbeats, now)
        totals = collections.Counter(own_demand_by_group)
        for heartbeat in heartbeats:
            totals.update(heartbeat.demand_by_group)
        self.total_demand_by_group = dict(totals)

    def demand_by_member(self, group):
        """Return the demand that each proxy has reported for a group, by its name."""
        return {
            name: heartbeat.demand_by_group[group]
            for name, (_, heartbeat) in self._heartbeats_by_member.items()
            if group in heartbeat.demand_by_group
        }

    def watchers_of(self, group):
        """Return the names of the proxies that are connected to a group's servers."""
        return {
            name
            for name, (_, heartbeat) in self._heartbeats_by_member.items()
            if group in heartbeat.watched
        }

    def primary_unreachable_since(self, group):
        """Return the instant since which many proxies do not reach a group's primary.

        Returns
        -------
        float or None
            None when no large share of the proxies reports it.
        """
        return self._unreachable_since_by_group.get(group)

    def _update_unreachable_primaries(self, heartbeats, now):
        groups = {group for heartbeat in heartbeats for group in heartbeat.lacking}
        for group in groups | set(self._unreachable_since_by_group):
            unreachable_count = sum(
                group in heartbeat.lacking for heartbeat in heartbeats
            )
            connected_count = 1 + sum(
                group in heartbeat.watched for heartbeat in heartbeats
            )
            share = unreachable_count / connected_count
            if share >= primary_symptoms.UNREACHABLE_REPORTS_SHARE:
                self._unreachable_since_by_group.setdefault(group, now)
            else:
                self._unreachable_since_by_group.pop(group, None)

"""Replication of the database stand-in: pulls the primary's log and applies it late."""

import collections

from cassiahill import errors, http1
from standins import sqllog

# A pull waits this long for new entries, so it is also the heartbeat interval.
PULL_WAIT_MS = 200
PULL_TIMEOUT_SECONDS = 0.75


class Replication:
    """Pulls log entries for a database.

    Parameters
    ----------
    database : database.Database
    """

    def __init__(self, database):
        self._database = database
        self._generation = 0

    def stop(self):
        """Pull nothing more."""
        self._generation += 1

    def follow(self, address):
        """Pull the log of the primary at an address from now on.

        Parameters
        ----------
        address : str
            Host and port.
        """
        self.stop()
        host, _, port = address.rpartition(":")
        self._database.loop.spawn(
            self._pull_entries(self._generation, (host, int(port)))
        )

    def _pull_entries(self, generation, address):
        """Pull log entries from a primary until this server follows another one."""
        connection = None
        received_position = self._database.log.position
        delayed_entries = collections.deque()
        while generation == self._generation:
            try:
                if connection is None or connection.closed:
                    connection = http1.ClientConnection(self._database.loop, address)
                    received_position = self._database.log.position
                    delayed_entries.clear()
                received_term = (
                    delayed_entries[-1][1].term
                    if delayed_entries
                    else self._database.log.term_at(received_position)
                )
                path = (
                    f"/log?after={received_position}&after_term={received_term}"
                    f"&term={self._database.term}&wait_ms={PULL_WAIT_MS}"
                )
                response = yield self._database.loop.with_deadline(
                    connection.request(
                        "GET", path, headers=((b"Domain", self._domain_header_value()),)
                    ),
                    self._database.clock.now() + PULL_TIMEOUT_SECONDS,
                    errors.ConnectionLost("the primary did not answer in time"),
                )
                answer = http1.decode_response(response)
            except errors.CassiahillError:
                if connection is not None:
                    connection.close()
                connection = None
                yield self._database.loop.sleep_until(self._database.clock.now() + 0.1)
                continue
            if generation != self._generation:
                break
            self._database.primary_heard_at = self._database.clock.now()
            if answer.get("truncate"):
                self.truncate_to_history(answer["starts"])
                received_position = self._database.log.position
                delayed_entries.clear()
                continue
            apply_at = self._database.clock.now() + self._database.faults.lag_ms / 1000
            for entry_body in answer["entries"]:
                entry = sqllog.LogEntry(entry_body["term"], entry_body["statements"])
                delayed_entries.append((apply_at, entry))
                received_position += 1
            self._apply_due_entries(generation, delayed_entries)
            if received_position == answer["end"] and not delayed_entries:
                self._database.recovering = False
        if connection is not None:
            connection.close()

    def _domain_header_value(self):
        """Return the value of the ``Domain`` header for requests to the primary."""
        return self._database.options.domain.encode()

    def _apply_due_entries(self, generation, delayed_entries):
        """Append the entries whose ``lag_ms`` has passed; schedule the others."""
        changed = False
        while delayed_entries and delayed_entries[0][0] <= self._database.clock.now():
            if generation != self._generation:
                return
            self._database.log.append(delayed_entries.popleft()[1])
            changed = True
        if changed:
            self._database.status_changes.notify_all()
        if delayed_entries:
            self._database.loop.call_at(
                delayed_entries[0][0],
                lambda: self._apply_due_entries(generation, delayed_entries),
            )

    def truncate_to_history(self, primary_term_starts):
        """Drop the log suffix that the primary's history does not have."""
        ends_by_term = {}
        for (term, _), (_, next_start) in zip(
            primary_term_starts, primary_term_starts[1:], strict=False
        ):
            ends_by_term[term] = next_start - 1
        own_last_term = self._database.log.last_term
        end_position = ends_by_term.get(own_last_term)
        if own_last_term not in dict(primary_term_starts):
            # The primary's history has no entry of that term, so drop the whole term.
            end_position = (
                dict(self._database.log.term_starts()).get(own_last_term, 1) - 1
            )
        elif end_position is None:
            end_position = self._database.log.position - 1
        kept_position = min(end_position, self._database.log.position - 1)
        self._database.counts["entries_dropped"] += (
            self._database.log.position - kept_position
        )
        self._database.log.truncate(max(0, kept_position))

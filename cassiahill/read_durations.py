"""Usual duration of the reads of each database; does no I/O."""

INITIAL_READ_SECONDS = 0.03  # Assumed duration of a read before the first one.
READ_SECONDS_WEIGHT = 0.1  # Weight of the newest read in the moving average.


class ReadDurations:
    """Moving averages of the durations of reads."""

    def __init__(self):
        self._seconds_by_database = {}

    def usual_seconds(self, database):
        """Return the usual duration of a database's reads, in seconds."""
        return self._seconds_by_database.get(database, INITIAL_READ_SECONDS)

    def record(self, database, seconds):
        """Add the duration of one read."""
        usual_seconds = self.usual_seconds(database)
        self._seconds_by_database[database] = usual_seconds + READ_SECONDS_WEIGHT * (
            seconds - usual_seconds
        )

"""The accepted configuration: its stored record and the conditional update.

The platform stores one record. Each accepted update replaces it and increases the
generation, on the condition that no other update replaced the record in between.
"""

import attrs
import msgspec

from cassiahill import clock, errors, objects

OBJECT_KIND = "configuration"
OBJECT_NAME = "current"
# These limits keep the record small enough to fit into one object together with the
# largest document.
MAX_CHANGES = 100
MAX_CHANGE_CHARACTERS = 120
MAX_EARLIER_UPDATES = 50
MAX_AUTHOR_CHARACTERS = 100
_ATTEMPT_TIMEOUT_SECONDS = 1.0
# Takes the place of a value in a document that does not have the key.
_ABSENT = "(absent)"


@attrs.frozen
class Change:
    """A difference in one key; ``before`` and ``after`` are JSON texts."""

    key: str
    before: str
    after: str

    def __str__(self):
        return f"{self.key}: {self.before} -> {self.after}"


@attrs.frozen
class AcceptedConfiguration:
    """An accepted configuration.

    Attributes
    ----------
    generation : int
        Increases by one with each accepted update; 0 if none has been accepted.
    update_id : str
        Identifies the update, so that its author finds it after a lost answer.
    by : str
        Author of the update.
    at_ms : int
        Wall-clock time at the author's host in milliseconds; only displayed.
    changes : tuple of Change
        The first ``MAX_CHANGES`` changes against the previous generation.
    change_count : int
        Number of all changes.
    document : dict
        The shared tables of the settings.
    earlier : tuple of str
        Ids of the most recent previous updates, latest first.
    version : int
        Version of the platform object; not part of the record.
    """

    generation: int
    update_id: str = ""
    by: str = ""
    at_ms: int = 0
    changes: tuple[Change, ...] = ()
    change_count: int = 0
    document: dict = attrs.field(factory=dict)
    earlier: tuple[str, ...] = ()
    version: int = 0

    def describe(self):
        """Return generation, author and changes in one line."""
        listed = "; ".join(map(str, self.changes[:5]))
        omitted = self.change_count - min(5, len(self.changes))
        suffix = f" and {omitted} more" if omitted > 0 else ""
        return (
            f"generation {self.generation} by {self.by}: {listed or 'nothing'}{suffix}"
        )


NO_CONFIGURATION = AcceptedConfiguration(0)


def encode(accepted):
    """Return the record of an accepted configuration as JSON bytes."""
    record = attrs.asdict(accepted)
    del record["version"]
    return msgspec.json.encode(record)


def decode(value, version=0):
    """Return the ``AcceptedConfiguration`` in a record.

    Parameters
    ----------
    value : bytes
        The record as JSON.
    version : int
        Version of the platform object that holds the record.

    Raises
    ------
    errors.InvalidSettings
        When the bytes are not the record of an accepted configuration.
    """
    try:
        accepted = msgspec.json.decode(value, type=AcceptedConfiguration)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.InvalidSettings(f"{OBJECT_KIND}/{OBJECT_NAME}: {error}") from error
    if accepted.generation < 1:
        raise errors.InvalidSettings(
            f"{OBJECT_KIND}/{OBJECT_NAME}: the generation is not positive"
        )
    return attrs.evolve(accepted, version=version)


def compare(before, after):
    """Return the differences between two documents, ordered by key.

    Returns
    -------
    list of Change
    """
    old = dict(_encoded_values((), before))
    new = dict(_encoded_values((), after))
    return [
        Change(".".join(path), old.get(path, _ABSENT), new.get(path, _ABSENT))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]


def _encoded_values(path, value):
    """Yield the path and the JSON text of each value that is not a table.

    An empty table below the top is a value, so that its removal shows.
    """
    if isinstance(value, dict) and (value or not path):
        for key, child in value.items():
            yield from _encoded_values((*path, key), child)
    else:
        yield path, msgspec.json.encode(value).decode()


def read(store, deadline):
    """Return the accepted configuration, or ``NO_CONFIGURATION`` if there is none."""
    try:
        stored = store.get(OBJECT_KIND, OBJECT_NAME, deadline)
    except errors.NotFound:
        return NO_CONFIGURATION
    return decode(stored.value, stored.version)


def next_configuration(current, document, by, at_ms, update_id):
    """Return the configuration of the next generation.

    Parameters
    ----------
    current : AcceptedConfiguration
        The configuration that is replaced.
    document : dict
        The new shared tables.
    by : str
        Author of the update.
    at_ms : int
        Wall-clock time of the update in milliseconds.
    update_id : str

    Returns
    -------
    AcceptedConfiguration
    """
    changes = compare(current.document, document)
    recorded_changes = tuple(
        Change(*(_truncate(text) for text in attrs.astuple(change)))
        for change in changes[:MAX_CHANGES]
    )
    earlier = (current.update_id, *current.earlier)[:MAX_EARLIER_UPDATES]
    return AcceptedConfiguration(
        generation=current.generation + 1,
        update_id=update_id,
        by=by[:MAX_AUTHOR_CHARACTERS],
        at_ms=at_ms,
        changes=recorded_changes,
        change_count=len(changes),
        document=document,
        earlier=earlier if current.generation else (),
        version=current.version,
    )


def _truncate(text):
    if len(text) <= MAX_CHANGE_CHARACTERS:
        return text
    return text[: MAX_CHANGE_CHARACTERS - 3] + "..."


@attrs.frozen
class Update:
    """An update of the configuration that an operator requests.

    Attributes
    ----------
    document : dict
        The new shared tables, already checked.
    base_generation : int
        Generation that the operator compared the document with.
    by : str
        Author of the update.
    at_ms : int
        Wall-clock time of the update in milliseconds.
    update_id : str
        Unique id, chosen by the caller of ``apply``.
    """

    document: dict
    base_generation: int
    by: str
    at_ms: int
    update_id: str


def apply(store, update, deadline, clock_source=None):
    """Store an update as the accepted configuration.

    After a lost answer, the same conditional put is sent again. It replaces only the
    version that the first attempt replaces, so it takes effect at most once. When the
    store reports a conflict, reading the record shows whether an earlier attempt of
    this update or another update caused it.

    Parameters
    ----------
    store : objects.ObjectStore
        Usually a ``RetryingObjectStore``, which delays repeated attempts.
    update : Update
    deadline : float
        Instant of ``clock_source`` in seconds.
    clock_source : clock.Clock or None
        The system's clock if not given.

    Returns
    -------
    AcceptedConfiguration
        The configuration of this update, even if another update has followed it.

    Raises
    ------
    errors.Conflict
        When another update was accepted first; the message describes it, and the
        attribute ``accepted`` holds it.
    errors.PlatformUnavailable
        When the platform does not answer by the deadline; ``may_have_run`` tells
        whether the update may have taken effect.
    """
    now = (clock_source or clock.SystemClock()).now
    current = read(store, deadline)
    if current.generation != update.base_generation:
        _raise_conflict(update, current)
    proposed = next_configuration(
        current, update.document, update.by, update.at_ms, update.update_id
    )
    value = encode(proposed)
    may_have_run = False
    while True:
        attempt_deadline = min(deadline, now() + _ATTEMPT_TIMEOUT_SECONDS)
        try:
            stored = store.put(
                OBJECT_KIND, OBJECT_NAME, value, current.version, attempt_deadline
            )
            return attrs.evolve(proposed, version=stored.version)
        except errors.Conflict:
            break
        except errors.PlatformUnavailable as error:
            may_have_run = (
                may_have_run or error.may_have_run is not errors.MayHaveRun.NO
            )
            if now() >= deadline:
                raise _unavailable_error(update, may_have_run) from error
    return _resolve_conflict(store, proposed, update, may_have_run, deadline)


def _resolve_conflict(store, proposed, update, may_have_run, deadline):
    """Return the update's configuration if an earlier attempt stored it, else raise."""
    try:
        current = read(store, deadline)
    except errors.PlatformUnavailable as error:
        raise _unavailable_error(update, may_have_run) from error
    if current.update_id == update.update_id:
        return current
    if update.update_id in current.earlier:
        return proposed
    return _raise_conflict(update, current)


def _unavailable_error(update, may_have_run):
    if not may_have_run:
        detail = "the platform did not answer; nothing was changed"
        return errors.PlatformUnavailable(detail, may_have_run="no")
    return errors.PlatformUnavailable(
        f"the platform did not answer; update {update.update_id} may have taken "
        "effect; show the configuration before applying it again"
    )


def _raise_conflict(update, current):
    error = errors.Conflict(
        f"the files were compared with generation {update.base_generation}, "
        f"but the accepted configuration is {current.describe()}"
    )
    error.accepted = current
    raise error


class InstalledConfiguration:
    """The configuration that a process uses; its generation never decreases."""

    def __init__(self):
        self.accepted = NO_CONFIGURATION

    @property
    def generation(self):
        """Generation in use; 0 before a configuration is installed."""
        return self.accepted.generation

    def install_if_newer(self, accepted):
        """Install a configuration if it is newer; return whether it was installed."""
        if accepted.generation <= self.accepted.generation:
            return False
        self.accepted = accepted
        return True


def build_platform_store(proxy_settings, clock_source=None, ssl_context=None):
    """Return the platform's object store that the settings of a process name.

    Parameters
    ----------
    proxy_settings : settings.ProxySettings
    clock_source : clock.Clock or None
    ssl_context : ssl.SSLContext or None

    Returns
    -------
    objects.RetryingObjectStore
    """
    return objects.RetryingObjectStore(
        objects.HttpObjectStore(
            proxy_settings.platform_address,
            proxy_settings.failure_domain,
            clock_source,
            ssl_context,
        ),
        clock_source=clock_source,
    )

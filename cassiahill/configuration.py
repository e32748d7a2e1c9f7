"""Accepted configuration: generations, differences, and the conditional update."""

import attrs
import msgspec

from cassiahill import clock, errors, objects

KIND = "configuration"
NAME = "current"
# A record lists this many changes and earlier updates at most, so that it fits into one
# object together with the largest document.
MAX_CHANGES = 100
MAX_CHANGE_CHARACTERS = 120
MAX_EARLIER = 50
MAX_BY_CHARACTERS = 100
_ATTEMPT_SECONDS = 1.0
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
        Grows by one with each accepted update; 0 means that there is none.
    update_id : str
        Identifies the update, so that its author finds it after a lost answer.
    by : str
        Who made the update.
    at_ms : int
        Wall-clock time of the author in milliseconds; for people only.
    changes : tuple of Change
        What changed against the previous generation, at most ``MAX_CHANGES``.
    change_count : int
        Number of all changes.
    document : dict
    earlier : tuple of str
        Ids of the updates before this one, latest first.
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
        shown = "; ".join(map(str, self.changes[:5]))
        more = self.change_count - min(5, len(self.changes))
        tail = f" and {more} more" if more > 0 else ""
        return f"generation {self.generation} by {self.by}: {shown or 'nothing'}{tail}"


NO_CONFIGURATION = AcceptedConfiguration(0)


def encode(accepted):
    """Return the JSON bytes of a configuration."""
    record = attrs.asdict(accepted)
    del record["version"]
    return msgspec.json.encode(record)


def decode(value, version=0):
    """Return the ``AcceptedConfiguration`` that JSON bytes describe.

    Raises
    ------
    errors.InvalidSettings
        When the bytes are not a record of a configuration.
    """
    try:
        accepted = msgspec.json.decode(value, type=AcceptedConfiguration)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.InvalidSettings(f"{KIND}/{NAME}: {error}") from error
    if accepted.generation < 1:
        raise errors.InvalidSettings(f"{KIND}/{NAME}: the generation is not positive")
    return attrs.evolve(accepted, version=version)


def compare(before, after):
    """Return the differences between two documents, ordered by key.

    Returns
    -------
    list of Change
    """
    old = dict(_leaves((), before))
    new = dict(_leaves((), after))
    return [
        Change(".".join(path), old.get(path, _ABSENT), new.get(path, _ABSENT))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]


def _leaves(path, value):
    if isinstance(value, dict) and (value or not path):
        for key, child in value.items():
            yield from _leaves((*path, key), child)
    else:
        yield path, msgspec.json.encode(value).decode()


def read(store, deadline):
    """Return the accepted configuration, or ``NO_CONFIGURATION`` without one."""
    try:
        found = store.get(KIND, NAME, deadline)
    except errors.NotFound:
        return NO_CONFIGURATION
    return decode(found.value, found.version)


def next_configuration(current, document, by, at_ms, update_id):
    """Return the configuration that follows ``current``."""
    changes = compare(current.document, document)
    shown = tuple(
        Change(*(_shorten(text) for text in attrs.astuple(change)))
        for change in changes[:MAX_CHANGES]
    )
    earlier = (current.update_id, *current.earlier)[:MAX_EARLIER]
    return AcceptedConfiguration(
        generation=current.generation + 1,
        update_id=update_id,
        by=by[:MAX_BY_CHARACTERS],
        at_ms=at_ms,
        changes=shown,
        change_count=len(changes),
        document=document,
        earlier=earlier if current.generation else (),
        version=current.version,
    )


def _shorten(text):
    if len(text) <= MAX_CHANGE_CHARACTERS:
        return text
    return text[: MAX_CHANGE_CHARACTERS - 3] + "..."


@attrs.frozen
class Update:
    """What an operator wants to apply.

    Attributes
    ----------
    document : dict
        Checked shared tables.
    base_generation : int
        Generation that the operator compared the document with.
    by : str
    at_ms : int
    update_id : str
        Unique id, made by the caller of ``apply``.
    """

    document: dict
    base_generation: int
    by: str
    at_ms: int
    update_id: str


def apply(store, update, deadline, clock_source=None):
    """Make an update the accepted configuration.

    After a lost answer, the same conditional update is sent again: it replaces only
    the version that the first one replaced, so it takes effect at most once, and a
    refusal is resolved by reading back.

    Parameters
    ----------
    store : objects.ObjectStore
        Usually a ``RetryingObjectStore``, whose backoff paces repeated attempts.
    update : Update
    deadline : float
    clock_source : clock.Clock or None

    Returns
    -------
    AcceptedConfiguration
        The configuration of this update, even if another update has followed it.

    Raises
    ------
    errors.Conflict
        When another update was accepted first; the text names it, and the attribute
        ``accepted`` holds it.
    errors.PlatformUnavailable
        When the outcome is unknown at the deadline.
    """
    now = (clock_source or clock.SystemClock()).now
    current = read(store, deadline)
    if current.generation != update.base_generation:
        _raise_conflict(update, current)
    wanted = next_configuration(
        current, update.document, update.by, update.at_ms, update.update_id
    )
    value = encode(wanted)
    sent = False
    while True:
        attempt = min(deadline, now() + _ATTEMPT_SECONDS)
        try:
            stored = store.put(KIND, NAME, value, current.version, attempt)
            return attrs.evolve(wanted, version=stored.version)
        except errors.Conflict:
            break
        except errors.PlatformUnavailable as error:
            sent = sent or error.may_have_run is not errors.MayHaveRun.NO
            if now() >= deadline:
                raise _unresolved(update, sent) from error
    return _resolve(store, wanted, update, sent, deadline)


def _resolve(store, wanted, update, sent, deadline):
    try:
        found = read(store, deadline)
    except errors.PlatformUnavailable as error:
        raise _unresolved(update, sent) from error
    if found.update_id == update.update_id:
        return found
    if update.update_id in found.earlier:
        return wanted
    return _raise_conflict(update, found)


def _unresolved(update, sent):
    if not sent:
        detail = "the platform did not answer; nothing was changed"
        return errors.PlatformUnavailable(detail, may_have_run="no")
    return errors.PlatformUnavailable(
        f"the platform did not answer; update {update.update_id} may have taken "
        "effect; show the configuration before applying it again"
    )


def _raise_conflict(update, found):
    error = errors.Conflict(
        f"the files were compared with generation {update.base_generation}, but the "
        f"accepted configuration is {found.describe()}"
    )
    error.accepted = found
    raise error


class InstalledConfiguration:
    """The configuration that a process uses; its generation never goes back."""

    def __init__(self):
        self.accepted = NO_CONFIGURATION

    @property
    def generation(self):
        """Generation in use; 0 before the first one."""
        return self.accepted.generation

    def install_if_newer(self, accepted):
        """Install a configuration if it is newer; return whether it was installed."""
        if accepted.generation <= self.accepted.generation:
            return False
        self.accepted = accepted
        return True


def build_platform_store(proxy_settings, clock_source=None, ssl_context=None):
    """Return the bounded store of the platform that a process is configured with."""
    return objects.RetryingObjectStore(
        objects.HttpObjectStore(
            proxy_settings.platform_address,
            proxy_settings.failure_domain,
            clock_source,
            ssl_context,
        ),
        clock_source=clock_source,
    )

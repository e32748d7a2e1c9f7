"""One plain function for each thing that an operator or a caller does.

Addresses are ``(ip, port)`` and timeouts are in seconds; each function makes a deadline
of its timeout at once.
"""

import datetime
import getpass
import time
import uuid

import attrs
import msgspec

from cassiahill import (
    blocking_http,
    clock,
    configuration,
    errors,
    figures,
    http1,
    kernel,
    layout,
    objects,
    report,
    settings,
    validation,
)

DEFAULT_TIMEOUT_SECONDS = 10.0
# A process stores its figures every minute. The rest is for a platform that is slow or
# was down for a moment, so that the running hour is not reported as a gap.
FIGURES_DELAY_SECONDS = 300
_SYSTEM_CLOCK = clock.SystemClock()


@attrs.frozen
class Peer:
    """Where and how to reach a service.

    Attributes
    ----------
    address : tuple of (str, int)
    ssl_context : ssl.SSLContext or None
    timeout : float
        Seconds.
    """

    address: tuple
    ssl_context: object = None
    timeout: float = DEFAULT_TIMEOUT_SECONDS


def check_configuration(folder):
    """Return all findings on a folder.

    Returns
    -------
    list of validation.Finding
    """
    content = settings.read(folder)
    process = "proxy" in content.document
    found = list(content.findings)
    if content.texts_by_file:
        found += settings.check(content.document, content.key_locator(), process)
    return found


def checked_document(folder):
    """Return the merged document of a folder without findings.

    Raises
    ------
    errors.InvalidSettings
        With all findings.
    """
    validation.raise_if_any(check_configuration(folder))
    return settings.read_document(folder)


def platform_of(document, ssl_context=None, timeout=DEFAULT_TIMEOUT_SECONDS):
    """Return the ``Peer`` of the platform that a document names.

    Raises
    ------
    errors.InvalidSettings
        When it names none.
    """
    table = document.get("platform")
    text = table.get("address") if isinstance(table, dict) else None
    if not validation.is_address(text):
        raise errors.InvalidSettings("platform.address: is missing or not ip:port")
    return Peer(settings.parse_address(text), ssl_context, timeout)


def open_store(platform):
    """Return the platform's object store and the deadline for its calls."""
    store = objects.HttpObjectStore(platform.address, ssl_context=platform.ssl_context)
    return objects.RetryingObjectStore(store), _SYSTEM_CLOCK.now() + platform.timeout


def show_configuration(platform):
    """Return the accepted configuration."""
    return configuration.read(*open_store(platform))


def compare_configuration(platform, document):
    """Return the accepted configuration and the changes that a document makes to it.

    Returns
    -------
    tuple of (configuration.AcceptedConfiguration, list of configuration.Change)
    """
    current = show_configuration(platform)
    shared = settings.shared_document(document)
    return current, configuration.compare(current.document, shared)


def apply_configuration(platform, document, base_generation, by=None):
    """Make the shared tables of a document the accepted configuration.

    Parameters
    ----------
    platform : Peer
    document : dict
        Checked document.
    base_generation : int
        Generation that the document was compared with.
    by : str or None
        Author; the user's name if not given.

    Returns
    -------
    configuration.AcceptedConfiguration

    Raises
    ------
    errors.Conflict
        When another update was accepted first.
    """
    update = configuration.Update(
        document=settings.shared_document(document),
        base_generation=base_generation,
        by=by or getpass.getuser(),
        at_ms=time.time_ns() // 1_000_000,
        update_id=str(uuid.uuid4()),
    )
    store, deadline = open_store(platform)
    return configuration.apply(store, update, deadline)


def operator_call(peer, method, path):
    """Call the operator port of a proxy and return the decoded answer."""
    return _call(peer, http1.Request(method, path, "", {}, b""))


def status(peer):
    """Return the state of a proxy in short."""
    return operator_call(peer, "GET", "/status")


def dump(peer):
    """Return the whole state of a proxy."""
    return operator_call(peer, "GET", "/dump")


def drain(peer):
    """Ask a proxy to shut down gracefully."""
    return operator_call(peer, "POST", "/drain")


def statement(peer, caller, body):
    """Send one statement as a caller.

    Parameters
    ----------
    peer : Peer
        Caller port of a proxy.
    caller : str
    body : dict
        Fields of ``POST /v1/statements``.

    Returns
    -------
    dict
    """
    headers = {"Caller": caller, "Content-Type": "application/json"}
    encoded = msgspec.json.encode(body)
    return _call(peer, http1.Request("POST", "/v1/statements", "", headers, encoded))


def daily_report(day, proxy_days, damaged, layout_path=None, style="paged", now=None):
    """Return the report of a day in one of the plug-in kind ``report``.

    Parameters
    ----------
    day : str
        ISO date.
    proxy_days : list of figures.ProxyDay
    damaged : list of str
    layout_path : str or None
        Layout file; the default layout if not given.
    style : str
    now : float or None
        Wall-clock time in seconds; the present if not given.

    Returns
    -------
    str or dict
    """
    page_layout = layout.read(layout_path)
    render = kernel.plugin("report", style)
    until = expected_until(day, time.time() if now is None else now)
    return render(report.build(day, proxy_days, damaged, until), page_layout)


def expected_until(day, now):
    """Return the second of a day up to which figures must have been stored."""
    start = datetime.datetime.fromisoformat(f"{day}T00:00:00+00:00").timestamp()
    elapsed = now - start - FIGURES_DELAY_SECONDS
    return min(float(figures.DAY_SECONDS), max(0.0, elapsed))


def read_figures(platform, day):
    """Return the figures of all proxies for a day and the names of damaged objects."""
    store, deadline = open_store(platform)
    return figures.read_day(store, day, deadline)


def read_figure_files(paths):
    """Return the same as ``read_figures`` from files with one stored object each."""
    days = []
    damaged = []
    for path in paths:
        try:
            days.append(figures.decode(path.read_bytes()))
        except (OSError, errors.MalformedRequest):
            damaged.append(path.name)
    return days, damaged


def _call(peer, request):
    deadline = _SYSTEM_CLOCK.now() + peer.timeout
    response = blocking_http.send_request(
        peer.address, request, deadline, _SYSTEM_CLOCK, peer.ssl_context
    )
    return http1.decode_response(response)

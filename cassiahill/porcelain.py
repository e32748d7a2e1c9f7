"""Porcelain: one function for each operation of operators and callers.

The commands of the command line are thin wrappers of these functions, and scripts can
call them directly. Addresses are ``(ip, port)``. Timeouts are in seconds; each function
converts its timeout to a deadline at its start.
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
# A process stores its figures every minute. The delay also allows for a platform that
# is slow or was down briefly, so that the current hour is not reported as a gap.
FIGURES_DELAY_SECONDS = 300
_SYSTEM_CLOCK = clock.SystemClock()


@attrs.frozen
class Endpoint:
    """Address of a service and how to connect to it.

    Attributes
    ----------
    address : tuple of (str, int)
    ssl_context : ssl.SSLContext or None
        None for connections without TLS.
    timeout : float
        Seconds for each operation.
    """

    address: tuple
    ssl_context: object = None
    timeout: float = DEFAULT_TIMEOUT_SECONDS


def check_configuration(folder):
    """Check the settings files in a folder and return all findings.

    Returns
    -------
    list of validation.Finding
    """
    content = settings.read(folder)
    has_process_settings = "proxy" in content.document
    all_findings = list(content.findings)
    if content.texts_by_file:
        all_findings += settings.check(
            content.document, content.key_locator(), has_process_settings
        )
    return all_findings


def read_checked_document(folder):
    """Check a folder's settings files and return them merged into one document.

    Raises
    ------
    errors.InvalidSettings
        With all findings, if there are any.
    """
    validation.raise_if_any(check_configuration(folder))
    return settings.read_document(folder)


def platform_endpoint(document, ssl_context=None, timeout=DEFAULT_TIMEOUT_SECONDS):
    """Return the ``Endpoint`` of the platform that a settings document names.

    Raises
    ------
    errors.InvalidSettings
        When ``platform.address`` is missing or invalid.
    """
    platform_table = document.get("platform")
    address_text = (
        platform_table.get("address") if isinstance(platform_table, dict) else None
    )
    if not validation.is_address(address_text):
        raise errors.InvalidSettings("platform.address: is missing or not ip:port")
    return Endpoint(settings.parse_address(address_text), ssl_context, timeout)


def open_store(platform):
    """Return the platform's object store and the deadline for calls to it."""
    store = objects.HttpObjectStore(platform.address, ssl_context=platform.ssl_context)
    return objects.RetryingObjectStore(store), _SYSTEM_CLOCK.now() + platform.timeout


def show_configuration(platform):
    """Return the accepted configuration."""
    return configuration.read(*open_store(platform))


def compare_configuration(platform, document):
    """Return the accepted configuration and how a settings document differs from it.

    Parameters
    ----------
    platform : Endpoint
    document : dict
        Checked document.

    Returns
    -------
    tuple of (configuration.AcceptedConfiguration, list of configuration.Change)
    """
    current = show_configuration(platform)
    shared_document = settings.shared_document(document)
    return current, configuration.compare(current.document, shared_document)


def apply_configuration(platform, document, base_generation, by=None):
    """Make the shared tables of a settings document the accepted configuration.

    Parameters
    ----------
    platform : Endpoint
    document : dict
        Checked document.
    base_generation : int
        Generation that the document was compared with.
    by : str or None
        Author; the name of the operating system's user if None.

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


def send_operator_request(endpoint, method, path):
    """Send a request to the operator port of a proxy and return the decoded answer."""
    return _send_request(endpoint, http1.Request(method, path, "", {}, b""))


def status(endpoint):
    """Return a summary of a proxy's state."""
    return send_operator_request(endpoint, "GET", "/status")


def dump(endpoint):
    """Return the complete state of a proxy."""
    return send_operator_request(endpoint, "GET", "/dump")


def drain(endpoint):
    """Ask a proxy to shut down gracefully."""
    return send_operator_request(endpoint, "POST", "/drain")


def send_statement(endpoint, caller, body):
    """Send one statement as a caller and return the decoded answer.

    Parameters
    ----------
    endpoint : Endpoint
        Caller port of a proxy.
    caller : str
        Name of the caller.
    body : dict
        Fields of ``POST /v1/statements``.

    Returns
    -------
    dict
        Fields of ``messages.Answer``.
    """
    headers = {"Caller": caller, "Content-Type": "application/json"}
    body_json = msgspec.json.encode(body)
    return _send_request(
        endpoint, http1.Request("POST", "/v1/statements", "", headers, body_json)
    )


def daily_report(day, proxy_days, damaged, layout_path=None, style="paged", now=None):
    """Return the rendered report of one day.

    Parameters
    ----------
    day : str
        ISO date.
    proxy_days : list of figures.ProxyDay
    damaged : list of str
        Names of the stored objects that could not be decoded.
    layout_path : str or None
        Layout file; the default layout if None.
    style : str
        Name of the plug-in of the kind ``report`` that renders it.
    now : float or None
        Wall-clock time in seconds; the current time if None.

    Returns
    -------
    str or dict
    """
    page_layout = layout.read(layout_path)
    render = kernel.plugin("report", style)
    until = figures_expected_until(day, time.time() if now is None else now)
    return render(report.build(day, proxy_days, damaged, until), page_layout)


def figures_expected_until(day, now):
    """Return up to which second of a day figures should have been stored by now.

    Parameters
    ----------
    day : str
        ISO date.
    now : float
        Wall-clock time in seconds.

    Returns
    -------
    float
        Seconds from the start of the day; 0 for a future day.
    """
    day_start = datetime.datetime.fromisoformat(f"{day}T00:00:00+00:00").timestamp()
    elapsed_seconds = now - day_start - FIGURES_DELAY_SECONDS
    return min(float(figures.DAY_SECONDS), max(0.0, elapsed_seconds))


def read_figures(platform, day):
    """Return the figures of all proxies for a day and the names of damaged objects."""
    store, deadline = open_store(platform)
    return figures.read_day(store, day, deadline)


def read_figure_files(paths):
    """Read figures like ``read_figures``, from files that hold one object each.

    Parameters
    ----------
    paths : iterable of pathlib.Path

    Returns
    -------
    tuple of (list of figures.ProxyDay, list of str)
        The figures, and the names of the files that cannot be read or decoded.
    """
    proxy_days = []
    damaged = []
    for path in paths:
        try:
            proxy_days.append(figures.decode(path.read_bytes()))
        except (OSError, errors.MalformedRequest):
            damaged.append(path.name)
    return proxy_days, damaged


def _send_request(endpoint, request):
    deadline = _SYSTEM_CLOCK.now() + endpoint.timeout
    response = blocking_http.send_request(
        endpoint.address, request, deadline, _SYSTEM_CLOCK, endpoint.ssl_context
    )
    return http1.decode_response(response)

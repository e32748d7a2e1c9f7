"""TLS contexts from the settings of a process."""

import ssl

from cassiahill import errors


def server_context(files):
    """Return the TLS context of a listening port, or None without a certificate.

    With an authority, clients must present a certificate that it signed.

    Parameters
    ----------
    files : settings.TlsFiles or None

    Returns
    -------
    ssl.SSLContext or None

    Raises
    ------
    errors.InvalidSettings
        When a file cannot be read, or the key does not belong to the certificate.
    """
    if files is None or not files.certificate:
        return None
    try:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.load_cert_chain(files.certificate, files.key or None)
        if files.authority:
            context.load_verify_locations(files.authority)
            context.verify_mode = ssl.CERT_REQUIRED
    except (OSError, ssl.SSLError) as error:
        raise errors.InvalidSettings(f"TLS files: {error}") from error
    return context


def client_context(files):
    """Return the TLS context of outgoing connections, or None without an authority.

    Host names are not verified, because processes are addressed by IP address; the
    authority must sign only certificates of this fleet.

    Parameters
    ----------
    files : settings.TlsFiles or None

    Returns
    -------
    ssl.SSLContext or None

    Raises
    ------
    errors.InvalidSettings
        When a file cannot be read, or the key does not belong to the certificate.
    """
    if files is None or not files.authority:
        return None
    try:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False
        context.load_verify_locations(files.authority)
        if files.certificate:
            context.load_cert_chain(files.certificate, files.key or None)
    except (OSError, ssl.SSLError) as error:
        raise errors.InvalidSettings(f"TLS files: {error}") from error
    return context

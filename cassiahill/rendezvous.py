"""Rendezvous hashing of proxies; does no I/O."""

import xxhash


def rank(key, names):
    """Return names in the order of their weight for a key.

    Parameters
    ----------
    key : str
    names : iterable of str

    Returns
    -------
    list of str
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()),
        reverse=True,
    )


def rank_by_domain(key, domains_by_name):
    """Return the proxies of each failure domain in the order of their weight for a key.

    The loss of one proxy does not change the order of the others.

    Parameters
    ----------
    key : str
    domains_by_name : dict of str to str
        Failure domain of each proxy, by the proxy's name.

    Returns
    -------
    dict of str to list of str
        Names of the proxies by failure domain.
    """
    names_by_domain = {}
    for name, domain in domains_by_name.items():
        names_by_domain.setdefault(domain, []).append(name)
    return {domain: rank(key, names) for domain, names in names_by_domain.items()}

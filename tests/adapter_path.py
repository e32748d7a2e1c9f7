"""Makes the modules of the platform adapter importable in tests."""

import contextlib
import pathlib
import sys

ADAPTER_FOLDER = str(pathlib.Path(__file__).parent.parent / "platform")


@contextlib.contextmanager
def importable():
    """Search the adapter's folder for modules while the block runs."""
    sys.path.insert(0, ADAPTER_FOLDER)
    try:
        yield
    finally:
        sys.path.remove(ADAPTER_FOLDER)

"""Makes the packages in ``platform/`` (adapter and soak) importable in tests."""

import contextlib
import pathlib
import sys

PLATFORM_DIRECTORY = str(pathlib.Path(__file__).parent.parent / "platform")


@contextlib.contextmanager
def importable():
    """Search ``platform/`` for modules while the block runs."""
    sys.path.insert(0, PLATFORM_DIRECTORY)
    try:
        yield
    finally:
        sys.path.remove(PLATFORM_DIRECTORY)

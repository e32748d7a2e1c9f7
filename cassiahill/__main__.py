"""Entry point of ``python -m cassiahill``."""

import sys

from cassiahill import cli

if __name__ == "__main__":
    sys.exit(cli.main())

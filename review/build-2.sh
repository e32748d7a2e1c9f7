#!/bin/sh
# Builds the stand-ins of the second review. They are one Python module that needs the
# standard library only, so compiling it shows that this machine's Python can read it.
cd "$(dirname "$0")/.." || exit 2
exec python3 -c 'import sys; [compile(open(path).read(), path, "exec") for path in sys.argv[1:]]' \
    review/standins_2.py review/6/case.py review/7/case.py review/8/case.py \
    review/9/case.py review/10/case.py

#!/bin/sh
# Builds the stand-ins of all cases: compiles them, they need no libraries.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q .

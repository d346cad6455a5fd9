#!/bin/sh
# Builds the stand-ins: they are plain Python modules without dependencies.
cd "$(dirname "$0")" && exec python3 -m compileall -q .

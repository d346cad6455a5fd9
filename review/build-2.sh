#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases 6 to 10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 - <<'PYTHON'
import ast
import pathlib

import attrs  # noqa: F401 - the stand-ins need it

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PYTHON

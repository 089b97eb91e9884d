#!/usr/bin/env bash
# Checks that the stand-ins of the third review can run. They are Python programs that
# use the standard library only, so there is nothing to build beside the deploy file's
# target/app and target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import ast, pathlib
for path in sorted(pathlib.Path("review").glob("stand_ins_3/*.py")):
    ast.parse(path.read_text(), str(path))'

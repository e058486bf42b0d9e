#!/usr/bin/env bash
# Compiles the stand-ins and the scripts of the cases; nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
python3 - <<'PY'
import pathlib
import py_compile

for source in sorted(pathlib.Path('.').rglob('*.py')):
    name = str(source).replace('/', '-') + 'c'
    py_compile.compile(
        str(source), cfile=f'../target/review/{name}', doraise=True
    )
PY

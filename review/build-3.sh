#!/usr/bin/env bash
# Builds what the scripts 11 to 15 start beside the deploy file's build: the
# stand-ins are Python programs of this folder, which need no library.
cd "$(dirname "$0")/.." || exit 2
exec python3 - review/stage/*.py review/1[1-5]/*.py <<'PY'
import sys

for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as source:
        compile(source.read(), path, 'exec')
PY

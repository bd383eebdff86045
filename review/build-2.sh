#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: checks that their sources compile.
# The balancers come from the build command of the deploy file.
set -e
cd "$(dirname "$0")"
python3 - lab/*.py [6-9]/*.py 10/*.py <<'END'
import pathlib
import sys

for path in sys.argv[1:]:
    if pathlib.Path(path).exists():
        compile(pathlib.Path(path).read_text(), path, "exec")
END

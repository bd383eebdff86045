#!/bin/sh
# Checks that the stand-ins load; they are Python sources and need no build.
set -e
cd "$(dirname "$0")/standins"
PYTHONDONTWRITEBYTECODE=1 python3 -c "import cases"

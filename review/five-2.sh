#!/bin/sh
# Runs a case of the second review five times, and once without the trouble; usage:
# five-2.sh N
cd "$(dirname "$0")/$1" || exit 2
for run in 1 2 3 4 5; do
    ./run.sh
    echo "run $run: exit $?"
done
TROUBLE=0 ./run.sh
echo "without trouble: exit $?"

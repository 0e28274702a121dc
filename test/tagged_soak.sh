#!/usr/bin/env bash
# A short seeded run of the soak, and the seeds that ever failed.
# usage: test/tagged_soak.sh BUILD
# More by hand: make soak-tagged SEEDS="1 2 3"
set -u
here=$(dirname "$0")
bad=0
# SEED: cause, when it failed
seeds="101 102"
for seed in $seeds; do
    bash "$here/tagged_soak.bash" "$1" "$seed" 8 || bad=1
done
exit $bad

#!/usr/bin/env bash
# A short seeded run of the soak, and the seeds that ever failed.
# usage: test/tagged_soak.sh BUILD
# More by hand: make soak-tagged SEEDS="1 2 3"
set -u
here=$(dirname "$0")
bad=0
# 29: its servers drained for less time than an instance may take to hear of it
# 52: an instance restarted among blind peers used a server that was leaving
seeds="101 29 52"
for seed in $seeds; do
    bash "$here/tagged_soak.bash" "$1" "$seed" 8 || bad=1
done
exit $bad

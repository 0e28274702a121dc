#!/usr/bin/env bash
# A short seeded run of the soak, and the seeds that ever failed.
# usage: test/tagged_soak.sh BUILD
# More by hand: make soak-tagged SEEDS="1 2 3"
set -u
here=$(dirname "$0")
bad=0
# 29: its servers drained for less time than an instance may take to hear of it
# 52: an instance restarted among blind peers used a server that was leaving
# 338: an older list of a peer brought a removed server back
# 340: an opening at a dead server was reset after its copy had opened the flow
for run in "101 8" "29 8" "52 8" "338 12" "340 12"; do
    # shellcheck disable=SC2086
    bash "$here/tagged_soak.bash" "$1" $run || bad=1
done
exit $bad

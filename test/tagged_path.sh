#!/usr/bin/env bash
# Tagged flows end to end under planned changes: each instance is restarted,
# servers drain and are replaced, and versions are published in succession.
# Callers keep their flows open throughout and must see no failure.
# usage: test/tagged_path.sh BUILD
. "$(dirname "$0")/tagged_bed.bash"

run() {
    start_store
    configure 1
    for i in 1 2 3 4; do
        settings $i dc-$((i % 2))
        instance $i
    done
    for n in 1 2 3 4 5 6; do
        server $n feed dc-$((n % 2))
    done
    server 7 archive dc-0
    server 8 archive dc-1
    for i in 1 2 3 4; do
        until_true "$i is ready" ready $i
        until_quietly metric_is $i upstreams_usable -eq 8
    done
    callers 14 4

    sleep 1
    echo "## Each instance is restarted in turn"
    for i in 1 2 3 4; do
        signal i$i TERM
        ended i$i
        echo "$i ended: exit $rc"
        instance $i
        until_true "$i is ready" ready $i
        sleep 1.2 # until the routers have noticed
    done

    echo "## Two servers leave, two others come"
    server 9 feed dc-0
    server 10 feed dc-1
    until_quietly metric_is 1 upstreams_usable -eq 10
    signal s1 TERM
    signal s2 TERM

    echo "## A version adds a route; an earlier one does not come back"
    configure 2 9443
    until_true "2 is in force" metric_is 3 version -eq 2
    configure 1
    sleep 0.5
    metric 3 version

    ended callers
    echo "## What callers and servers saw"
    echo "failed: $(total safe failed) $(total unsafe failed) $(total upload failed)"
    echo "refused: $(total safe refused) $(total unsafe refused) $(total upload refused)"
    echo "mixed: $(sed -n 's/^total mixed=\([0-9]*\).*/\1/p' callers.log)"
    echo "reset while open: $(sed -n 's/^total.* resets=//p' callers.log)"
    echo "run twice: $(count_repeated)"
    echo "run at another service: $(count_misrouted)"
    echo "forged: $(count_forged)"
    [ "$(total safe served)" -gt 500 ] && echo "hundreds of requests"
    [ "$(total unsafe served)" -gt 100 ] && echo "and commands"
}

run >out
expect <out

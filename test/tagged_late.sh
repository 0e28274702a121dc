#!/usr/bin/env bash
# An instance is paused with opening packets in its socket.  The callers'
# retransmissions open the flows through the other instance; meanwhile servers
# die.  When resumed, the instance forwards the old packets, finds servers dead,
# and must not reset flows that were opened elsewhere: callers would see
# requests fail that may run at most once.
# usage: test/tagged_late.sh BUILD
. "$(dirname "$0")/tagged_bed.bash"

# Counts resets of open flows, except at the killed servers 2 and 4.
wrong_resets() {
    awk '$1 == "reset" && $3 != "5a0002" && $3 != "5a0004"' callers.log |
        wc -l
}

run() {
    start_store
    configure 1
    for k in 1 2 3 4 5 6; do
        server $k feed dc-$((k % 2))
    done
    for n in 1 2; do
        settings $n dc-$n
        instance $n
    done
    for n in 1 2; do
        until_quietly metric_is $n upstreams_usable -eq 6
    done
    callers 600 2 --pause-ms=20
    sleep 1
    for k in 2 4; do
        signal i1 STOP
        sleep 0.2
        signal s$k KILL
        ended s$k 2>/dev/null
        sleep 0.6
        signal i1 CONT
        sleep 1
    done
    signal callers TERM
    ended callers
    grep -q 'waited_ms=[2-9][0-9][0-9]' i1.log && echo "it read old packets"
    echo "wrong resets: $(wrong_resets)"
    echo "ran twice: $(count_repeated_once_only)"
    for n in 1 2; do
        signal i$n TERM
        ended i$n
        echo "exit $rc"
    done
}

run >out
expect <out

#!/usr/bin/env bash
# A data centre is evacuated while callers hold flows to it: its upstreams get
# no new flows, open flows continue, and refusals are answered at once.  The
# evacuation reaches instances that start later, and its end takes effect even
# if the store has lost the history with that change.
# usage: test/tagged_evacuate.sh BUILD
. "$(dirname "$0")/tagged_bed.bash"

evacuated_at() {        # COUNT INSTANCE...
    local n=$1 i
    shift
    for i in "$@"; do
        until_true "$i: $n evacuated" metric_is "$i" data_centres_evacuated \
            -eq "$n"
    done
}

# Counts openings forwarded to servers of a data centre; even numbers are in
# dc-0.
count_openings() {         # DATA-CENTRE
    cat i*.log | grep 'flow: Opening' | sed -n 's/.* to=[0-9.]*\.\([0-9]*\):.*/\1/p' |
        awk -v dc="${1#dc-}" '$1 % 2 == dc {n++} END {print n + 0}'
}

# No flow is opened at DATA-CENTRE while callers open many.
check_no_openings() {        # DATA-CENTRE
    local before after
    before=$(count_openings "$1")
    sleep 2
    after=$(count_openings "$1")
    echo "$1 gets $((after - before)) new flows"
}

check_openings() {           # DATA-CENTRE
    local before
    before=$(count_openings "$1")
    more() { [ "$(count_openings "$1")" -gt "$before" ]; }
    until_true "$1 gets new flows" more "$1"
}

run() {
    start_store
    configure 1
    for n in 1 2 3 4; do
        server $n feed dc-$((n % 2))
    done
    server 5 archive dc-1
    server 6 archive dc-0
    for i in 1 2; do
        settings $i dc-$((i % 2))
        instance $i
    done
    settings 3 dc-0
    for i in 1 2; do
        until_true "$i is ready" ready $i
        until_quietly metric_is $i upstreams_usable -eq 6
    done
    callers 30 2
    check_openings dc-1

    echo "## dc-1 is evacuated"
    evacuate dc-1
    evacuated_at 1 1 2
    check_no_openings dc-1
    check_openings dc-0
    grep -h -o 'evacuation: Begun. data_centre=dc-1 upstreams=3' i1.log
    curl -s -m 3 "http://$net.1:7002/status" | grep -o '"data_centres_evacuated": 1'

    echo "## An instance that starts without the store learns of it from a peer"
    switch down=503
    until_quietly metric_is 1 store_up -eq 0
    instance 3
    until_true "3 is ready" ready 3
    evacuated_at 1 3
    switch down=

    echo "## It ends while the history is lost"
    until_quietly metric_is 1 store_up -eq 1
    switch forget=1
    readmit dc-1
    evacuated_at 0 1 2 3
    check_openings dc-1

    echo "## Ended and begun again at once"
    evacuate dc-0
    readmit dc-0
    evacuate dc-0
    evacuated_at 1 1 2 3
    check_no_openings dc-0

    echo "## A name without upstreams, and one that is none"
    evacuate dc-9
    evacuate ""
    evacuated_at 2 1 2 3
    until_true "1 refuses the other" metric_is 1 store_items_refused_total -eq 1

    echo "## All are evacuated: callers are refused at once"
    evacuate dc-1
    evacuated_at 3 1 2 3
    refused() { grep -q 'flow: Reset. .*reason=evacuated' i1.log; }
    until_true "with the reason" refused
    readmit dc-0
    readmit dc-1
    evacuated_at 1 1 2 3

    ended callers
    echo "## What callers and servers saw"
    echo "mixed: $(sed -n 's/^total mixed=\([0-9]*\).*/\1/p' callers.log)"
    echo "reset while open: $(sed -n 's/^total.* resets=//p' callers.log)"
    echo "run twice: $(count_repeated_once_only)"
    echo "run at another service: $(count_misrouted)"
    echo "forged: $(count_forged)"
    [ "$(total safe served)" -gt 300 ] && echo "hundreds of requests"
}

run >out
expect <out

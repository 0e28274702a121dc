#!/usr/bin/env bash
# All instances start at once while the store has thousands of upstreams.
# New flows are refused until an instance has the list.  If every instance read
# all pages, the store's link and call rate would delay them.  Only seeds read
# the list; the others receive it compressed from peers.
# usage: test/tagged_herd.sh BUILD
. "$(dirname "$0")/tagged_bed.bash"

instances=24
upstreams=1200          # three pages of the store
pages_before=0
lists_before=0

# True if the store has at least NUMBER announced instances; four of each data
# centre are announced.
announced_at_least() {       # NUMBER
    [ "$(curl -s -m 3 "$store/api/kv-range?prefix=s-instances/" |
        grep -o '"key"' | wc -l)" -ge "$1" ]
}

start_all() {            # [FIRST]: instances from FIRST on must get the list
    local n
    for n in $(seq $instances); do
        instance "$n"
    done
    for n in $(seq "${1:-1}" $instances); do
        until_quietly ready "$n" || echo "$n is not ready"
        until_quietly metric_is "$n" upstreams -eq $upstreams ||
            echo "$n lacks upstreams"
    done
}

# READERS read the whole list, with two pages after the first each; one more
# may, if its peers are late on a busy machine.  Without peers: 24 lists and 48
# pages.
check_list_reads() {           # READERS
    local n most=$((2 * ($1 + 1)))
    n=$(lists)
    [ $((n - lists_before)) -le $(($1 + 1)) ] && echo "few lists" ||
        echo "lists: $((n - lists_before)), expected at most $(($1 + 1))"
    lists_before=$n
    n=$(pages)
    [ $((n - pages_before)) -le $most ] && echo "few pages" ||
        echo "pages: $((n - pages_before)), expected at most $most"
    pages_before=$n
}

run() {
    start_store
    configure 1
    entries $upstreams
    for n in $(seq $instances); do
        settings "$n" dc-$((n % 2))
    done

    # An instance that keeps requesting the page after an empty one would make
    # thousands of calls a second.
    echo "## A list without an end"
    switch endless=1
    instance 1
    until_quietly metric_is 1 store_up -eq 0
    sleep 1
    [ "$(pages)" -lt 50 ] &&
        echo "a bounded number of pages"
    sleep 2 # past the time for which it serves by a part of the list
    ready 1 || echo "it is not ready on half a list"
    switch endless=0
    until_true "it is ready on a whole one" ready 1
    signal i1 TERM
    ended i1
    pages_before=$(pages)
    lists_before=$(lists)

    echo "## All start: the seeds read on"
    start_all
    check_list_reads 2
    until_quietly announced_at_least 8

    echo "## All are killed, and start again: seeds and announced ones read on"
    for n in $(seq $instances); do
        signal "i$n" KILL
        ended "i$n" 2>/dev/null
    done
    start_all
    check_list_reads 10

    echo "## The same with a slow store: the others wait for their peers"
    for n in $(seq $instances); do
        signal "i$n" KILL
        ended "i$n" 2>/dev/null
    done
    switch slow_ms=600
    start_all
    check_list_reads 10
    switch slow_ms=0
    early=0
    for n in $(seq $instances); do
        # "List complete" is logged only after a start by a part of it.
        tac "i$n.log" | sed '/main: Started/q' | tac |
            awk '/packets: Serving/ {s = NR} /List complete/ {c = NR}
                END {exit !(s > 0 && s < c)}' && early=$((early + 1))
    done
    [ $early -ge 16 ] && echo "most serve before they have the whole list" ||
        echo "$early serve before they have the whole list"

    echo "## The seeds reach no store: the others read the list themselves"
    for n in $(seq $instances); do
        signal "i$n" KILL
        ended "i$n" 2>/dev/null
    done
    switch lapse=1            # nobody is announced
    settings 1 dc-1 http://127.0.0.1:1
    settings 2 dc-0 http://127.0.0.1:1
    start_all 3
    for n in 1 2; do
        signal "i$n" KILL
        ended "i$n" 2>/dev/null
        settings "$n" dc-$n
        instance "$n"
        until_true "$n has the list" metric_is "$n" upstreams -eq $upstreams
    done

    echo "## A long answer is packed, and whole for one that takes no packed ones"
    curl -s -m 3 -H 'Accept-Encoding: zstd' -o packed \
        "http://$net.1:7002/replica?after=0"
    curl -s -m 3 -o plain "http://$net.1:7002/replica?after=0"
    curl -s -m 3 --compressed -o unpacked "http://$net.1:7002/replica?after=0"
    [ $(($(stat -c %s packed) * 5)) -lt "$(stat -c %s plain)" ] &&
        echo "a fifth of its size at most"
    grep -o '"key":"servers/' plain | wc -l
    grep -o '"key":"servers/' unpacked | wc -l

    for n in $(seq $instances); do
        signal "i$n" TERM
    done
    for n in $(seq $instances); do
        ended "i$n"
        [ "$rc" -eq 0 ] || echo "$n: exit $rc"
    done
}

run >out
expect <out

#!/usr/bin/env bash
# All instances start at once while the store holds thousands of upstreams.
# Callers see new flows refused until an instance knows them; when each reads
# all pages for itself, the store's link and calls are what they wait for.  A
# seed reads the list, the others have it from peers, packed.
# usage: test/tagged_herd.sh BUILD
. "$(dirname "$0")/tagged_bed.bash"

instances=24
upstreams=1200          # three pages of the store
read_before=0
listed_before=0

# Instances that the store has: four of each data centre at least.
announced_are() {       # NUMBER
    [ "$(curl -s -m 3 "$store/api/kv-range?prefix=s-instances/" |
        grep -o '"key"' | wc -l)" -ge "$1" ]
}

all_start() {
    local n
    for n in $(seq $instances); do
        instance "$n"
    done
    for n in $(seq $instances); do
        until_quietly ready "$n" || echo "$n is not ready"
        until_quietly metric_is "$n" upstreams -eq $upstreams ||
            echo "$n lacks upstreams"
    done
}

# READERS list everything, two pages behind the first each; one more may find
# its peers late on a busy machine.  Each for itself: 24 and 48.
few_pages() {           # READERS
    local n most=$((2 * ($1 + 1)))
    n=$(lists)
    [ $((n - listed_before)) -le $(($1 + 1)) ] && echo "few lists" ||
        echo "lists: $((n - listed_before)), expected at most $(($1 + 1))"
    listed_before=$n
    n=$(pages)
    [ $((n - read_before)) -le $most ] && echo "few pages" ||
        echo "pages: $((n - read_before)), expected at most $most"
    read_before=$n
}

run() {
    start_store
    configure 1
    entries $upstreams
    for n in $(seq $instances); do
        settings "$n" dc-$((n % 2))
    done

    # Asked for the page behind an empty one again and again, such a store
    # would have thousands of calls a second.
    echo "## A list without an end"
    switch endless=1
    instance 1
    until_quietly metric_is 1 store_up -eq 0
    sleep 1
    [ "$(pages)" -lt 50 ] &&
        echo "a bounded number of pages"
    ready 1 || echo "it is not ready on half a list"
    switch endless=0
    until_true "it is ready on a whole one" ready 1
    signal i1 TERM
    ended i1
    read_before=$(pages)
    listed_before=$(lists)

    echo "## All start: the seeds read on"
    all_start
    few_pages 2
    until_quietly announced_are 8

    echo "## All are killed, and start again: seeds and announced ones read on"
    for n in $(seq $instances); do
        signal "i$n" KILL
        ended "i$n" 2>/dev/null
    done
    all_start
    few_pages 10

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

#!/usr/bin/env bash
# Twelve instances of one data centre, each with places for two followers: the
# leader can't answer all, and they make a tree.  A version reaches all of them
# while a relay is killed, the leader stands still, and the leader is killed.
# Callers would see a route that is not there yet at the instances below.
# usage: test/tagged_tree.sh BUILD
. "$(dirname "$0")/tagged_bed.bash"

instances=12
live=$(seq $instances)

# Followers of all that live.
followed() {
    local n sum=0
    for n in $live; do
        sum=$((sum + $(metric "$n" followers)))
    done
    echo $sum
}

all_but_one_follow() {
    [ "$(followed)" -eq $(($(wc -w <<<"$live") - 1)) ]
}

# The first with followers that follows another itself, or the leader: the one
# that says it follows the store.
look() {                # store|relay
    local n last
    for n in $live; do
        last=$(grep 'Source changed' "i$n.log" | tail -n 1)
        case $1,$last in
        store,*source=store*) echo "$n" && return ;;
        store,) echo "$n" && return ;;
        relay,*source=127*)
            metric_is "$n" followers -gt 0 && echo "$n" && return
            ;;
        esac
    done
    return 1
}

find() {                # store|relay: waits until there is one
    until_quietly look "$1"
    look "$1"
}

dies() {                # NUMBER
    signal "i$1" KILL
    ended "i$1" 2>/dev/null
    live=$(for n in $live; do [ "$n" -eq "$1" ] || echo "$n"; done)
}

reaches_all() {         # VERSION
    local n
    configure "$1"
    for n in $live; do
        until_quietly metric_is "$n" version -eq "$1" || echo "$n lacks $1"
    done
    echo "all have it"
}

crowded() {
    local n
    for n in $live; do
        metric_is "$n" followers -le 2 || echo "$n is crowded"
    done
}

# False where there was news meanwhile: some are still being announced.
waits_in_calm() {
    local one before revision operator
    one=$(find store)
    before=$(metric "$one" store_calls_total)
    revision=$(metric "$one" 'store_revision{topic="upstreams"}')
    operator=$(metric "$one" 'store_revision{topic="operator"}')
    curl -s -m 30 -o /dev/null \
        "http://$net.$one:7002/replica?upstreams=$revision&operator=$operator&wait_ms=10000"
    metric_is "$one" 'store_revision{topic="upstreams"}' -eq "$revision" ||
        return 1
    metric_is "$one" 'store_revision{topic="operator"}' -eq "$operator" ||
        return 1
    # The store is asked every 1.5 s, and the announcement renewed.
    before=$(($(metric "$one" store_calls_total) - before))
    [ $before -le 4 ] && echo "it did not wait for the end" >heard ||
        echo "$before calls meanwhile" >heard
}

run() {
    local one
    start_store
    configure 1
    server 1 feed dc-0
    for n in $live; do
        settings "$n" dc-0
        echo 'followers = 2' >>"$n.toml"
        instance "$n"
    done
    for n in $live; do
        until_quietly ready "$n" || echo "$n is not ready"
    done
    until_true "each follows one, but for the leader" all_but_one_follow
    crowded
    reaches_all 2

    echo "## One that waits hears of the next confirmation"
    until_quietly waits_in_calm
    cat heard

    echo "## A relay is killed"
    one=$(find relay)
    dies "$one"
    reaches_all 3
    until_true "those below it follow others" all_but_one_follow

    echo "## The leader stands still"
    one=$(find store)
    signal "i$one" STOP
    live=$(for n in $live; do [ "$n" -eq "$one" ] || echo "$n"; done)
    reaches_all 4
    until_true "another leads" all_but_one_follow
    signal "i$one" CONT
    until_quietly metric_is "$one" version -eq 4 || echo "$one lacks 4"
    live="$live $one"

    echo "## The leader is killed"
    until_quietly all_but_one_follow
    dies "$(find store)"
    reaches_all 5
    until_true "another leads" all_but_one_follow
    crowded
}

run >out
expect <out

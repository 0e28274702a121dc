#!/usr/bin/env bash
# Twelve instances of one data centre, each with slots for two followers: the
# leader can't serve all of them, and they form a tree.  A version must reach
# all after a relay is killed, while the leader is paused, and after the leader
# is killed.  Otherwise callers would miss new routes at the instances below.
# usage: test/tagged_tree.sh BUILD
. "$(dirname "$0")/tagged_bed.bash"

instances=12
live=$(seq $instances)

# Counts the followers of all running instances.
count_followers() {
    local n sum=0
    for n in $live; do
        sum=$((sum + $(metric "$n" followers)))
    done
    echo $sum
}

all_but_one_follow() {
    [ "$(count_followers)" -eq $(($(wc -w <<<"$live") - 1)) ]
}

# Prints the first instance of a role: store is the leader, whose log names the
# store as source; relay follows an instance and has followers itself.
find_role() {           # store|relay
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

wait_for_role() {       # store|relay: waits until there is one
    until_quietly find_role "$1"
    find_role "$1"
}

kill_instance() {       # NUMBER
    signal "i$1" KILL
    ended "i$1" 2>/dev/null
    live=$(for n in $live; do [ "$n" -eq "$1" ] || echo "$n"; done)
}

check_version_at_all() { # VERSION
    local n
    configure "$1"
    for n in $live; do
        until_quietly metric_is "$n" version -eq "$1" || echo "$n lacks $1"
    done
    echo "all have it"
}

check_follower_limit() {
    local n
    for n in $live; do
        metric_is "$n" followers -le 2 || echo "$n is crowded"
    done
}

# False if an update arrived meanwhile, as long as announcements still arrive.
long_poll_without_change() {
    local one before revision operator
    one=$(wait_for_role store)
    before=$(metric "$one" store_calls_total)
    revision=$(metric "$one" 'store_revision{topic="upstreams"}')
    operator=$(metric "$one" 'store_revision{topic="operator"}')
    curl -s -m 30 -o /dev/null \
        "http://$net.$one:7002/replica?upstreams=$revision&operator=$operator&wait_ms=10000"
    metric_is "$one" 'store_revision{topic="upstreams"}' -eq "$revision" ||
        return 1
    metric_is "$one" 'store_revision{topic="operator"}' -eq "$operator" ||
        return 1
    # Calls: a watch every 1.5 s, and the announcement's renewals.
    before=$(($(metric "$one" store_calls_total) - before))
    [ $before -le 4 ] && echo "it did not wait for the end" >long_poll.out ||
        echo "$before calls meanwhile" >long_poll.out
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
    check_follower_limit
    check_version_at_all 2

    echo "## One that waits hears of the next confirmation"
    until_quietly long_poll_without_change
    cat long_poll.out

    echo "## A relay is killed"
    one=$(wait_for_role relay)
    kill_instance "$one"
    check_version_at_all 3
    until_true "those below it follow others" all_but_one_follow

    echo "## The leader stands still"
    one=$(wait_for_role store)
    signal "i$one" STOP
    live=$(for n in $live; do [ "$n" -eq "$one" ] || echo "$n"; done)
    check_version_at_all 4
    until_true "another leads" all_but_one_follow
    signal "i$one" CONT
    until_quietly metric_is "$one" version -eq 4 || echo "$one lacks 4"
    live="$live $one"

    echo "## The leader is killed"
    until_quietly all_but_one_follow
    kill_instance "$(wait_for_role store)"
    check_version_at_all 5
    until_true "another leads" all_but_one_follow
    check_follower_limit
}

run >out
expect <out

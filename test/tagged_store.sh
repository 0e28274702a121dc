#!/usr/bin/env bash
# Store failures: lost history, lost answers, silence, outage, refusal of single
# instances, and the end of all leases.  Versions must still come into force
# everywhere and never go back, and upstreams that are alive must be used.
# usage: test/tagged_store.sh BUILD
. "$(dirname "$0")/tagged_bed.bash"

in_force() {            # VERSION INSTANCE...
    local v=$1 i
    shift
    for i in "$@"; do
        until_true "$i has version $v" metric_is "$i" version -eq "$v"
    done
}

# True if the store has NUMBER announced servers.
servers_announced() {   # NUMBER
    [ "$(curl -s -m 3 "$store/api/kv-range?prefix=servers/i-00005" |
        grep -o '"key"' | wc -l)" -eq "$1" ]
}

revision() {
    curl -s -m 3 "$store/api/kv-range?prefix=servers/" |
        sed -n 's/.*"store_revision":\([0-9]*\).*/\1/p'
}

# The instance has the store's present revision, and its statistics are newer.
is_up_to_date() {       # NUMBER
    metric_is "$1" 'store_revision{topic="upstreams"}' -ge "$(revision)" &&
        sleep 0.6
}

run() {
    start_store
    # Instance 3 reaches the store through a proxy.
    start proxy "$b/si_pproxy" --listen="$net.3:7003" \
        --target="127.0.0.1:$store_port"
    configure 1
    settings 1 dc-0
    settings 2 dc-1
    settings 3 dc-2 "http://$net.3:7003"
    settings 4 dc-0
    for n in 1 2 3; do
        server $n feed dc-$n
    done
    for i in 1 2 3; do
        instance $i
        until_true "$i is ready" ready $i
        until_quietly metric_is $i upstreams_usable -eq 3
    done
    until_quietly metric_is 3 store_up -eq 1

    # The store drops its history.  A watch gets 410, and so would every further
    # one from the same revision: repeated watches would cost hundreds of calls
    # a second, and the instance would receive no change.
    echo "## The history is forgotten: one list, then watches"
    before=$(calls)
    switch forget=1
    configure 2
    in_force 2 1 2 3
    sleep 1
    [ $(($(calls) - before)) -lt 100 ] && echo "a bounded number of calls"

    # The store drops all pending watches at the same time without an answer.
    # No peer has newer data either; the watch timeout reveals the loss.
    echo "## Waiting watches never hear of a change"
    switch deaf=1
    configure 3
    in_force 3 1 2 3

    echo "## The store is down, then refuses, then comes back"
    switch down=503
    until_true "1 sees it" metric_is 1 store_up -eq 0
    switch down=reset
    sleep 0.3
    switch down=
    configure 4
    in_force 4 1 2 3
    until_true "1 sees it" metric_is 1 store_up -eq 1

    # Only instance 3 gets no answers.  It receives versions and new servers
    # from its peers.
    echo "## The store is silent for one instance"
    printf silent >"/dev/udp/$net.3/7003"
    configure 5
    server 4 feed dc-2
    in_force 5 1 2 3
    until_true "3 knows the new server" metric_is 3 upstreams_usable -eq 4
    printf pass >"/dev/udp/$net.3/7003"

    echo "## A connection goes stale, new ones work"
    printf stale >"/dev/udp/$net.3/7003"
    configure 6
    in_force 6 1 2 3

    # An instance starts while the store is unavailable.  It has no stored data,
    # and its seeds name two peers.
    echo "## One that starts without the store learns from a peer"
    switch down=reset
    instance 4
    until_true "4 is ready" ready 4
    in_force 6 4
    switch down=

    # Announcements expire although the servers are alive.  The next heartbeat
    # restores them; no flow is reset meanwhile.
    echo "## All leases end"
    switch lapse=1
    until_true "the store has them again" servers_announced 4
    until_true "1 has heard of it" is_up_to_date 1
    until_true "4 has heard of it" is_up_to_date 4
    until_true "1 has all servers again" metric_is 1 upstreams_usable -eq 4
    until_true "4 has all servers again" metric_is 4 upstreams_usable -eq 4
    for i in 1 2 3 4; do
        metric $i flows_reset_total
    done

    echo "## An item that can't be read is not used, the others hold"
    curl -s -o /dev/null -X POST "$store/api/kv-txn?as=platform" -d \
        '{"precondition":[],"puts":[{"key":"servers/i-00000000ff","value":"!","lease":0},{"key":"servers/nothing","value":"e30=","lease":0},{"key":"servers/i-00000000fe","value":"eyJzZXJ2aWNlIjo3fQ==","lease":0}],"remove":[]}'
    until_true "1 refuses three" metric_is 1 store_items_refused_total -ge 3
    until_true "1 has four" metric_is 1 upstreams_usable -eq 4

    echo "## A version that can't be read leaves the last in force"
    curl -s -o /dev/null -X POST --data-binary '{"version":9}' "$store/config"
    until_true "1 refuses it" metric_is 1 store_items_refused_total -ge 4
    metric 1 version
    configure 10
    in_force 10 1 2 3 4

    echo "## Told to stop, all end by themselves"
    for i in 1 2 3 4; do
        signal i$i TERM
    done
    for i in 1 2 3 4; do
        ended i$i
        echo "$i: exit $rc"
    done
}

run >out
expect <out

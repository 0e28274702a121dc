#!/usr/bin/env bash
# Long keys of another writer at the end of a page of the store's list, while
# instances that run lose their history, and before all start again.  Each
# instance must read the list to its end.
# usage: test/tagged_long_keys.sh BUILD
. "$(dirname "$0")/tagged_bed.bash"

# Writes COUNT keys that begin with PREFIX.
put_keys() {            # PREFIX COUNT
    local i puts=
    for i in $(seq "$2"); do
        puts+=$(printf '{"key":"servers/%s%04d","value":"e30=","lease":0},' \
            "$1" "$i")
        if [ $((i % 32)) -eq 0 ] || [ "$i" -eq "$2" ]; then
            echo "{\"precondition\":[],\"puts\":[${puts%,}],\"remove\":[]}" |
                curl -s -m 3 -o /dev/null -X POST --data-binary @- \
                    "$store/api/kv-txn?as=platform"
            puts=
        fi
    done
}

run() {
    local wide
    start_store
    configure 1
    for i in 1 2 3; do
        settings $i dc-$((i % 2))
        instance $i
    done
    for n in 1 2 3; do
        server $n feed dc-$((n % 2))
    done
    server 4 archive dc-0
    for i in 1 2 3; do
        until_true "$i is ready" ready $i
        until_quietly metric_is $i upstreams_usable -eq 4
    done

    # More than a page of them, of 500 items: the last of a page is one, and
    # all have the first 540 bytes of their percent-encoded form in common.
    wide=$(printf '\xe8\xa9\xa6%.0s' $(seq 60))
    put_keys "a$wide" 520

    echo "## The store's history is lost"
    switch forget=1
    server 5 feed dc-1
    for i in 1 2 3; do
        until_true "$i has the new server" metric_is $i upstreams_usable -eq 5
    done

    echo "## All are killed and start again"
    for i in 1 2 3; do
        signal i$i KILL
        ended i$i
    done
    for i in 1 2 3; do
        instance $i
    done
    for i in 1 2 3; do
        until_true "$i is ready" ready $i
        until_true "$i has all servers" metric_is $i upstreams_usable -eq 5
    done
    callers 2 3
    ended callers
    echo "failed: $(total safe failed) $(total unsafe failed) $(total upload failed)"
    for i in 1 2 3; do
        signal i$i TERM
        ended i$i
        echo "$i ended: exit $rc"
    done
}

run >out
expect <out

#!/usr/bin/env bash
# Entries of other writers, written while callers are served: unreadable ones,
# ones with missing or mistyped fields, ids of known servers under other keys,
# and a known server's entry that is unreadable for a while.  None may cost a
# caller anything.
# usage: test/tagged_entries.sh BUILD
. "$(dirname "$0")/tagged_bed.bash"

put_entry() {           # KEY: the value is standard input
    echo "{\"precondition\":[],\"puts\":[{\"key\":\"servers/$1\",\
\"value\":\"$(base64 -w0)\",\"lease\":0}],\"remove\":[]}" |
        curl -s -m 3 -o /dev/null -X POST --data-binary @- \
            "$store/api/kv-txn?as=platform"
}

remove_entry() {        # KEY
    curl -s -m 3 -o /dev/null -X POST --data-binary "{\"precondition\":[],\
\"puts\":[],\"remove\":[\"servers/$1\"]}" "$store/api/kv-txn?as=platform"
}

known_id() {            # SERVER: its key as in the store
    printf 'i-%010x' $((0x5a0000 + $1))
}

entry_of() {            # SERVER: its entry as announced
    curl -s -m 3 "$store/api/kv-range?prefix=servers/$(known_id "$1")" |
        sed 's/.*"value": *"\([^"]*\)".*/\1/' | base64 -d
}

write_foreign_entries() {   # ROUND
    local long n=$1
    long=$(printf 'x%.0s' $(seq 64000))
    echo "no JSON" | put_entry "x-a$n"
    echo '{"service":7,"address":[],"zone":null,"state":true}' |
        put_entry "x-b$n"
    echo '{"service":"feed","address":"10.9.0.1:7100","zone":"dc-0",
"state":"resting"}' | put_entry "x-c$n"
    echo "{\"service\":\"$long\"}" | put_entry "x-d$n"
    printf '[%.0s' $(seq 60000) | put_entry "x-e$n"
    head -c 500 /dev/urandom | put_entry "x-f$n"
    # The ids of known servers under other keys, unreadable and valid.
    echo "{" | put_entry "x-$(known_id 1)"
    entry_of 2 | sed 's/"address":"[^"]*"/"address":"10.9.0.2:7100"/' |
        put_entry "x-$(known_id 2)"
    remove_entry "x-$(known_id 1)"
    remove_entry "x-$(known_id 2)"
}

run() {
    start_store
    configure 1
    for i in 1 2 3; do
        settings $i dc-$((i % 2))
        instance $i
    done
    for n in 1 2 3 4; do
        server $n feed dc-$((n % 2))
    done
    server 5 archive dc-0
    server 6 archive dc-1
    for i in 1 2 3; do
        until_true "$i is ready" ready $i
        until_quietly metric_is $i upstreams_usable -eq 6
    done
    callers 10 3

    echo "## Foreign entries"
    for n in 1 2 3 4; do
        write_foreign_entries "$n"
    done
    for i in 1 2 3; do
        until_true "$i names no upstream of them" \
            metric_is $i upstreams_usable -eq 6
    done
    echo "## A known server's entry is unreadable for a while"
    entry_of 3 >entry
    echo '{"state":' | put_entry "$(known_id 3)"
    until_true "it gets no new flow" metric_is 1 upstreams_usable -eq 5
    sleep 1
    put_entry "$(known_id 3)" <entry
    until_true "it is used again" metric_is 1 upstreams_usable -eq 6
    until_quietly metric_is 2 upstreams_usable -eq 6

    echo "## A known server's entry lacks fields, and names another service"
    entry_of 4 >entry
    echo "{\"service\":\"archive\",\"address\":\"$net.104:7100\",\
\"zone\":\"dc-0\",\"slots\":3,\"state\":\"ready\"}" | put_entry "$(known_id 4)"
    until_true "it gets no new flow" metric_is 1 upstreams_usable -eq 5
    sleep 1
    put_entry "$(known_id 4)" <entry
    until_true "it is used again" metric_is 1 upstreams_usable -eq 6

    ended callers
    echo "## What callers and servers saw"
    echo "failed: $(total safe failed) $(total unsafe failed) $(total upload failed)"
    echo "refused: $(total safe refused) $(total unsafe refused) $(total upload refused)"
    echo "reset while open: $(sed -n 's/^total.* resets=//p' callers.log)"
    echo "run twice: $(count_repeated)"
    echo "run at another service: $(count_misrouted)"
    [ "$(total safe served)" -gt 300 ] && echo "hundreds of requests"
    echo "## The log"
    [ "$(grep -c 'Item refused' i1.log)" -gt 20 ] && echo "refusals are logged"
    awk 'length($0) > 1100 {n++} END {print n + 0, "long lines"}' i1.log
    grep -cv '^20[0-9-]*T' i1.log
    for i in 1 2 3; do
        signal i$i TERM
        ended i$i
        echo "$i ended: exit $rc"
    done
}

run >out
expect <out

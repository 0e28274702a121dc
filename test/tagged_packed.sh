#!/usr/bin/env bash
# All instances have ended, and those that start read a long configuration over
# slow links: from its packed copy in the store, so that callers don't wait for
# seconds.  What has changed since the copy was written is heard of, and a copy
# that can't be read does no harm.
# usage: test/tagged_packed.sh BUILD
. "$(dirname "$0")/tagged_bed.bash"

# Version N of some 260 kB.
long_version() {        # N
    awk -v v="$1" 'BEGIN {
        printf "{\"version\":%d,\"routes\":[", v
        for (i = 0; i < 1800; i++)
            printf "%s{\"name\":\"route-%06d\",\"host\":\"198.18.%d.%d\",\"prefix\":\"/%d/\",\"kind\":\"safe\",\"timeout_ms\":2500,\"goal_ms\":400,\"priority\":2,\"service\":\"feed\"}",
                i ? "," : "", i * 7919 % 1000003, i / 200, i % 200, 8000 + (i + v) % 2
        print "],\"limits\":{\"idle_timeout_ms\":15000}}"
    }' | curl -s -m 3 -o /dev/null -X POST --data-binary @- "$store/config"
}

copy() {                # the copy as the store has it
    curl -sf -m 3 "$store/api/kv-key?key=packed/operator"
}

copy_is_new() {         # REVISION: it was written after that
    [ "$(copy | sed -n 's/.*"rev":\([0-9]*\).*/\1/p')" -gt "$1" ]
}

kill_one() {            # NUMBER
    signal i$1 KILL
    ended i$1 2>/dev/null
}

starts_slow() {         # NUMBER VERSION: over a link of 2 Mbit/s, with no peer alive
    settings "$1" dc-1
    sed -i 's/^link_mbps.*/link_mbps = 2/; s/^seeds.*/seeds = []/' "$1.toml"
    instance "$1"
    until_true "$1 is ready" ready "$1"
    until_true "$1 has version $2" metric_is "$1" version -eq "$2"
}

read_copy() {           # NUMBER
    grep -q 'Packed copy read' i$1.log
}

run() {
    start_store
    long_version 1
    server 1 feed dc-1
    server 2 feed dc-2
    settings 1 dc-1
    instance 1
    until_true "1 is ready" ready 1
    until_true "there is a copy" copy
    [ "$(copy | wc -c)" -lt 80000 ] && echo "it is short"

    echo "## Who starts reads it"
    kill_one 1
    starts_slow 2 1
    until_true "2 has read it" read_copy 2

    echo "## A version and an evacuation since are heard of"
    kill_one 2
    long_version 2
    evacuate dc-2
    starts_slow 3 2
    until_true "3 has read it" read_copy 3
    until_true "the evacuation is known" \
        metric_is 3 data_centres_evacuated -eq 1

    echo "## The copy follows"
    revision=$(copy | sed -n 's/.*"rev":\([0-9]*\).*/\1/p')
    long_version 3
    until_true "it is new" copy_is_new "$revision"

    echo "## A copy that can't be read"
    kill_one 3
    curl -s -m 3 -o /dev/null -X POST --data-binary \
        '{"precondition":[],"puts":[{"key":"packed/operator","value":"anVuaw==","lease":0}],"remove":[]}' \
        "$store/api/kv-txn"
    starts_slow 4 3
    signal i4 TERM
    ended i4
    read_copy 4 || echo "4 has not read it"
}

run >out
expect <out

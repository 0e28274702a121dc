#!/usr/bin/env bash
# Long versions of the configuration are published in series, and the link to
# the store takes up to a second for each.  Other changes must not queue behind
# them: a drain or an evacuation would take effect seconds late.  Superseded
# versions must not be read one after the other.
# usage: test/tagged_series.sh BUILD
. "$(dirname "$0")/tagged_bed.bash"

SLOW=400  # bytes per millisecond: a version takes 0.9 s
FAST=1200 # 0.3 s

# Version N of some 260 kB, 350 kB as the store encodes it.
long_version() {        # N: writes versionN
    awk -v v="$1" 'BEGIN {
        printf "{\"version\":%d,\"routes\":[", v
        for (i = 0; i < 1800; i++)
            printf "%s{\"name\":\"route-%06d\",\"host\":\"198.18.%d.%d\",\"prefix\":\"/%d/\",\"kind\":\"safe\",\"timeout_ms\":2500,\"goal_ms\":400,\"priority\":2,\"service\":\"feed\"}",
                i ? "," : "", i * 7919 % 1000003, i / 200, i % 200, 8000 + (i + v) % 2
        print "],\"limits\":{\"idle_timeout_ms\":15000}}"
    }' >"version$1"
}

publish() {             # N
    curl -s -m 3 -o /dev/null -X POST --data-binary "@version$1" \
        "$store/config"
}

proxies() {             # COMMAND
    local i
    for i in 1 2 3; do
        printf '%s' "$1" >/dev/udp/"$net.$i"/7003
    done
}

log_line_number() {     # PART SENTENCE INSTANCE: line number in its log
    grep -n "$1: $2" "i$3.log" | tail -n 1 | cut -d: -f1
}

check_order() {         # WHAT, two line numbers
    [ -n "$2" ] && [ -n "$3" ] && [ "$2" -lt "$3" ] && echo "$1" ||
        echo "not so: $1 ($2, $3)"
}

run() {
    for v in 2 3 4 5 6 7 8 9 10 11 12; do
        long_version $v
    done
    start_store
    configure 1
    for n in 1 2; do
        server $n feed dc-$n
    done
    for i in 1 2 3; do
        start "p$i" "$b/si_pproxy" --listen="$net.$i:7003" \
            --target="127.0.0.1:$store_port"
        settings $i dc-$i "http://$net.$i:7003"
        echo 'apply_ms = 5000' >>$i.toml
        echo 'drain_ms = 5000' >>$i.toml
        instance $i
    done
    for i in 1 2 3; do
        until_true "$i is ready" ready $i
        until_quietly metric_is $i upstreams_usable -eq 2
    done
    sleep 1
    proxies "rate $SLOW"

    echo "## A drain is heard of before the version that came before it"
    publish 2
    signal s1 TERM
    for i in 1 2 3; do
        until_true "$i has version 2" metric_is $i version -eq 2
        until_quietly grep -q 'state=draining' i$i.log
        check_order "$i knew of the drain" "$(log_line_number upstreams '.*state=draining' $i)" \
            "$(log_line_number routes 'In force. version=2' $i)"
    done

    proxies "rate $FAST"
    echo "## Of ten versions only the newest matters"
    for v in 3 4 5 6 7 8 9 10 11 12; do
        publish $v
    done
    evacuate dc-2
    for i in 1 2 3; do
        until_true "$i has version 12" metric_is $i version -eq 12
        until_true "$i knows of the evacuation" \
            metric_is $i data_centres_evacuated -eq 1
        n=$(grep -c 'routes: In force' i$i.log)
        [ "$n" -le 6 ] && echo "$i has read a few" || echo "$i has read $n"
    done

    echo "## What is slow is not taken for what is cut off"
    n=$(cat i?.log | grep -c 'error="stale revision"')
    echo "sources left: $n"
}

run >out
expect <out

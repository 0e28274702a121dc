#!/usr/bin/env bash
# A long configuration from the platform's parts to instances, and between
# instances: whole to one that has none, differences to one that is behind.
# usage: test/siskind_spread.sh BUILD
. "$(dirname "$0")/siskind_lib.bash"

apply() {               # CHANGE-ID VERSION-EDITED-ON
    "$b/siskinctl" apply --change-id "$1" --on "$2" base.toml dc-a.toml
}

# 120 KB that hardly compress: more than the head holds, and more than a
# difference may take.
lengthen() {
    head -c 60000 /dev/urandom | od -An -v -tx1 | tr -d ' ' |
        sed 's/^/# /' >>base.toml
}

# What peers have given to others, in bytes.
given() {
    for i in 1 2; do
        curl -s -m 3 "http://$net.$i:6004/metrics"
    done | awk '$1 == "siskin_bulk_bytes_total" {n += $2} END {print n + 0}'
}

given_at_least() {
    [ "$(given)" -ge "$1" ]
}

run() {
    start_platform
    site
    lengthen
    settings 1
    settings 2
    settings 3 1 2
    sed -i 's|^platform_url.*|platform_url = "http://127.0.0.1:1"|' 3.toml
    start upstreams "$b/si_upstream" --admin=$((port + 1)) \
        --platform="http://127.0.0.1:$port" base.toml dc-a.toml --log=run.log

    echo "## Two instances read the parts"
    "$b/siskinctl" apply --change-id first base.toml dc-a.toml
    instance 1
    instance 2
    until_true "1 has version 1" version_is 1 1
    until_true "2 has version 1" version_is 2 1

    # Instance 3 never reaches the platform.
    echo "## A third has peers only: it gets all"
    local before after
    instance 3
    until_true "3 has version 1" version_is 3 1
    until_true "the whole text was given" given_at_least 50000

    echo "## A version more, and another: it gets the differences"
    before=$(given)
    sed -i 's/^connections = 2000/connections = 3000/' base.toml
    apply second 1
    until_true "3 has version 2" version_is 3 2
    sed -i 's/^connections = 3000/connections = 4000/' base.toml
    apply third 2
    until_true "3 has version 3" version_is 3 3
    after=$(given)
    [ $((after - before)) -lt 5000 ] && echo "few bytes were given"
    until_true "3 fetched each" metric_is 3 bulk_fetched_total -ge 3

    # Paused, an instance misses more versions than its peers keep steps for.
    echo "## One that is far behind gets all again"
    kill -STOP "${process[3]}"
    for v in 3 4 5 6 7 8 9 10 11 12 13 14; do
        sed -i "s/^connections = .*/connections = $((4001 + v))/" base.toml
        apply "change-$v" $v >/dev/null
        until_true "1 has it" version_is 1 $((v + 1)) >/dev/null
    done
    kill -CONT "${process[3]}"
    until_true "3 has version 15" version_is 3 15
    until_true "the whole text was given" given_at_least $((after + 50000))
}

run >"$dir/out"
expect <"$dir/out"

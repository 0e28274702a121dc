#!/usr/bin/env bash
# Distribution of a large configuration: from the platform's parts to
# instances, and between instances, as the whole text to an instance without a
# version and as differences to one that is behind.
# usage: test/siskind_spread.sh BUILD
. "$(dirname "$0")/siskind_lib.bash"

apply() {               # CHANGE-ID VERSION-EDITED-ON
    "$b/siskinctl" apply --change-id "$1" --on "$2" base.toml dc-a.toml
}

# Adds 120 KB of poorly compressible text: more than the head holds, and more
# than the limit for a difference.
pad_base() {
    head -c 60000 /dev/urandom | od -An -v -tx1 | tr -d ' ' |
        sed 's/^/# /' >>base.toml
}

# Prints the bytes that instances 1 and 2 have served to their peers.
bytes_served() {
    for i in 1 2; do
        curl -s -m 3 "http://$net.$i:6004/metrics"
    done | awk '$1 == "siskin_bulk_bytes_total" {n += $2} END {print n + 0}'
}

served_at_least() {
    [ "$(bytes_served)" -ge "$1" ]
}

run() {
    start_platform
    write_site
    pad_base
    write_settings 1
    write_settings 2
    write_settings 3 1 2
    sed -i 's|^platform_url.*|platform_url = "http://127.0.0.1:1"|' 3.toml
    start_process upstreams "$b/si_upstream" --admin=$((port + 1)) \
        --platform="http://127.0.0.1:$port" base.toml dc-a.toml --log=run.log

    echo "## Two instances read the parts"
    "$b/siskinctl" apply --change-id first base.toml dc-a.toml
    start_instance 1
    start_instance 2
    wait_until "1 has version 1" version_is 1 1
    wait_until "2 has version 1" version_is 2 1

    # Instance 3 never reaches the platform.
    echo "## A third has peers only: it gets all"
    local before after
    start_instance 3
    wait_until "3 has version 1" version_is 3 1
    wait_until "the whole text was given" served_at_least 50000

    echo "## A version more, and another: it gets the differences"
    before=$(bytes_served)
    sed -i 's/^connections = 2000/connections = 3000/' base.toml
    apply second 1
    wait_until "3 has version 2" version_is 3 2
    sed -i 's/^connections = 3000/connections = 4000/' base.toml
    apply third 2
    wait_until "3 has version 3" version_is 3 3
    after=$(bytes_served)
    [ $((after - before)) -lt 5000 ] && echo "few bytes were given"
    wait_until "3 fetched each" metric_is 3 bulk_fetched_total -ge 3

    # While suspended, the instance misses more versions than its peers keep
    # differences for.
    echo "## One that is far behind gets all again"
    kill -STOP "${pids[3]}"
    for v in 3 4 5 6 7 8 9 10 11 12 13 14; do
        sed -i "s/^connections = .*/connections = $((4001 + v))/" base.toml
        apply "change-$v" $v >/dev/null
        wait_until "1 has it" version_is 1 $((v + 1)) >/dev/null
    done
    kill -CONT "${pids[3]}"
    wait_until "3 has version 15" version_is 3 15
    wait_until "the whole text was given" served_at_least $((after + 50000))
}

run >"$dir/out"
expect <"$dir/out"

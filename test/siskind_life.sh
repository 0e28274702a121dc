#!/usr/bin/env bash
# State changes of instances: they join, apply new versions, fetch a version
# from a peer during a platform outage, and are drained, paused and stopped.
# usage: test/siskind_life.sh BUILD
. "$(dirname "$0")/siskind_lib.bash"

apply() {               # CHANGE-ID VERSION-EDITED-ON
    "$b/siskinctl" apply --change-id "$1" --on "$2" base.toml dc-a.toml
}

run() {
    start_platform
    write_site
    write_settings 1
    write_settings 2
    write_settings 3 1 2
    start_process upstreams "$b/si_upstream" --admin=$((port + 1)) \
        --platform="http://127.0.0.1:$port" base.toml dc-a.toml --log=run.log

    echo "## The first two instances find a version and each other"
    "$b/siskinctl" apply --change-id first base.toml dc-a.toml
    start_instance 1
    start_instance 2
    wait_until "1 is active" state_is 1 active
    wait_until "2 is active" state_is 2 active
    wait_until "1 knows 2" status_has 1 '"name": "try-2"[^}]*"active"'
    wait_until "upstreams are trusted" status_has 1 '"trusted": true'

    # The platform doesn't answer.  Instances keep nothing on disk, so a new
    # one has neither a version nor the list of instances.  Its settings name
    # peers, which announce the version; it fetches the texts from a peer.
    echo "## The platform is out: a third one learns from its peers"
    switch outage=1
    start_instance 3
    wait_until "3 has version 1" version_is 3 1
    wait_until "3 is active" state_is 3 active
    wait_until "3 fetched it" metric_is 3 bulk_fetched_total -ge 1
    switch outage=0

    echo "## Datagrams go through any of the three"
    run_echo_flows 3

    echo "## A version is in force everywhere; an old one doesn't come back"
    sed -i 's/^connections = 2000/connections = 3000/' base.toml
    apply second 1
    for i in 1 2 3; do
        wait_until "$i has version 2" version_is $i 2
    done
    switch stale_reads=4
    sed -i 's/^connections = 3000/connections = 4000/' base.toml
    apply third 2
    for i in 1 2 3; do
        wait_until "$i has version 3" version_is $i 3
    done

    echo "## Strangers reach the inner sockets: refused and counted"
    send_datagram $net.1:6002 "not a message of a peer"
    wait_until "peer" metric_is 1 peer_refused_total -eq 1
    send_datagram $net.1:6000 "not an upstream"
    send_datagram $net.1:6001 "not an upstream either"
    for _ in $(seq 100); do
        for to in 7001 6000 6001 6002; do
            head -c $((RANDOM % 1400 + 1)) /dev/urandom >/dev/udp/$net.1/$to
        done
    done
    head -c 1000 /dev/urandom >/dev/tcp/$net.1/6003
    wait_until "still active" state_is 1 active

    echo "## Drained and back"
    export SISKIN_ADMIN=$net.1:6004
    ctl drain
    wait_until "1 leaves" state_is 1 leaving
    wait_until "2 knows" status_has 2 '"name": "try-1"[^}]*"leaving"'
    run_echo_flows 1
    ctl undrain
    wait_until "1 is active" state_is 1 active

    # An instance is suspended for 2 s, as by a stalled host, while datagrams
    # queue in its sockets.  Their senders have retransmitted them and other
    # instances have served them, so it must not handle them when it resumes.
    echo "## Paused"
    kill -STOP "${pids[2]}"
    for i in 1 2 3 4 5; do
        send_datagram $net.2:7001 "late $i"
    done
    wait_until "1 suspects 2" status_has 1 '"name": "try-2"[^}]*"suspect"'
    sleep 1.5
    kill -CONT "${pids[2]}"
    wait_until "old datagrams dropped" metric_is 2 stale_received_total -ge 5
    wait_until "1 trusts 2" status_has 1 '"name": "try-2"[^}]*"active"'

    echo "## Asked to stop under traffic: it leaves, nothing is lost"
    run_echo_flows 6 >echoes.out &
    local caller=$!
    sleep 1
    kill -TERM "${pids[1]}"
    wait_until "2 sees 1 leave" status_has 2 '"name": "try-1"[^}]*"leaving"'
    wait_exit 1
    wait_until "2 knows that 1 has left" \
        status_has 2 '"name": "try-1"[^}]*"gone"'
    wait $caller
    cat echoes.out

    echo "## A second signal stops at once"
    kill -INT "${pids[2]}"
    wait_until "2 leaves" state_is 2 leaving
    kill -INT "${pids[2]}"
    wait_exit 2
    grep -c "It stops at once" 2.log
}

run >"$dir/out"
expect <"$dir/out"

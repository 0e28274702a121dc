#!/usr/bin/env bash
# The life of instances: they join, follow versions, learn one from a peer
# while the platform is out, are drained, paused and stopped.
# usage: test/siskind_life.sh BUILD
. "$(dirname "$0")/siskind_lib.bash"

apply() {               # CHANGE-ID VERSION-EDITED-ON
    "$b/siskinctl" apply --change-id "$1" --on "$2" base.toml dc-a.toml
}

run() {
    start_platform
    site
    settings 1
    settings 2
    settings 3 1 2
    start upstreams "$b/si_upstream" --admin=$((port + 1)) \
        --platform="http://127.0.0.1:$port" base.toml dc-a.toml --log=run.log

    echo "## The first two instances find a version and each other"
    "$b/siskinctl" apply --change-id first base.toml dc-a.toml
    instance 1
    instance 2
    until_true "1 is active" state_is 1 active
    until_true "2 is active" state_is 2 active
    until_true "1 knows 2" status_has 1 '"name": "try-2"[^}]*"active"'
    until_true "upstreams are trusted" status_has 1 '"trusted": true'

    # The platform doesn't answer.  A new instance keeps nothing on disk: it
    # has neither version nor list.  Its settings name peers; these tell it
    # of the version, and it fetches the texts from one of them.
    echo "## The platform is out: a third one learns from its peers"
    switch outage=1
    instance 3
    until_true "3 has version 1" version_is 3 1
    until_true "3 is active" state_is 3 active
    until_true "3 fetched it" metric_is 3 bulk_fetched_total -ge 1
    switch outage=0

    echo "## Datagrams go through any of the three"
    echoes 3

    echo "## A version is in force everywhere; an old one doesn't come back"
    sed -i 's/^connections = 2000/connections = 3000/' base.toml
    apply second 1
    for i in 1 2 3; do
        until_true "$i has version 2" version_is $i 2
    done
    switch stale_reads=4
    sed -i 's/^connections = 3000/connections = 4000/' base.toml
    apply third 2
    for i in 1 2 3; do
        until_true "$i has version 3" version_is $i 3
    done

    echo "## Strangers reach the inner sockets: refused and counted"
    datagram $net.1:6002 "not a message of a peer"
    until_true "peer" metric_is 1 peer_refused_total -eq 1
    datagram $net.1:6000 "not an upstream"
    datagram $net.1:6001 "not an upstream either"
    for _ in $(seq 100); do
        for to in 7001 6000 6001 6002; do
            head -c $((RANDOM % 1400 + 1)) /dev/urandom >/dev/udp/$net.1/$to
        done
    done
    head -c 1000 /dev/urandom >/dev/tcp/$net.1/6003
    until_true "still active" state_is 1 active

    echo "## Drained and back"
    export SISKIN_ADMIN=$net.1:6004
    ctl drain
    until_true "1 leaves" state_is 1 leaving
    until_true "2 knows" status_has 2 '"name": "try-1"[^}]*"leaving"'
    echoes 1
    ctl undrain
    until_true "1 is active" state_is 1 active

    # An instance is stopped for 2 s, as by a host that stalls.  Datagrams
    # wait in its sockets meanwhile; their senders have sent them again and
    # others have served them.  Awake, it must not act on them.
    echo "## Paused"
    kill -STOP "${process[2]}"
    for i in 1 2 3 4 5; do
        datagram $net.2:7001 "late $i"
    done
    until_true "1 suspects 2" status_has 1 '"name": "try-2"[^}]*"suspect"'
    sleep 1.5
    kill -CONT "${process[2]}"
    until_true "old datagrams dropped" metric_is 2 stale_received_total -ge 5
    until_true "1 trusts 2" status_has 1 '"name": "try-2"[^}]*"active"'

    echo "## Asked to stop under traffic: it leaves, nothing is lost"
    echoes 6 >echoes.out &
    local caller=$!
    sleep 1
    kill -TERM "${process[1]}"
    until_true "2 sees 1 leave" status_has 2 '"name": "try-1"[^}]*"leaving"'
    ended 1
    until_true "2 knows that 1 has left" \
        status_has 2 '"name": "try-1"[^}]*"gone"'
    wait $caller
    cat echoes.out

    echo "## A second signal stops at once"
    kill -INT "${process[2]}"
    until_true "2 leaves" state_is 2 leaving
    kill -INT "${process[2]}"
    ended 2
    grep -c "It stops at once" 2.log
}

run >"$dir/out"
expect <"$dir/out"

#!/usr/bin/env bash
# Several planned changes at once: instances are restarted two at a time, an
# upstream of each service drains by a new version, and the fabric loses and
# duplicates datagrams throughout.  Feeds and opaque flows must keep their
# upstreams, uploads must continue, and every acknowledgement must be answered:
# none may be broken, unknown or unanswered.
B=${1:?usage: test/path_planned.sh BUILD}
. test/bed.bash
faults="--lose 1 --repeat 5"

# Adds a third service, with opaque datagrams, on separate addresses.
add_opaque_service() {
    cat >>"$bed/site/base.toml" <<'T'

[service.mereni]
address = "127.1.0.3:5685"
protocol = "udp"
prefer = "stability"
slots = 2
connections = 2000
T
    local dc n=1
    for dc in brno-sal-a brno-sal-b ostrava-sal; do
        printf '\n[[upstream]]\nservice = "mereni"\naddress = "%s"\n' \
            "127.2.$n.20:5685" >>"$bed/site/$dc.toml"
        n=$((n + 1))
    done
}

drain_upstream() {      # address
    "$B/siskinctl" drain --platform "$url" --upstream "$1" \
        >>"$bed/drain.out" || bed_fail "siskinctl drain $1"
}

restart_pair() {        # number, number, version
    signal "instance-$1" TERM
    signal "instance-$2" TERM
    reap "instance-$1" || bed_fail "instance $1 did not stop cleanly"
    reap "instance-$2" || bed_fail "instance $2 did not stop cleanly"
    instance_start "$1"
    instance_start "$2"
    until_true "instance $1" serves "$1" "$3"
    until_true "instance $2" serves "$2" "$3"
}

run() {
    site_copy moravia
    add_opaque_service
    site_start $faults
    instances_start
    caller_start dohled --service 127.1.0.1:5683 --feeds 40 --acks 20 \
        --reads 5 $faults
    caller_start archiv --service 127.1.0.2:5684 --uploads 6 \
        --from 127.10.0.1 --seed 2 $faults
    caller_start mereni --service 127.1.0.3:5685 --echoes 30 \
        --from 127.11.0.1 --seed 3 $faults
    until_true "feeds" logged_at_least 40 "^feed established"
    until_true "an upload" logged_at_least 1 "^uploaded"
    echo "$count instances serve feeds, uploads and opaque flows"
    restart_pair 1 2 1
    echo "1 and 2 are restarted"
    drain_upstream 127.2.2.1:5683
    drain_upstream 127.2.2.5:5683
    drain_upstream 127.2.2.20:5685
    restart_pair 3 4 4
    echo "an upstream of each service drains, 3 and 4 are restarted"
    version_in_force 4
    restart_pair 5 6 4
    echo "5 and 6 are restarted"
    before=$(logged "outcome=answered kind=ack")
    until_true "acknowledgements after it all" \
        logged_at_least $((before + 100)) "outcome=answered kind=ack"
    callers_stop
    verdict
    echo "verdict: $?"
    tail -n +3 "$bed/verdict.out"
}

run >"$bed/run.out"
diff test/expect/path_planned.out "$bed/run.out" || {
    cat "$bed/verdict.err"
    grep -h -e ^broken -e outcome=timeout -e outcome=unknown \
        "$bed"/caller-*.log | head -n 20
    bed_fail "the run differs from what is expected"
}
cat "$bed"/caller-*.out

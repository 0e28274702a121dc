#!/usr/bin/env bash
# Instance failures under load, during a platform outage: two of seven
# instances are killed, a third is paused for 10 s and resumes with outdated
# state, and an upstream drains.  For seconds, the fabric still sends a part of
# all datagrams to the killed instances.  No request may run twice, run after
# "not run", or reach the other service; callers may see only timeouts and
# retransmissions.  Broken flows are counted but allowed, as the failures are
# not planned changes.
B=${1:?usage: test/path_kill.sh BUILD}
. test/bed.bash
answered="outcome=answered kind=ack"
faults="--lose 2 --repeat 5"

run() {
    site_copy moravia
    site_start $faults
    instances_start
    caller_start dohled --service 127.1.0.1:5683 --feeds 60 --acks 40 \
        --reads 10 --every-ms 100 $faults
    caller_start archiv --service 127.1.0.2:5684 --uploads 6 \
        --from 127.10.0.1 --seed 2 --every-ms 100 $faults
    until_true "feeds" logged_at_least 60 "^feed established"
    until_true "acknowledgements" logged_at_least 200 "$answered"
    echo "$count instances serve 60 feeds, 200 acknowledgements ran"
    switch outage=1
    echo "the platform is out"
    sleep 1
    signal instance-2 KILL
    signal instance-5 KILL
    reap instance-2
    reap instance-5
    echo "instances 2 and 5 are killed"
    sleep 1
    signal instance-3 STOP
    echo "instance 3 stands still"
    upstream_do 127.2.1.1:5683 do=drain
    echo "an upstream drains"
    sleep 10
    signal instance-3 CONT
    echo "instance 3 goes on"
    before=$(logged "$answered")
    until_true "acknowledgements after it all" \
        logged_at_least $((before + 500)) "$answered"
    echo "500 acknowledgements ran since"
    callers_stop
    verdict --allow-broken
    echo "verdict: $?"
    head -n 7 "$bed/verdict.out" | grep -v '^requests'
}

run >"$bed/run.out"
diff test/expect/path_kill.out "$bed/run.out" || {
    cat "$bed/verdict.err"
    bed_fail "the run differs from what is expected"
}
cat "$bed"/caller-*.out "$bed/verdict.out"

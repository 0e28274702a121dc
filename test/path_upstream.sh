#!/usr/bin/env bash
# Each kind of upstream failure, under load: upstreams restart and lose their
# record of the requests they ran, one is killed, one reports a frozen load, and
# one reports idle while it sheds.  A copy of a request must not reach a
# restarted upstream that has run the request, and every outcome that a caller
# gets must be true.  Feeds of failed upstreams end, with an error or silently,
# and are opened again.
B=${1:?usage: test/path_upstream.sh BUILD}
. test/bed.bash
answered="outcome=answered kind=ack"
faults="--lose 2 --repeat 5"

run() {
    site_copy moravia
    site_start --cold-ms 3000 $faults
    instances_start
    caller_start dohled --service 127.1.0.1:5683 --feeds 60 --acks 60 \
        --reads 10 --every-ms 100 $faults
    caller_start archiv --service 127.1.0.2:5684 --uploads 6 \
        --from 127.10.0.1 --seed 2 --every-ms 100 $faults
    until_true "feeds" logged_at_least 60 "^feed established"
    until_true "acknowledgements" logged_at_least 200 "$answered"
    echo "$count instances serve 60 feeds, 200 acknowledgements ran"
    upstream_do 127.2.1.2:5683 do=freeze
    upstream_do 127.2.1.3:5683 "do=lie&busy=0"
    echo "one load is frozen, one lies"
    upstream_do 127.2.2.1:5683 do=restart
    upstream_do 127.2.2.5:5683 do=restart
    upstream_do 127.2.3.1:5683 do=kill
    echo "two upstreams restart, one dies"
    before=$(logged "$answered")
    until_true "acknowledgements meanwhile" \
        logged_at_least $((before + 500)) "$answered"
    sleep 5
    upstream_do 127.2.2.1:5683 do=restart
    upstream_do 127.2.3.1:5683 do=restart
    echo "one restarts again, the dead one comes back"
    before=$(logged "$answered")
    until_true "acknowledgements after it all" \
        logged_at_least $((before + 1500)) "$answered"
    echo "500 and 1500 acknowledgements ran"
    callers_stop
    verdict --allow-broken
    echo "verdict: $?"
    head -n 7 "$bed/verdict.out" | grep -v '^requests'
}

run >"$bed/run.out"
diff test/expect/path_upstream.out "$bed/run.out" || {
    cat "$bed/verdict.err"
    bed_fail "the run differs from what is expected"
}
cat "$bed"/caller-*.out "$bed/verdict.out"

#!/usr/bin/env bash
# An upstream's address moves from dohled to archiv in two versions, while one
# instance is paused.  The instance resumes with the first version and its old
# identity lease.  A datagram sent to the address on this outdated state would
# reach the other service: callers would be refused, and an acknowledgement
# would arrive in the archive.  The instance may send nothing there before the
# upstream has reported its service again.
B=${1:?usage: test/path_recycle.sh BUILD}
. test/bed.bash
answered="outcome=answered kind=ack"
faults="--lose 2 --repeat 5"
moved=127.2.1.1:5683

apply() {               # version edited
    "$B/siskinctl" apply --platform "$url" --on "$1" "$bed/site/base.toml" \
        "${overlays[@]}" >>"$bed/apply.out" || bed_fail "siskinctl apply"
}

# Waits for version $1 at all instances but the third.
version_in_force_at_others() {
    local n
    for n in 1 2 4 5 6 7; do
        until_true "instance $n with version $1" serves "$n" "$1"
    done
}

runs_for() {            # service
    grep -c -E "^(run|block) service=$1 upstream=$moved" "$bed/run.log"
}

runs_for_at_least() {   # count, service
    [ "$(runs_for "$2")" -ge "$1" ]
}

# The overlay without the moved upstream; overlay_with_moved adds it to archiv.
overlay_without_moved() {
    awk -v a="\"$moved\"" 'BEGIN { RS = ""; ORS = "\n\n" } index($0, a) == 0' \
        examples/moravia/brno-sal-a.toml >"$bed/site/brno-sal-a.toml"
}

overlay_with_moved() {
    printf '[[upstream]]\nservice = "archiv"\naddress = "%s"\n' "$moved" \
        >>"$bed/site/brno-sal-a.toml"
}

run() {
    site_copy moravia
    site_start $faults
    instances_start
    caller_start dohled --service 127.1.0.1:5683 --feeds 30 --acks 40 \
        --reads 10 --every-ms 100 $faults
    caller_start archiv --service 127.1.0.2:5684 --uploads 10 \
        --from 127.10.0.1 --seed 2 --every-ms 100 $faults
    until_true "acknowledgements" logged_at_least 200 "$answered"
    until_true "work at $moved" runs_for_at_least 5 127.1.0.1:5683
    echo "$count instances serve, $moved runs for dohled"
    signal instance-3 STOP
    overlay_without_moved
    apply 1
    version_in_force_at_others 2
    echo "instance 3 stands still, the others have version 2 without it"
    upstream_do "$moved" "do=restart&service=127.1.0.2:5684"
    overlay_with_moved
    apply 2
    version_in_force_at_others 3
    caller_start later --service 127.1.0.2:5684 --uploads 20 --acks 20 \
        --from 127.11.0.1 --seed 3 --every-ms 100 $faults
    until_true "work for archiv" runs_for_at_least 20 127.1.0.2:5684
    echo "the others have version 3, and it runs for archiv"
    signal instance-3 CONT
    version_in_force 3
    before=$(logged "$answered")
    until_true "acknowledgements after it all" \
        logged_at_least $((before + 500)) "$answered"
    echo "instance 3 goes on, 500 acknowledgements ran since"
    callers_stop
    verdict --allow-broken
    echo "verdict: $?"
    head -n 7 "$bed/verdict.out" | grep -v '^requests'
}

run >"$bed/run.out"
diff test/expect/path_recycle.out "$bed/run.out" || {
    cat "$bed/verdict.err"
    bed_fail "the run differs from what is expected"
}
cat "$bed"/caller-*.out "$bed/verdict.out"

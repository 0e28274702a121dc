#!/usr/bin/env bash
# Tests the configuration commands: check, apply, diff, show, watch and drain,
# with conflicting edits of two operators, lost replies, stale reads and an
# outage of the platform.  usage: test/ctl_config.sh BUILD
. "$(dirname "$0")/ctl_lib.bash"

edit() {                # FILE SED-COMMAND
    sed -i -e "$2" "$1"
}

run() {
    start_platform
    cp "$root"/examples/moravia/{base,*-sal*}.toml .
    local all="base.toml brno-sal-a.toml brno-sal-b.toml olomouc-sal.toml
        ostrava-sal.toml"

    echo "## An empty platform"
    ctl show
    ctl check $all
    ctl apply --change-id first $all
    ctl apply $all
    ctl diff $all

    echo "## A file that doesn't check is refused whole"
    cp brno-sal-a.toml good
    edit brno-sal-a.toml 's/"archiv"/"archivy"/'
    ctl check $all
    ctl apply --on 1 $all
    cp good brno-sal-a.toml
    ctl check brno-sal-a.toml
    ctl check nowhere.toml
    ctl check

    echo "## An edit"
    edit base.toml 's/^queue = 4/queue = 6/'
    ctl diff $all
    ctl apply --change-id second $all
    ctl apply --on 1 --change-id second $all

    echo "## Two operators edit version 2; both touch dohled's queue"
    mkdir theirs && cp *.toml theirs
    edit theirs/base.toml 's/^queue = 6/queue = 7/'
    edit theirs/base.toml 's/^drain_ms = 30000/drain_ms = 40000/'
    edit base.toml 's/^queue = 6/queue = 8/'
    edit base.toml 's/^come_back_s = 5/come_back_s = 6/'
    (cd theirs && ctl apply --on 2 --change-id theirs $all)
    ctl apply --on 2 --change-id mine $all
    ctl apply --json --on 2 --change-id mine $all

    echo "## Two that touch different lines: no collision is told"
    cp theirs/base.toml base.toml
    edit base.toml 's/^come_back_s = 5/come_back_s = 6/'
    edit theirs/brno-sal-a.toml '0,/^address.*/s//&\nweight = 20/'
    (cd theirs && ctl apply --on 3 --change-id weight $all)
    ctl apply --on 3 --change-id mine $all
    cp theirs/brno-sal-a.toml .
    ctl apply --on 4 --change-id mine $all

    echo "## The answer to a write is lost; then the whole platform"
    edit base.toml 's/^queue = 7/queue = 9/'
    switch lose_answers=2
    ctl apply --on 5 --change-id lost $all
    ctl apply --on 5 --change-id lost $all
    switch outage=1
    ctl apply --on 6 $all
    ctl show
    switch outage=0

    echo "## Version 5's texts again, while a lagging read shows version 5"
    cp base.toml nine
    edit base.toml 's/^queue = 9/queue = 7/'
    switch stale_reads=1
    ctl apply --on 6 --change-id back $all
    cp nine base.toml

    echo "## An upstream passes to the other service"
    edit olomouc-sal.toml 's/"archiv"/"dohled"/'
    ctl apply --on 7 $all
    cp theirs/olomouc-sal.toml .

    echo "## An upstream is drained, in the text that is in force"
    ctl drain --upstream 127.2.4.1:5683
    ctl drain --upstream 127.2.4.1:5683
    ctl show olomouc-sal
    ctl diff $all
    ctl undrain --upstream 127.2.4.1:5683
    ctl drain --upstream 127.2.9.9:5683
    ctl drain --upstream here

    echo "## A watch tells the next version when it comes"
    ctl watch --count 2 >watched &
    local watch=$!
    for _ in $(seq 200); do
        grep -q '^version 9' watched && break
        sleep 0.05
    done
    ctl drain --upstream 127.2.3.1:5683
    wait "$watch"
    cat watched

    echo "## The texts in force go to new files only"
    mkdir fresh
    ctl show --into fresh
    ctl show --into fresh
    ctl show nave-a

    echo "## A data centre is evacuated, and taken back"
    ctl drain --data-centre brno-sal-a
    ctl drain --data-centre brno-sal-a
    ctl diff $all | grep -c draining
    ctl undrain --data-centre brno-sal-a
    ctl diff $all
    ctl drain --data-centre nowhere
    ctl drain --data-centre brno-sal-a --upstream 127.2.4.1:5683
}

run >out
expect <out

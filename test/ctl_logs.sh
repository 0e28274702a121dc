#!/usr/bin/env bash
# Tests siskinctl explain and report on instances' logs: the trace of a
# request, a flow and an upstream, the summary of a period, and plots.  Lines of
# other programs are skipped, as is a host name put in front by a log collector.
# usage: test/ctl_logs.sh BUILD
. "$(dirname "$0")/ctl_lib.bash"

t=2026-01-02T03:04
cat >a.log <<END
$t:05.000Z INFO  try-a main: Started. data_centre=dc-0 store=http://10.0.0.1:1 records=65536
$t:05.030Z INFO  try-a routes: In force. version=1 routes=3 revision=7
$t:05.030Z INFO  try-a packets: Serving. since_start_ms=30 dropped=0
$t:06.000Z INFO  try-a flow: Opening. flow=10.1.0.1:1024>198.18.0.1:443 copy=0 reason=chosen upstream=5a0001 to=10.2.0.1:7100 service=feed busy=0 open=0 version=1 replica_age_ms=40
$t:06.004Z INFO  try-a request: Begins. request=aa01 flow=10.1.0.1:1024>198.18.0.1:443 upstream=5a0001 busy=1
$t:06.300Z WARN  try-a reach: Upstream. upstream=5a0001 addr=10.2.0.1:7100 service=feed data_centre=dc-0 was=good is=suspect why="a request is not answered" open=1
$t:06.500Z WARN  try-a reach: Upstream. upstream=5a0001 addr=10.2.0.1:7100 service=feed data_centre=dc-0 was=suspect is=unreachable why="it alone did not answer three probes" open=1
$t:06.500Z INFO  try-a flow: Reset. flow=10.1.0.1:1024>198.18.0.1:443 reason=upstream-unreachable upstream=5a0001 seq=7
$t:07.000Z INFO  try-a routes: In force. version=2 routes=4 revision=9
END
cat >b.log <<END
not a line of an instance
   6.6 machine-b $t:05.100Z INFO  try-b main: Started. data_centre=dc-1 store=http://10.0.0.1:1 records=65536
   6.6 machine-b $t:05.140Z INFO  try-b routes: In force. version=1 routes=3 revision=7
   6.6 machine-b $t:05.140Z INFO  try-b packets: Serving. since_start_ms=40 dropped=0
   6.6 machine-b $t:06.510Z INFO  try-b flow: Opening. flow=10.1.0.1:1025>198.18.0.1:443 copy=0 reason=chosen upstream=5a0002 to=10.2.0.2:7100 service=feed busy=0 open=0 version=1 replica_age_ms=40
   6.6 machine-b $t:06.512Z INFO  try-b request: Begins. request=aa01 flow=10.1.0.1:1025>198.18.0.1:443 upstream=5a0002 busy=1
   6.6 machine-b $t:07.040Z INFO  try-b routes: In force. version=2 routes=4 revision=9
   6.6 machine-b $t:07.041Z INFO  try-b upstreams: Withdrawn. upstream=5a0001 revision=10
END

cat >c.log <<END
$t:08.000Z WARN  try-c limit: In force. service=feed data_centres=own busy=21 limit=13 slow_share=0.81 target_share=0.55 refused=0
$t:08.120Z INFO  try-c flow: Reset. flow=10.1.0.2:1030>198.18.0.1:443 reason=overload service=feed busy=14 limit=13 version=2
$t:08.900Z INFO  try-c limit: Ended. service=feed data_centres=own busy=3 limit=0 slow_share=0.28 target_share=0.55 refused=40
END

cat >d.log <<END
$t:07.000Z INFO  try-d requests: Applied. name=l1 kind=limit service=feed author="ana" expires_in_ms=599998 revision=40
$t:07.500Z INFO  try-d load: In force. service=feed age_ms=120
$t:08.120Z INFO  try-d flow: Reset. flow=10.1.0.3:1031>198.18.0.1:443 reason=held-down service=feed version=2
$t:08.300Z INFO  try-d flow: Reset. flow=10.1.0.4:1032>198.18.0.1:443 reason=caller-share service=feed version=2
$t:09.100Z INFO  try-d admit: Shares. service=feed shares=1.00,1.00,1.00,0.20
$t:20.000Z INFO  try-d place: Weights. service=feed
END

run() {
    echo "## A request: both of its flows, and what was believed meanwhile"
    ctl explain aa01 a.log b.log
    echo "## A flow, by standard input"
    ctl explain '10.1.0.1:1025>198.18.0.1:443' <b.log
    echo "## An upstream"
    ctl explain 5a0001 a.log b.log
    echo "## An opening that was refused for load"
    ctl explain '10.1.0.2:1030>198.18.0.1:443' c.log
    echo "## Openings that a rule, and a caller's share, refused"
    ctl explain '10.1.0.3:1031>198.18.0.1:443' d.log
    ctl explain '10.1.0.4:1032>198.18.0.1:443' d.log
    echo "## What nobody names; a file that isn't there"
    ctl explain bb02 a.log b.log
    ctl explain aa01 none.log
    ctl explain
    ctl explain aa01 </dev/null
    echo "## What is no log"
    head -c 300000 "$b/siskinctl" >binary
    head -c 700 a.log | tr 'a' '\000' >damaged
    ctl explain aa01 binary damaged
    echo "## The time as a whole"
    ctl report a.log b.log
    ctl report --json a.log b.log
    ctl report </dev/null
    echo "## Plots, into new files only"
    mkdir plots
    ctl report --into plots a.log b.log >/dev/null
    cat plots/seconds.dat plots/versions.dat plots/instances.dat
    (cd plots && gnuplot report.gp 2>/dev/null && grep -c '<svg' report.svg)
    ctl report --into plots a.log
    echo "## Plots, into a directory with a long name"
    deep=$(printf 'd%.0s' {1..250})/$(printf 'd%.0s' {1..250})
    mkdir -p "$deep"
    ctl report --into "$deep" a.log >/dev/null
    ls "$deep"
}

run >"$dir/out" 2>&1
expect <"$dir/out"

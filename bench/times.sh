#!/usr/bin/env bash
# Prints how long changes take to reach the instances, from their logs: for each
# kind of change the number of changes, the most instances that one reached, and
# the time from the first instance to the median and to the last one, in ms, of
# the median change and of the slowest.  Then the time from start to serving.
# What an instance learns between its start and serving does not count.
# usage: bench/times.sh [LOG]...
set -eu
export LC_ALL=C
cat -- "$@" | awk '
    function ms(t,    p) {
        split(t, p, /[T:.Z]/)
        return ((p[2] * 60 + p[3]) * 60 + p[4]) * 1000 + p[5]
    }
    !match($0, /20[0-9][0-9]-[0-9][0-9]-[0-9][0-9]T[0-9:.]+Z/) { next }
    {
        at = ms(substr($0, RSTART, RLENGTH))
        line = substr($0, RSTART + RLENGTH)
        split(line, word, " ")
        instance = word[2]
    }
    line ~ / main: Started\./ { starting[instance] = 1 }
    line ~ / packets: Serving\./ { starting[instance] = 0 }
    starting[instance] { next } # what it learns now is no change
    line ~ /routes: In force\./ && match(line, /version=[0-9]+/) {
        print "version", substr(line, RSTART, RLENGTH), at
    }
    line ~ /upstreams: Announced\..*state=draining/ &&
        match(line, /upstream=[0-9a-f]+/) {
        print "drain", substr(line, RSTART, RLENGTH), at
    }
    line ~ /upstreams: Withdrawn\./ && match(line, /upstream=[0-9a-f]+/) {
        print "end", substr(line, RSTART, RLENGTH), at
    }
    line ~ /evacuation: (Begun|Ended)\./ &&
        match(line, /data_centre=.* revision=[0-9]+/) {
        id = substr(line, RSTART, RLENGTH)
        gsub(/ /, ",", id)
        print "evacuation", id, at
    }
    line ~ /packets: Serving\./ && match(line, /since_start_ms=[0-9]+/) {
        print "serving", "start", substr(line, RSTART + 15, RLENGTH - 15)
    }' | sort -k1,1 -k2,2 -k3,3n | awk '
    function close_change() {
        if (n == 0 || kind == "serving")
            return
        print kind, n, t[int((n + 1) / 2)] - t[1], t[n] - t[1]
    }
    $1 == "serving" { print; next }
    $1 != kind || $2 != id { close_change(); kind = $1; id = $2; n = 0 }
    { t[++n] = $3 }
    END { close_change() }' | sort -k1,1 -k4,4n | awk '
    function close_kind() {
        if (kind == "")
            return
        printf "%-11s %7d %9d   %6d %6d   %6d %6d\n", kind, changes, reached,
            middle[int((changes + 1) / 2)], last[int((changes + 1) / 2)],
            middle[changes], last[changes]
    }
    BEGIN {
        print "change      changes instances   median:middle last  slowest:" \
            "middle last"
    }
    $1 == "serving" { since[++starts] = $3; next }
    $1 != kind { close_kind(); kind = $1; changes = reached = 0 }
    {
        middle[++changes] = $3
        last[changes] = $4
        reached = $2 > reached ? $2 : reached
    }
    END {
        close_kind()
        for (i = 2; i <= starts; i++)
            for (k = i; k > 1 && since[k] < since[k - 1]; k--) {
                x = since[k]; since[k] = since[k - 1]; since[k - 1] = x
            }
        if (starts > 0)
            printf "serving after a start: starts %d, median %d ms, last %d" \
                " ms\n", starts, since[int((starts + 1) / 2)], since[starts]
    }'

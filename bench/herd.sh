#!/usr/bin/env bash
# All instances start at once, then are all killed and start again: how long
# each takes from its start until it serves, and what it costs the store; then
# what each costs in calm.
# usage: bench/herd.sh BUILD [INSTANCES UPSTREAMS [DATA-CENTRES]]
set -u
instances=${2:-30}
upstreams=${3:-300}
centres=${4:-4}
set -- "$1"
. "$(dirname "$0")/../test/tagged_bed.bash" "$1"

all_serve() {
    for n in $(seq "$instances"); do
        until_quietly grep -q 'Serving' "i$n.log"
    done
}

turn() {                # WHAT
    local n calls_before pages_before
    calls_before=$(calls)
    pages_before=$(pages)
    for n in $(seq "$instances"); do
        : >"i$n.log"
        instance "$n"
    done
    all_serve
    grep -h 'Serving' i*.log | sed 's/.*since_start_ms=\([0-9]*\).*/\1/' |
        sort -n >took
    echo "$1: instances=$instances upstreams=$upstreams serve=$(wc -l <took)" \
        "ms: median=$(sed -n "$((instances / 2 + 1))p" took)" \
        "last=$(tail -1 took) store: calls=$(($(calls) - calls_before)) pages=$(($(pages) - pages_before))"
}

# Ticks (10 ms) of processor time that each process has used.
ticks() {
    local n
    for n in $(seq "$instances"); do
        awk '{print $14 + $15}' "/proc/${process[i$n]}/stat"
    done
}

# The sum of a metric, and its largest.
of_all() {              # NAME
    local n
    for n in $(seq "$instances"); do
        metric "$n" "$1"
    done | awk '{s += $1; if ($1 > m) m = $1} END {print s + 0, m + 0}'
}

calm() {                # SECONDS
    local calls_before=$(calls) asked=$(of_all peer_calls_total)
    ticks >before
    sleep "$1"
    ticks >after
    paste before after | awk '{print $2 - $1}' | sort -n >used
    echo "in calm, $1 s: ms of processor: median=$(sed -n "$((instances / 2 + 1))p" used)0" \
        "busiest=$(tail -1 used)0 store: calls=$(($(calls) - calls_before))" \
        "asks of peers (sum, most): $asked -> $(of_all peer_calls_total)" \
        "failed: $(of_all peer_failures_total) followers: $(of_all followers)"
}

start_store
configure 1
entries "$upstreams"
for n in $(seq "$instances"); do
    settings "$n" dc-$((n % centres))
done
turn "first start"
sleep 10 # announced by then
for n in $(seq "$instances"); do
    signal "i$n" KILL
    ended "i$n" 2>/dev/null
done
turn "all killed"
sleep 10
calm 10

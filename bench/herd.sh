#!/usr/bin/env bash
# Measures simultaneous starts: starts all instances at once, kills them all, and
# starts them again.  Prints the time of each from its start until it serves and
# the calls to the store, then the cost of an idle instance.
# usage: bench/herd.sh BUILD [INSTANCES UPSTREAMS [DATA-CENTRES]]
set -u
instances=${2:-30}
upstreams=${3:-300}
centres=${4:-4}
set -- "$1"
. "$(dirname "$0")/../test/tagged_bed.bash" "$1"

wait_until_all_serve() {
    for n in $(seq "$instances"); do
        until_quietly grep -q 'Serving' "i$n.log"
    done
}

measure_start() {       # LABEL
    local n calls_before pages_before
    calls_before=$(calls)
    pages_before=$(pages)
    for n in $(seq "$instances"); do
        : >"i$n.log"
        instance "$n"
    done
    wait_until_all_serve
    grep -h 'Serving' i*.log | sed 's/.*since_start_ms=\([0-9]*\).*/\1/' |
        sort -n >start_ms
    echo "$1: instances=$instances upstreams=$upstreams serve=$(wc -l <start_ms)" \
        "ms: median=$(sed -n "$((instances / 2 + 1))p" start_ms)" \
        "last=$(tail -1 start_ms) store: calls=$(($(calls) - calls_before)) pages=$(($(pages) - pages_before))"
}

# Prints the processor time of each process, in ticks of 10 ms.
ticks() {
    local n
    for n in $(seq "$instances"); do
        awk '{print $14 + $15}' "/proc/${process[i$n]}/stat"
    done
}

# Prints the sum and the maximum of a metric over all instances.
metric_sum_max() {      # NAME
    local n
    for n in $(seq "$instances"); do
        metric "$n" "$1"
    done | awk '{s += $1; if ($1 > m) m = $1} END {print s + 0, m + 0}'
}

measure_idle() {        # SECONDS
    local calls_before=$(calls) peer_calls_before=$(metric_sum_max peer_calls_total)
    ticks >before
    sleep "$1"
    ticks >after
    paste before after | awk '{print $2 - $1}' | sort -n >used
    echo "in calm, $1 s: ms of processor: median=$(sed -n "$((instances / 2 + 1))p" used)0" \
        "busiest=$(tail -1 used)0 store: calls=$(($(calls) - calls_before))" \
        "asks of peers (sum, most): $peer_calls_before -> $(metric_sum_max peer_calls_total)" \
        "failed: $(metric_sum_max peer_failures_total) followers: $(metric_sum_max followers)"
}

start_store
configure 1
entries "$upstreams"
for n in $(seq "$instances"); do
    settings "$n" dc-$((n % centres))
done
measure_start "first start"
sleep 10 # until all instances are announced
for n in $(seq "$instances"); do
    signal "i$n" KILL
    ended "i$n" 2>/dev/null
done
measure_start "all killed"
sleep 10
measure_idle 10

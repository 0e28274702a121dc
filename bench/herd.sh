#!/usr/bin/env bash
# All instances start at once, then are all killed and start again: how long
# each takes from its start until it serves, and what it costs the store.
# usage: bench/herd.sh BUILD [INSTANCES UPSTREAMS]
set -u
instances=${2:-30}
upstreams=${3:-300}
set -- "$1"
. "$(dirname "$0")/../test/tagged_bed.bash" "$1"

all_serve() {
    for n in $(seq "$instances"); do
        until_quietly grep -q 'It serves' "i$n.log"
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
    grep -h 'It serves' i*.log | sed 's/.*since_start_ms=\([0-9]*\).*/\1/' |
        sort -n >took
    echo "$1: instances=$instances upstreams=$upstreams serve=$(wc -l <took)" \
        "ms: median=$(sed -n "$((instances / 2 + 1))p" took)" \
        "last=$(tail -1 took) store: calls=$(($(calls) - calls_before)) pages=$(($(pages) - pages_before))"
}

start_store
configure 1
entries "$upstreams"
for n in $(seq "$instances"); do
    settings "$n" dc-$((n % 4))
done
turn "first start"
sleep 10 # announced by then
for n in $(seq "$instances"); do
    signal "i$n" KILL
    ended "i$n" 2>/dev/null
done
turn "all killed"

#!/usr/bin/env bash
# Measures the processor time per packet of open tagged flows, compared with the
# bare relay in the same run.
# usage: bench/tagged.sh BUILD [TURNS] > table
set -u
turns=${2:-3}
set -- "$1"
. "$(dirname "$0")/../test/tagged_bed.bash" "$1"
up=$net.220:7100
seconds=4

announce_upstream() {   # announces an upstream that consists of a socket only
    local value
    value=$(printf '{"service":"feed","address":"%s","zone":"dc-0","version":"v1","slots":2,"state":"ready","warmup_left_ms":0,"sequence":1}' $up | base64 -w0)
    curl -s -o /dev/null -X POST "$store/api/kv-txn?as=platform" -d \
        "{\"precondition\":[],\"puts\":[{\"key\":\"servers/i-00000000ab\",\"value\":\"$value\",\"lease\":0}],\"remove\":[]}"
}

start_store
configure 1
announce_upstream
settings 1 dc-0
sed -i 's/^stop_ms/log_level = "warn"\nstop_ms/' 1.toml
instance 1
until_quietly ready 1
start relay "$b/relay" $net.230:7000 $net.230:7001 $up
sleep 0.3
echo "# processor time in microseconds a packet (user and system), 500 flows,"
echo "# 272 bytes, $turns turns of $seconds s each, $(nproc) cores; median"
for rate in 10000 30000 60000; do
    rm -f ./*.out
    for _ in $(seq "$turns"); do
        "$b/tagged_load" $net.230:7000 $up "${process[relay]}" ab $rate $seconds >>relay.out
        "$b/tagged_load" $net.1:7000 $up "${process[i1]}" ab $rate $seconds >>siskind.out
    done
    for target in relay siskind; do
        sed 's/.*arrived=\([0-9]*\) cpu_us=\(.*\)/\2 \1/' $target.out | sort -n |
            sed -n "$(((turns + 1) / 2))p" >$target.median
    done
    echo "rate=$rate relay=$(cut -d' ' -f1 relay.median) siskind=$(cut -d' ' -f1 siskind.median) ratio=$(paste -d' ' siskind.median relay.median | awk '{printf "%.2f", $1 / $3}') arrived=$(cut -d' ' -f2 siskind.median)/$(cut -d' ' -f2 relay.median)"
done

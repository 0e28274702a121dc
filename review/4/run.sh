#!/usr/bin/env bash
# FLOW: a foreign entry of a service that no configuration names, with the
# address of a live server, makes all instances reset that server's open flows.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0: the same without the foreign entry.
. "$(dirname "$0")/../bed-2.bash" "$(dirname "$0")"

foreign_key=servers/i-00005b0001
foreign_entry() {
    printf '{"service":"inventario","address":"%s","zone":"%s",%s}' \
        "$(server_address 1)" "${zones[1]}" \
        '"version":"v1","slots":3,"state":"ready","warmup_left_ms":0,"sequence":1,"born":1796380000000'
}

# Requests of at most once that began to run at server 1 and got no answer.
count_lost() {
    awk 'FILENAME == "server-1.log" && $2 == "run" && $3 !~ /^safe/ {ran[$3]}
         FILENAME == "callers.log" && $2 == "done" && $5 == "failed" &&
             ($3 in ran) {n++}
         END {print n + 0}' server-1.log callers.log
}

start_deployment 16
if [ "$trouble" != 0 ]; then
    put "$foreign_key" "$(foreign_entry)"
    note "another writer put $foreign_key: $(foreign_entry)"
fi
wait "${process[callers]}"
unset "process[callers]"
for n in 1 2 3 4 5 6 7 8; do
    alive "server-$n" || cannot_run "server-$n has ended by itself"
done
note "all 8 servers live and were never disturbed"
sleep 0.3

# A reset without a checksum, on an open flow: the system's own.  Its tag names
# the flow's server.
resets=$(grep -c ' reset ' callers.log)
{
    echo "---- resets on open flows: time, request, tag of the server"
    grep ' reset ' callers.log
    echo "---- what the instances say of server 1 ($(server_id 1))"
    grep -h -e "$(printf '%x' $((0x5a0001)))" front-*.log |
        grep -v -e 'Opening' -e 'Begins' | head -n 60
    echo "---- totals of the callers"
    grep ' total ' callers.log
} >>"$record"
note "open flows reset by the system while their server lived: $resets"
note "requests that may run once only, run at server 1 and never answered: $(count_lost)"
[ "$resets" -eq 0 ]

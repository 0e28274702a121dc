#!/usr/bin/env bash
# RECOVER: another writer's entry has a long key of characters outside ASCII,
# and is the last one of a page of the store's list.  After all instances have
# been killed at once, none of them reads the list to its end: nothing is served
# any more.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0: the same without the foreign entry.
. "$(dirname "$0")/../bed-2.bash" "$(dirname "$0")"

recovery_s=12
judged_s=8              # requests sent so long after that are judged
# 192 of the 200 bytes that a key may have; the list has it before the servers'.
foreign_key=servers/dc1-$(printf '\xe8\xa9\xa6%.0s' $(seq 60))
value_bytes=749950      # of the 1,048,576 that a value may have, unreadable

put_foreign() {
    head -c "$value_bytes" /dev/urandom | base64 -w0 >value
    http POST "/api/kv-txn?as=platform" "{\"precondition\":[],\"puts\":[\
{\"key\":\"$foreign_key\",\"value\":\"$(cat value)\",\"lease\":0}],\
\"remove\":[]}" >/dev/null
}

# Prints the requests that callers first sent between FROM and TO, and how many
# of them were served.
count_served() {        # FROM TO
    awk -v from="$1" -v to="$2" '$2 == "done" {
            sent = $1 - $7 / 1000
            if (sent >= from && sent < to) {
                n++
                served += $5 == "served"
            }
        }
        END {print n + 0, served + 0}' callers.log
}

start_deployment $((6 + 2 + recovery_s + judged_s + 5))
if [ "$trouble" != 0 ]; then
    put_foreign
    http GET "/api/kv-range?prefix=s" >list
    grep -q '"has_more": *true' list || cannot_run "the list has one page"
    note "another writer put a value of $value_bytes bytes under $foreign_key"
fi
sleep 4
begun=$(now)
for n in 1 2 3 4 5 6; do
    kill -KILL "${process[front-$n]}"
    wait "${process[front-$n]}" 2>/dev/null
done
note "all instances are killed"
sleep 1.5
for n in 1 2 3 4 5 6; do
    instance "$n"
done
back=$(now)
note "all instances run again"
wait "${process[callers]}"
unset "process[callers]"
for n in 1 2 3 4 5 6; do
    alive "front-$n" || note "front-$n has ended"
done
sleep 0.3
read -r before served_before < <(count_served 0 "$begun")
read -r after served_after < <(count_served \
    "$(awk -v t="$back" -v s=$recovery_s 'BEGIN {printf "%.3f", t + s}')" \
    "$(awk -v t="$back" -v s=$((recovery_s + judged_s)) \
        'BEGIN {printf "%.3f", t + s}')")
{
    echo "---- the last line of each instance"
    for n in 1 2 3 4 5 6; do
        tail -n 1 "front-$n.log" | cut -c1-260
    done
    echo "---- calls to the store by the end"
    http GET /calls
    echo
    http GET /pages
    echo
    echo "---- totals of the callers"
    grep ' total ' callers.log
} >>"$record"
note "before the fault: $served_before of $before requests served"
note "later than $recovery_s s after the instances were back: $served_after of $after served"
record_traffic >>"$record"
[ "$after" -gt 0 ] || cannot_run "no requests were sent"
[ $((4 * served_after)) -ge "$after" ]

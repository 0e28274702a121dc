# Common functions of the scripted tests of tagged flows: stand-ins for the
# users' platform, and instances, servers and callers as separate processes.
# Sourced with the build directory as $1.
set -u
b=$(cd "$1" && pwd)
expected=$(cd "$(dirname "$0")" && pwd)/expect/$(basename "$0" .sh).out
dir=$(mktemp -d)
# Callers and instances use the same ports, so each run has its own addresses.
net=127.$((40 + $$ % 150)).$(($$ / 150 % 250))
store_port=$((20000 + $$ % 12000)) # below the ephemeral ports
store=http://127.0.0.1:$store_port
declare -A process

tagged_cleanup() {
    local p
    for p in "${process[@]}"; do
        kill -CONT "$p" 2>/dev/null
        kill -KILL "$p" 2>/dev/null
    done
    wait "${process[@]}" 2>/dev/null
    if [ -n "${KEEP:-}" ]; then
        echo "kept: $dir" >&2
    else
        rm -rf "$dir"
    fi
}
trap tagged_cleanup EXIT
cd "$dir" || exit 1

start() {               # NAME COMMAND...
    local p=$1
    shift
    "$@" >>"$p.log" 2>>"$p.err" &
    process[$p]=$!
}

signal() {              # NAME SIGNAL
    kill "-$2" "${process[$1]}" 2>/dev/null
}

ended() {               # NAME: waits for its end; the status is in $rc
    wait "${process[$1]}"
    rc=$?
    unset "process[$1]"
}

start_store() {
    start store "$b/si_pstore" --port="$store_port"
    until_quietly curl -sf -m 1 -o /dev/null "$store/calls"
}

switch() {              # QUERY
    curl -s -m 3 -o /dev/null -X POST "$store/switch?$1"
}

calls() {
    curl -s -m 3 "$store/calls" | tr -dc 0-9
}

lists() {               # full lists that the store has served
    curl -s -m 3 "$store/lists" | tr -dc 0-9
}

pages() {               # list pages served after the first ones
    curl -s -m 3 "$store/pages" | tr -dc 0-9
}

# Three routes, to the services "feed" and "archive".
configure() {           # VERSION [EXTRA-ROUTE-PORT]
    local extra=
    [ $# -lt 2 ] || extra=",{\"name\":\"r4\",\"host\":\"198.18.0.1\",\
\"prefix\":\"/$2/\",\"kind\":\"safe\",\"service\":\"feed\"}"
    curl -s -m 3 -o /dev/null -X POST --data-binary @- "$store/config" <<END
{"version":$1,"routes":[
{"name":"r1","host":"198.18.0.1","prefix":"/8443/","kind":"safe","service":"feed"},
{"name":"r2","host":"198.18.0.1","prefix":"/8080/","kind":"unsafe","service":"feed"},
{"name":"r3","host":"198.18.0.2","prefix":"/8443/","kind":"upload",
 "backends":[{"service":"archive","weight":1}]}$extra],
"services":[{"name":"feed"},{"name":"archive"}],
"limits":{"idle_timeout_ms":15000}}
END
}

settings() {            # NUMBER DATA-CENTRE [STORE-URL]: writes N.toml
    cat >"$1.toml" <<END
kind = "tagged"
name = "try-$1"
data_centre = "$2"
flow_addr = "$net.$1:7000"
ready_addr = "$net.$1:7001"
admin_addr = "$net.$1:7002"
store_url = "${3:-$store}"
stop_ms = 6000
link_mbps = 100
seeds = ["$net.1:7002", "$net.2:7002"]
END
}

instance() {            # NUMBER
    start "i$1" "$b/siskind" "$1.toml"
}

server() {              # NUMBER SERVICE DATA-CENTRE [OPTION]...
    local n=$1 service=$2 dc=$3
    shift 3
    start "s$n" "$b/si_pserver" --id="$(printf '%010x' $((0x5a0000 + n)))" \
        --address="$net.$((100 + n)):7100" --service="$service" \
        --zone="$dc" --store="$store" --caller-port=7000 "$@"
}

callers() {             # SECONDS INSTANCES [OPTION]...: in the background
    local seconds=$1 n=$2 i list=()
    shift 2
    for i in $(seq "$n"); do
        list+=("--instance=$net.$i:7000,$net.$i:7001")
    done
    start callers "$b/si_pcaller" --bind="$net.200:7000" "${list[@]}" \
        --route=198.18.0.1:8443,safe,12 --route=198.18.0.1:8080,unsafe,6 \
        --route=198.18.0.2:8443,upload,2 --seconds="$seconds" "$@"
}

# Announces COUNT upstreams of "feed" that exist as store entries only.
entries() {             # COUNT
    local i puts= value
    for i in $(seq "$1"); do
        value=$(printf '{"service":"feed","address":"10.9.%d.%d:7100","zone":"dc-0","version":"v1","slots":2,"state":"ready","warmup_left_ms":0,"sequence":1}' \
            $((i / 250)) $((i % 250 + 1)))
        puts+=$(printf '{"key":"servers/i-%010x","value":"%s","lease":0},' \
            $((0x660000 + i * 7919)) "$(base64 -w0 <<<"$value")")
        if [ $((i % 32)) -eq 0 ] || [ "$i" -eq "$1" ]; then
            echo "{\"precondition\":[],\"puts\":[${puts%,}],\"remove\":[]}" |
                curl -s -o /dev/null -X POST --data-binary @- \
                    "$store/api/kv-txn?as=platform"
            puts=
        fi
    done
}

evacuate() {            # DATA-CENTRE
    curl -s -m 3 -o /dev/null -X POST --data-binary "{\"precondition\":[],\
\"puts\":[{\"key\":\"op/evacuate/$1\",\"value\":\"e30=\",\"lease\":0}],\
\"remove\":[]}" "$store/api/kv-txn?as=platform"
}

readmit() {             # DATA-CENTRE: ends its evacuation
    curl -s -m 3 -o /dev/null -X POST --data-binary "{\"precondition\":[],\
\"puts\":[],\"remove\":[\"op/evacuate/$1\"]}" "$store/api/kv-txn?as=platform"
}

until_quietly() {       # COMMAND...: retries every 50 ms for up to 30 s
    for _ in $(seq 600); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    return 1
}

until_true() {          # WHAT COMMAND...
    local what=$1
    shift
    if until_quietly "$@"; then
        echo "$what"
    else
        echo "not so after 30 s: $what"
        tail -n 5 ./*.log ./*.err >&2
    fi
}

ready() {               # NUMBER
    curl -sf -m 1 -o /dev/null "http://$net.$1:7001/ready"
}

metric() {              # NUMBER NAME
    curl -s -m 3 "http://$net.$1:7002/metrics" |
        awk -v m="siskin_$2" '$1 == m {print $2}'
}

metric_is() {           # NUMBER NAME TEST-OPERATOR VALUE
    [ "$(metric "$1" "$2")" "$3" "$4" ]
}

# Counts requests that servers began more than once: of all requests, or of
# those that may run at most once.
count_repeated() {
    cat s*.log | awk '$1 == "run" {n[$2]++}
        END {for (q in n) m += n[q] > 1; print m + 0}'
}

count_repeated_once_only() {
    cat s*.log | awk '$1 == "run" && $2 !~ /^safe-/ {n[$2]++}
        END {for (q in n) m += n[q] > 1; print m + 0}'
}

# Counts requests that ran at another service than their route's.
count_misrouted() {
    awk '$1 == "run" && $3 != ($2 ~ /^upload-/ ? "archive" : "feed") {m++}
        END {print m + 0}' s*.log
}

count_forged() {
    cat s*.log | grep -c -e '^forged' -e '^unasked'
}

total() {               # KIND FIELD
    sed -n "s/^total $1 .*$2=\([0-9]*\).*/\1/p" callers.log
}

expect() {
    diff -u "$expected" - && echo "as expected"
}

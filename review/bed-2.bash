# Common functions of review/4 and review/5: a small deployment of the users'
# platform on loopback.  The instances are started by the command of the deploy
# file; store, servers and callers are the project's stand-ins.
# Sourced by run.sh with its own folder as $1.
set -u
export LC_ALL=C           # ${#body} counts bytes
case_dir=$(cd "$1" && pwd)
repo=$(cd "$case_dir/../.." && pwd)
t=$repo/target
record=$case_dir/record.txt
trouble=${TROUBLE:-1}
dir=$(mktemp -d)
net=127.$((40 + $$ % 150)).$(($$ / 150 % 250)) # addresses of this run
declare -A process
: >"$record"

bed_cleanup() {
    local p
    for p in "${process[@]}"; do
        kill -KILL "$p" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$dir"
}
trap bed_cleanup EXIT
cd "$dir" || exit 2

now() {                 # seconds since the epoch, with microseconds
    echo "${EPOCHREALTIME/,/.}"
}

note() {
    echo "$(now) $*" | tee -a "$record"
}

cannot_run() {
    note "the case could not run: $*"
    tail -n 5 ./*.err >>"$record" 2>/dev/null
    exit 2
}

stamp() {               # prefixes each line with the time at which it came
    local line
    while IFS= read -r line; do
        echo "${EPOCHREALTIME/,/.} $line"
    done
}

start() {               # NAME COMMAND...: NAME.log holds its output, stamped
    local name=$1
    shift
    "$@" > >(stamp >>"$name.log") 2>>"$name.err" &
    process[$name]=$!
}

# ---- The store, by HTTP over /dev/tcp ----

http() {                # METHOD PATH [BODY]: prints the body of the answer
    local body=${3:-}
    exec 9<>"/dev/tcp/127.0.0.1/$store_port" || return 1
    printf '%s %s HTTP/1.1\r\nHost: store\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
        "$1" "$2" "${#body}" "$body" >&9
    timeout 3 sed '1,/^\r$/d' <&9
    exec 9<&- 9>&-
}

is_free() {             # PORT of 127.0.0.1
    ! (exec 8<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

start_store() {
    store_port=$((20000 + $$ % 12000)) # below the ephemeral ports
    until is_free $store_port; do
        store_port=$((store_port + 1))
    done
    start store "$t/rv_pstore" --port=$store_port
    until_true "the store answers" http GET /calls
}

put() {                 # KEY VALUE [LEASE]: as a writer other than the system
    local value
    value=$(printf '%s' "$2" | base64 -w0)
    http POST "/api/kv-txn?as=platform" "{\"precondition\":[],\"puts\":[\
{\"key\":\"$1\",\"value\":\"$value\",\"lease\":${3:-0}}],\"remove\":[]}" \
        >/dev/null
}

item() {                # KEY: the item as JSON
    http GET "/api/kv-range?prefix=$1"
}

value_of() {            # KEY
    item "$1" | sed -n 's/.*"value": *"\([^"]*\)".*/\1/p' | base64 -d
}

lease_of() {            # KEY
    item "$1" | sed -n 's/.*"lease": *\([0-9]*\).*/\1/p'
}

configure() {           # VERSION
    local value
    value=$(cat <<END
{"version":$1,"routes":[
{"name":"r1","host":"198.18.0.1","prefix":"/8443/","kind":"safe",
 "service":"mesa-control","goal_ms":250,"timeout_ms":2500,"priority":2},
{"name":"r2","host":"198.18.0.1","prefix":"/8080/","kind":"unsafe",
 "service":"mesa-control","goal_ms":300,"timeout_ms":3000,"priority":1},
{"name":"r3","host":"198.18.0.2","prefix":"/8443/","kind":"upload",
 "service":"registro-ensayos","goal_ms":500,"timeout_ms":5000,"priority":2}],
"services":[{"name":"mesa-control"},{"name":"registro-ensayos"}],
"limits":{"idle_timeout_ms":12000}}
END
)
    put op/config "$value"
}

# ---- Processes ----

zones=(nave-a nave-b sala-datos)

instance() {            # NUMBER: the settings are deploy/instance.toml filled in
    local n=$1
    cat >"$n.toml" <<END
kind = "tagged"
name = "front-$n"
data_centre = "${zones[$((n % 3))]}"
flow_addr = "$net.$n:7000"
ready_addr = "$net.$n:7001"
admin_addr = "$net.$n:7002"
store_url = "http://127.0.0.1:$store_port"
apply_ms = 3000
drain_ms = 3000
flow_ttl_s = 60
stop_ms = 6000
link_mbps = 1000.0
seeds = ["$net.1:7002","$net.2:7002","$net.3:7002"]
load_addr = "$net.$n:7720"
features = ["base","drain","config","cost","recover","flows","platform"]
share_load = "auto"
END
    start "front-$n" "$t/siskind" "$n.toml"
}

server_id() {           # NUMBER
    printf '%010x' $((0x5a0000 + $1))
}

server_key() {          # NUMBER
    echo "servers/i-$(server_id "$1")"
}

server_address() {      # NUMBER
    echo "$net.$((100 + $1)):7100"
}

server() {              # NUMBER SERVICE [OPTION]...
    local n=$1 service=$2
    shift 2
    start "server-$n" "$t/si_pserver" --id="$(server_id "$n")" \
        --address="$(server_address "$n")" --service="$service" \
        --zone="${zones[$((n % 3))]}" --store="http://127.0.0.1:$store_port" \
        --caller-port=7000 --slots=3 --heartbeat-ms=770 "$@"
}

callers() {             # SECONDS INSTANCES
    local i list=()
    for i in $(seq "$2"); do
        list+=("--instance=$net.$i:7000,$net.$i:7001")
    done
    start callers "$t/si_pcaller" --bind="$net.200:7000" "${list[@]}" \
        --route=198.18.0.1:8443,safe,24 --route=198.18.0.1:8080,unsafe,24 \
        --route=198.18.0.2:8443,upload,2 --seconds="$1" \
        --pause-ms=150
}

until_true() {          # WHAT COMMAND...: tries for 15 s
    local what=$1
    shift
    for _ in $(seq 300); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    cannot_run "not so after 15 s: $what"
}

get() {                 # IP PORT PATH
    exec 7<>"/dev/tcp/$1/$2" || return 1
    printf 'GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' "$3" >&7
    timeout 3 cat <&7
    exec 7<&- 7>&-
}

serves() {              # INSTANCE UPSTREAMS: ready, and knows that many
    get "$net.$1" 7001 /ready | grep -q '^HTTP/1.1 200' &&
        get "$net.$1" 7002 /metrics |
        grep -q "^siskin_upstreams_usable $2\r*\$"
}

alive() {               # NAME
    kill -0 "${process[$1]}" 2>/dev/null
}

# Store, 6 instances, 6 servers of mesa-control and 2 of registro-ensayos in 3
# zones, and callers; all have been in touch for more than contact_ms (4 s).
start_deployment() {    # SECONDS-OF-TRAFFIC [OPTION-OF-SERVER-1]...
    local seconds=$1 i
    shift
    for i in siskind rv_pstore si_pserver si_pcaller; do
        [ -x "$t/$i" ] || cannot_run "target/$i is missing"
    done
    start_store
    configure 7
    for i in 1 2 3 4 5 6; do
        instance "$i"
    done
    server 1 mesa-control --work-ms=40 "$@"
    for i in 2 3 4 5 6; do
        server "$i" mesa-control --work-ms=40
    done
    server 7 registro-ensayos
    server 8 registro-ensayos
    for i in 1 2 3 4 5 6; do
        until_true "front-$i serves" serves "$i" 8
    done
    note "6 instances serve 8 servers"
    callers "$seconds" 6
    sleep 6
    for i in 1 2 3 4 5 6; do
        alive "front-$i" || cannot_run "front-$i has ended"
    done
}

# Adds to the record what callers asked and were told, and what servers ran:
# each line begins with the time at which it came.
record_traffic() {
    echo "---- callers: done ID KIND OUTCOME TRIES MS; reset ID TAG MS"
    cat callers.log
    echo "---- servers: run ID SERVICE"
    for log in server-*.log; do
        sed "s/^/${log%.log} /" "$log"
    done
}

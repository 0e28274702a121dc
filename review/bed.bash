# Common functions of the scripts in review/: a small deployment of three zones
# on loopback.  Sourced from review/N/run.sh.  Needs bash, coreutils, grep, sed
# and awk only.
set -u
export LC_ALL=C # lengths in bytes
case_dir=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_dir/../.." && pwd)
trouble=${TROUBLE:-1}
record=$case_dir/record.txt
dir=$(mktemp -d)
# Callers and instances use the same ports, so each run has its own addresses.
net=127.$((40 + RANDOM % 150)).$((RANDOM % 250))
store_port=$((20000 + RANDOM % 12000)) # below the ephemeral ports
while (exec 3<>"/dev/tcp/127.0.0.1/$store_port") 2>/dev/null; do
    store_port=$((20000 + RANDOM % 12000)) # something listens there
done
route_ip=127.198.0.1
upload_ip=127.198.0.2
declare -A process
store_address=() # by instance; without one it calls the store itself

cleanup() {
    local p
    exec 2>/dev/null # no notice of each process that ends
    for p in "${process[@]}"; do
        kill -KILL "$p" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$dir"
}
trap cleanup EXIT
cd "$dir" || exit 2
: >"$record" || exit 2

cannot_run() {          # WHY
    echo "could not run: $1" | tee -a "$record"
    exit 2
}

now_ms() {
    echo "${EPOCHREALTIME/[.,]/}" | sed 's/...$//'
}

note() {                # TEXT: a line of the record
    echo "$(now_ms) script: $1" >>"$record"
}

start() {               # NAME COMMAND...
    local p=$1
    shift
    "$@" >>"$p.log" 2>>"$p.err" &
    process[$p]=$!
}

alive() {               # NAME
    kill -0 "${process[$1]}" 2>/dev/null
}

# HTTP without a client program: prints the body of the answer.
http() {                # ADDRESS PORT METHOD PATH [BODY]
    local body=${5:-} line
    exec {sock}<>"/dev/tcp/$1/$2" || return 1
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
        "$3" "$4" "$1" "${#body}" "$body" >&"$sock"
    status=0
    IFS= read -t 2 -r line <&"$sock" && status=${line:9:3}
    timeout 2 sed '1,/^\r$/d' <&"$sock"
    exec {sock}>&-
    [ "$status" = 200 ]
} 2>/dev/null

store() {               # METHOD PATH [BODY]
    http 127.0.0.1 "$store_port" "$@"
}

# Writes an entry under servers/, as another writer would.
put_entry() {           # KEY TEXT
    store POST "/api/kv-txn?as=platform" "{\"precondition\":[],\"puts\":[{\
\"key\":\"servers/$1\",\"value\":\"$(base64 -w0 <<<"$2")\",\"lease\":0}],\
\"remove\":[]}" >/dev/null
}

entry_of() {            # KEY: the entry in the store
    store GET "/api/kv-range?prefix=servers/$1" |
        sed -n 's/.*"value": *"\([^"]*\)".*/\1/p' | base64 -d
}

test_output() {         # COMMAND: true if it prints something
    [ -n "$("$1")" ]
}

until_true() {          # SECONDS COMMAND...: retries every 100 ms
    local n=$(($1 * 10))
    shift
    for ((; n > 0; n--)); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    return 1
}

start_store() {
    start store "$root/target/si_pstore" --port="$store_port"
    until_true 10 store GET /calls || cannot_run "the store does not answer"
}

# A fourth route, of one-request flows to "feed", with EXTRA-PORT.
configure() {           # VERSION [EXTRA-PORT]
    local extra=
    [ $# -lt 2 ] || extra=",{\"name\":\"r4\",\"host\":\"$route_ip\",\
\"prefix\":\"/$2/\",\"kind\":\"unsafe\",\"service\":\"feed\",\
\"timeout_ms\":3000,\"goal_ms\":300,\"priority\":1}"
    store POST /config "{\"version\":$1,\"routes\":[
{\"name\":\"r1\",\"host\":\"$route_ip\",\"prefix\":\"/8443/\",\"kind\":\"safe\",
 \"service\":\"feed\",\"timeout_ms\":2500,\"goal_ms\":250,\"priority\":2},
{\"name\":\"r2\",\"host\":\"$route_ip\",\"prefix\":\"/8080/\",\"kind\":\"unsafe\",
 \"service\":\"feed\",\"timeout_ms\":3000,\"goal_ms\":300,\"priority\":1},
{\"name\":\"r3\",\"host\":\"$upload_ip\",\"prefix\":\"/8443/\",\"kind\":\"upload\",
 \"service\":\"archive\",\"timeout_ms\":5000,\"goal_ms\":500,\"priority\":2}$extra],
\"services\":[{\"name\":\"feed\"},{\"name\":\"archive\"}],
\"limits\":{\"idle_timeout_ms\":12000}}" >/dev/null
}

# The template of the deploy file, filled in with the bounds of the small site
# that claim.txt names.
settings() {            # NUMBER ZONE: writes NUMBER.toml
    cat >"$1.toml" <<END
kind = "tagged"
name = "front-$2-$1"
data_centre = "$2"
flow_addr = "$net.$1:7000"
ready_addr = "$net.$1:7001"
admin_addr = "$net.$1:7002"
store_url = "http://${store_address[$1]:-127.0.0.1:$store_port}"
apply_ms = 3000
drain_ms = 3000
flow_ttl_s = 60
stop_ms = 6000
link_mbps = 1000
seeds = ["$net.1:7002", "$net.2:7002", "$net.3:7002"]
load_addr = "$net.$1:7720"
features = ["base", "drain", "config", "cost", "recover", "flows", "platform"]
share_load = "auto"
END
}

instance() {            # NUMBER: the command of the deploy file, other settings
    start "i$1" "$root/target/siskind" "$1.toml"
}

ready() {               # NUMBER
    http "$net.$1" 7001 GET /ready
}

server_key() {          # NUMBER
    printf 'i-%010x' $((0x5a0000 + $1))
}

server_tag() {          # NUMBER: as the callers print it
    printf '%x' $((0x5a0000 + $1))
}

server_address() {      # NUMBER
    echo "$net.$((100 + $1)):7100"
}

server() {              # NUMBER SERVICE ZONE [OPTION]...
    local n=$1 service=$2 zone=$3
    shift 3
    start "s$n" "$root/target/rv_server" --id="$(printf '%010x' $((0x5a0000 + n)))" \
        --address="$(server_address "$n")" --service="$service" --slots=3 \
        --zone="$zone" --store="http://127.0.0.1:$store_port" \
        --caller-port=7000 --heartbeat-ms=770 "$@"
}

# Three zones with an instance each; four servers of "feed", two of "archive".
# No server of "archive" is in zone-c.
start_deployment() {    # [OPTION of the servers]...
    local i n zones=(zone-a zone-b zone-c)
    for p in siskind si_pstore si_pproxy rv_caller rv_server; do
        [ -x "$root/target/$p" ] || cannot_run "target/$p is not built"
    done
    start_store
    configure 1 || cannot_run "the store refuses the configuration"
    for n in 1 2 3 4; do
        server "$n" feed "${zones[$((n % 3))]}" "$@"
    done
    server 5 archive zone-a "$@"
    server 6 archive zone-b "$@"
    for n in 1 2 3 4 5 6; do
        until_true 10 grep -q ' acked ' "s$n.log" ||
            cannot_run "server $n is not announced"
    done
    for i in 1 2 3; do
        settings "$i" "${zones[$((i - 1))]}"
        instance "$i"
    done
    for i in 1 2 3; do
        until_true 10 ready "$i" || cannot_run "instance $i is not ready"
    done
    sleep 5 # contact_ms: the machines are in touch
}

# Callers of each zone, in the background: some keep a flow open for many
# requests, others open a flow for each.
callers() {             # SECONDS [EXTRA-PORT]
    local z extra=()
    [ $# -lt 2 ] || extra=("--route=$route_ip:$2,unsafe,3")
    for z in 1 2 3; do
        FIRST_REQUEST=${z}000000 start "callers$z" "$root/target/rv_caller" \
            --bind="$net.$((200 + z)):7000" --seed="$z" \
            --instance="$net.$z:7000,$net.$z:7001" \
            --route="$route_ip:8443,safe,8" --route="$route_ip:8080,unsafe,4" \
            --route="$upload_ip:8443,upload,2" "${extra[@]}" --seconds="$1"
    done
}

callers_ended() {
    local z
    for z in 1 2 3; do
        wait "${process[callers$z]}"
        unset "process[callers$z]"
    done
    cat callers[1-3].log >callers.log
    write_record
    awk '$2 == "total" && $3 == "unsafe" {sub(/.*served=/, ""); n += $1}
        END {exit n <= 50}' callers.log ||
        cannot_run "the callers were not served"
}

# Appends what servers and callers wrote.
write_record() {
    local n
    for n in 1 2 3 4 5 6; do
        sed "s/^/server $n: /" "s$n.log" >>"$record"
    done
    sed 's/^/caller: /' callers.log >>"$record"
}

verdict() {             # COUNT WHAT
    note "$1 $2"
    echo "$1 $2"
    [ "$1" -eq 0 ] && exit 0
    exit 1
}

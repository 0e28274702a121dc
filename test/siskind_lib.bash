# Shared by the siskind test scripts: runs instances and upstreams as real
# processes beside the platform of ctl_lib.bash.  Sourced with the build
# directory as $1.  The scripts wait for conditions and don't depend on timing.
. "$(dirname "$0")/ctl_lib.bash"
net=127.31.$(($$ % 250))
key=$(printf '5f%.0s' $(seq 32))
declare -A pids

siskind_cleanup() {
    for p in "${pids[@]}"; do
        kill -CONT "$p" 2>/dev/null
        kill -KILL "$p" 2>/dev/null
    done
    wait "${pids[@]}" 2>/dev/null
    cleanup
}

trap siskind_cleanup EXIT

write_settings() {      # NUMBER [PEER]...: writes N.toml
    local n=$1 at=$net.$1
    cat >"$n.toml" <<END
name = "try-$n"
data_centre = "dc-a"
bind_ip = "$at"
return_addr = "$at:6000"
own_addr = "$at:6001"
peer_addr = "$at:6002"
bulk_addr = "$at:6003"
admin_addr = "$at:6004"
platform_url = "http://127.0.0.1:$port"
peer_key = "$key"
END
    shift
    for p in "$@"; do
        cat >>"$n.toml" <<END
[[peer]]
name = "try-$p"
data_centre = "dc-a"
peer_addr = "$net.$p:6002"
bulk_addr = "$net.$p:6003"
END
    done
}

write_site() {          # writes base.toml and dc-a.toml
    cat >base.toml <<END
[site]
name = "try"
drain_ms = 10000
[service.plain]
address = "$net.100:7001"
protocol = "udp"
prefer = "stability"
slots = 2
connections = 2000
END
    cat >dc-a.toml <<END
data_centre = "dc-a"
[[upstream]]
service = "plain"
address = "$net.201:7001"
[[upstream]]
service = "plain"
address = "$net.202:7001"
END
}

start_process() {       # NAME COMMAND...
    local p=$1
    shift
    "$@" >>"$p.log" 2>&1 &
    pids[$p]=$!
}

start_instance() {      # NUMBER
    start_process "$1" "$b/siskind" "$1.toml"
}

# Waits for a process that was signalled to stop; prints its exit code.
wait_exit() {           # NAME
    wait "${pids[$1]}"
    echo "$1 ended: exit $?"
    unset "pids[$1]"
}

# Runs COMMAND every 50 ms until it succeeds, for at most 30 s; prints WHAT.
wait_until() {          # WHAT COMMAND...
    local what=$1
    shift
    for _ in $(seq 600); do
        "$@" && echo "$what" && return
        sleep 0.05
    done
    echo "not so after 30 s: $what"
    tail -n 5 ./*.log >&2
}

status_has() {          # NUMBER REGEX
    curl -s -m 3 "http://$net.$1:6004/status" | tr -d '\n' | grep -qE "$2"
}

state_is() {            # NUMBER STATE
    status_has "$1" "\"state\": \"$2\", *\"version\""
}

version_is() {          # NUMBER VERSION
    status_has "$1" "\"version\": $2, *\"version_age_ms\""
}

metric_is() {           # NUMBER METRIC TEST-OPERATOR VALUE
    local v
    v=$(curl -s -m 3 "http://$net.$1:6004/metrics" |
        awk -v m="siskin_$2" '$1 == m {print $2}')
    [ "${v:-0}" "$3" "$4" ]
}

send_datagram() {       # IP:PORT TEXT
    printf '%s' "$2" >"/dev/udp/${1%:*}/${1#*:}"
}

# Runs opaque flows through the fabric; prints the timeout, broken and crossed
# counts.
run_echo_flows() {      # SECONDS
    "$b/si_caller" --platform="http://127.0.0.1:$port" \
        --service="$net.100:7001" --from="$net.150" --echoes=4 \
        --seconds="$1" --every-ms=50 |
        sed -n 's/.*\(timeout=[0-9]*\).*\(broken=[0-9]*\).*\(crossed=[0-9]*\).*/\1 \2 \3/p'
}

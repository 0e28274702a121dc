#!/usr/bin/env bash
# Measures the data path: processor time for each datagram of pinned udp flows
# that siskind forwards, compared with the bare relay in the same run.  Runs real
# processes on loopback.  The relay and siskind alternate, so that other load on
# the machine affects both.
# usage: bench/datapath.sh BUILD [TURNS] > table
set -u
b=$1
turns=${2:-5}
flows=500
seconds=4
net=127.32.$(($$ % 250))
dir=$(mktemp -d)
port=$((12000 + $$ % 7000))
url=http://127.0.0.1:$port
declare -A process

cleanup() {
    for p in "${process[@]}"; do
        kill -KILL "$p" 2>/dev/null
        wait "$p" 2>/dev/null
    done
    rm -rf "$dir"
}
trap cleanup EXIT

write_files() {
    cat >"$dir/base.toml" <<END
[site]
name = "bench"
drain_ms = 5000
[service.plain]
address = "$net.100:7001"
protocol = "udp"
prefer = "stability"
slots = 2
connections = 100000
END
    cat >"$dir/dc-a.toml" <<END
data_centre = "dc-a"
[[upstream]]
service = "plain"
address = "$net.200:7001"
END
    cat >"$dir/1.toml" <<END
name = "bench-1"
data_centre = "dc-a"
return_addr = "$net.1:6000"
own_addr = "$net.1:6001"
peer_addr = "$net.1:6002"
bulk_addr = "$net.1:6003"
admin_addr = "$net.1:6004"
platform_url = "$url"
peer_key = "$(printf '5f%.0s' $(seq 32))"
log_level = "warn"
END
}

stop() {                # NAME
    kill -KILL "${process[$1]}"
    wait "${process[$1]}" 2>/dev/null
    unset "process[$1]"
}

load() {                # PID RATE
    "$b/load" $net.100:7001 $net.200:7001 "$1" $flows "$2" $seconds
}

relay_turn() {          # RATE
    "$b/relay" $net.100:7001 $net.1:6000 $net.200:7001 &
    process[relay]=$!
    sleep 0.2
    load "${process[relay]}" "$1"
    stop relay
}

siskind_turn() {        # RATE
    "$b/siskind" "$dir/1.toml" &
    process[siskind]=$!
    until curl -s "http://$net.1:6004/status" 2>/dev/null |
        grep -q '"state": "active"'; do
        sleep 0.1
    done
    load "${process[siskind]}" "$1"
    stop siskind
}

# Prints median, minimum and maximum processor time, and the share returned.
summary() {             # FILE
    sed 's/[a-z_]*=//g' "$1" | sort -k3 -n | awk '
        { t[NR] = $3; sent += $1; back += $2 }
        END { printf "%.3f %.3f %.3f %.5f", t[int((NR + 1) / 2)], t[1],
                  t[NR], back / sent }'
}

write_files
"$b/si_platform" --port $port &
process[platform]=$!
sleep 0.3
"$b/siskinctl" apply -p $url "$dir/base.toml" "$dir/dc-a.toml" >/dev/null ||
    exit 1
echo "# processor time in microseconds for each datagram forwarded (user and"
echo "# system, /proc/PID/stat), $flows pinned udp flows, 272 bytes, $turns turns"
echo "# of $seconds s each, $(nproc) cores, load before: $(cut -d' ' -f1 /proc/loadavg)"
echo "# rate: datagrams a second sent by callers; as many come back"
printf '%-8s %-8s %8s %8s %8s %9s\n' rate what median least most returned
for rate in 10000 30000 60000; do
    rm -f "$dir"/*.out
    for _ in $(seq "$turns"); do
        relay_turn $rate >>"$dir/relay.out"
        siskind_turn $rate >>"$dir/siskind.out"
    done
    read -r relay relay_min relay_max relay_returned \
        <<<"$(summary "$dir/relay.out")"
    read -r siskind siskind_min siskind_max siskind_returned \
        <<<"$(summary "$dir/siskind.out")"
    printf '%-8s %-8s %8s %8s %8s %9s\n' $rate relay $relay $relay_min \
        $relay_max $relay_returned
    printf '%-8s %-8s %8s %8s %8s %9s  ratio %s\n' $rate siskind $siskind \
        $siskind_min $siskind_max $siskind_returned \
        "$(awk "BEGIN {printf \"%.2f\", $siskind / $relay}")"
done

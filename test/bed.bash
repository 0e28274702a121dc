# Sourced by test/demo and test/path_*.sh: starts a site of real processes on
# loopback, waits for conditions, stops everything again.
# Set before: B, the build directory.  Only processes started here are ended,
# each by its id.

set -u
bed=$(mktemp -d)
declare -A pid          # name to process id
declare -a instances=() # names of the instances
url=http://127.0.0.1:8500
upstream_admin=http://127.0.0.1:8600
WAIT_S=${WAIT_S:-60}

bed_fail() {
    echo "failed: $*" >&2
    for f in "$bed"/*.err; do
        [ -s "$f" ] && { echo "-- $(basename "$f")"; tail -n 8 "$f"; } >&2
    done
    exit 1
}

# start NAME COMMAND...: its output goes to $bed/NAME.out and NAME.err.
start() {
    local name=$1
    shift
    "$@" >>"$bed/$name.out" 2>>"$bed/$name.err" &
    pid[$name]=$!
}

running() {
    [ -n "${pid[$1]:-}" ] && kill -0 "${pid[$1]}" 2>/dev/null
}

# signal NAME SIGNAL
signal() {
    kill "-$2" "${pid[$1]}" 2>/dev/null
}

# Waits for the end of NAME; its exit status.
reap() {
    wait "${pid[$1]}" 2>/dev/null
    local rc=$?
    unset "pid[$1]"
    return $rc
}

# until_true WHAT COMMAND...: tries each 100 ms, WAIT_S seconds at most.
until_true() {
    local what=$1 end=$((SECONDS + WAIT_S))
    shift
    until "$@"; do
        [ $SECONDS -lt $end ] || bed_fail "waited $WAIT_S s for: $what"
        sleep 0.1
    done
}

bed_close() {
    local name p
    for name in "${!pid[@]}"; do
        p=${pid[$name]}
        kill -CONT "$p" 2>/dev/null
        kill -KILL "$p" 2>/dev/null
        wait "$p" 2>/dev/null
    done
    [ -n "${KEEP_BED:-}" ] && echo "kept: $bed" || rm -rf "$bed"
}
trap bed_close EXIT
trap 'exit 130' INT TERM

# ---- The site ----

# Copies a sample deployment, with a drain period that fits in a minute.
site_copy() {           # site
    cp -r "examples/$1" "$bed/site"
    sed -i "s/^drain_ms *=.*/drain_ms = 3000/" "$bed/site/base.toml"
    overlays=("$bed"/site/*.toml)
    overlays=($(printf '%s\n' "${overlays[@]}" |
        grep -v -e /base.toml -e /instance-))
}

platform_up() {
    curl -sf "$url/v1/stats" >"$bed/platform.stats"
}

upstreams_up() {
    curl -sf "$upstream_admin/v1/stats" >"$bed/upstream.stats"
}

switch() {              # outage=1 and the like
    curl -sf -X POST "$url/v1/switch?$1" >/dev/null
}

site_start() {          # options of si_upstream
    start platform "$B/si_platform"
    until_true "the platform" platform_up
    start upstream "$B/si_upstream" --platform "$url" --log "$bed/run.log" \
        "$@" "$bed/site/base.toml" "${overlays[@]}"
    until_true "the upstreams" upstreams_up
}

# The instance's answer to /status on its admin address.
status() {              # number
    local admin
    admin=$(sed -n 's/^admin_addr = "\(.*\)"/\1/p' "$bed/site/instance-$1.toml")
    curl -sf -m 3 "http://$admin/status"
}

# Is instance N active with version V in force?
serves() {              # number, version
    local s
    s=$(status "$1") || return 1
    grep -q '"state": "active"' <<<"$s" && grep -q "^  \"version\": $2," <<<"$s"
}

instance_start() {      # number
    start "instance-$1" "$B/siskind" "$bed/site/instance-$1.toml"
}

# How many lines of the callers' logs match.
logged() {              # pattern
    cat "$bed"/caller-*.log 2>/dev/null | grep -c "$1"
}

logged_at_least() {     # count, pattern
    [ "$(logged "$2")" -ge "$1" ]
}

ran_at_least() {        # count, pattern
    [ "$(grep -c "$2" "$bed/run.log")" -ge "$1" ]
}

caller_start() {        # name, options of si_caller
    local name=$1
    shift
    start "caller-$name" "$B/si_caller" --platform "$url" --seconds 600 \
        --log "$bed/caller-$name.log" "$@"
}

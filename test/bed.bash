# Test bed, sourced by test/demo and test/path_*.sh: starts a site of real
# processes on loopback, waits for conditions and stops all processes.
# The caller sets B, the build directory.  Stops only processes that were
# started here, each by its process ID.

set -u
# The samples use fixed loopback addresses: only one site can run at a time.
exec 9>"${TMPDIR:-/tmp}/siskin-bed.lock"
flock -w 600 9 || { echo "another site has run for 10 minutes" >&2; exit 1; }
SECONDS=0
bed=$(mktemp -d)
declare -A pid          # process IDs by name
declare -a instances=() # names of the instances
url=http://127.0.0.1:8500
upstream_admin=http://127.0.0.1:8600
WAIT_S=${WAIT_S:-60}

bed_fail() {
    echo "failed: $*" >&2
    for f in "$bed"/*.err; do
        [ -s "$f" ] && { echo "-- $(basename "$f")"; tail -n 3 "$f"; } >&2
    done
    exit 1
}

# start NAME COMMAND...: writes the output to $bed/NAME.out and NAME.err.
start() {
    local name=$1
    shift
    "$@" >>"$bed/$name.out" 2>>"$bed/$name.err" 9>&- &
    pid[$name]=$!
}

running() {
    [ -n "${pid[$1]:-}" ] && kill -0 "${pid[$1]}" 2>/dev/null
}

# signal NAME SIGNAL
signal() {
    kill "-$2" "${pid[$1]}" 2>/dev/null
}

# reap NAME: waits for the process to end and returns its exit status.
reap() {
    wait "${pid[$1]}" 2>/dev/null
    local rc=$?
    unset "pid[$1]"
    return $rc
}

# until_true WHAT COMMAND...: retries every 100 ms for up to WAIT_S seconds.
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
    running platform || bed_fail "the platform does not run"
    curl -sf "$url/v1/stats" >"$bed/platform.stats"
}

upstreams_up() {
    running upstream || bed_fail "the upstreams do not run"
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

# Prints the answer to /status from the instance's admin address.
status() {              # number
    local admin
    admin=$(sed -n 's/^admin_addr = "\(.*\)"/\1/p' "$bed/site/instance-$1.toml")
    curl -sf -m 3 "http://$admin/status"
}

# Succeeds if the instance is active with the version in force.
serves() {              # number, version
    local s
    s=$(status "$1") || return 1
    grep -q '"state": "active"' <<<"$s" && grep -q "^  \"version\": $2," <<<"$s"
}

instance_start() {      # number
    start "instance-$1" "$B/siskind" "$bed/site/instance-$1.toml"
}

# Applies the site's configuration as version 1 and starts all instances.
instances_start() {
    local n
    "$B/siskinctl" apply --platform "$url" "$bed/site/base.toml" \
        "${overlays[@]}" >"$bed/apply.out" || bed_fail "siskinctl apply"
    count=$(ls "$bed"/site/instance-*.toml | wc -l)
    for n in $(seq "$count"); do
        instance_start "$n"
    done
    version_in_force 1
}

version_in_force() {    # version, at all instances
    local n
    for n in $(seq "$count"); do
        until_true "instance $n with version $1" serves "$n" "$1"
    done
}

# Stops an instance gracefully and starts it again.
instance_restart() {    # number, version
    signal "instance-$1" TERM
    reap "instance-$1" || bed_fail "instance $1 did not stop cleanly"
    instance_start "$1"
    until_true "instance $1 after its restart" serves "$1" "$2"
}

upstream_do() {         # address, do=... arguments
    curl -sf -X POST "$upstream_admin/v1/upstream?addr=$1&$2" >/dev/null ||
        bed_fail "upstream $1: $2"
}

# Prints the sum of a counter over all upstreams.
upstream_sum() {        # counter
    curl -sf "$upstream_admin/v1/stats" | grep -o "\"$1\":[0-9]*" |
        awk -F: '{ n += $2 } END { print n + 0 }'
}

# Prints the number of matching lines in the callers' logs.
logged() {              # pattern
    cat "$bed"/caller-*.log 2>/dev/null | grep -c "$1"
}

logged_at_least() {     # count, pattern
    [ "$(logged "$2")" -ge "$1" ]
}

# Prints the number of requests that an upstream has started.
ran() {                 # address, or "" for all
    grep -c "^run .*upstream=$1" "$bed/run.log"
}

ran_at_least() {        # count
    [ "$(ran "")" -ge "$1" ]
}

caller_start() {        # name, options of si_caller
    local name=$1
    shift
    start "caller-$name" "$B/si_caller" --platform "$url" --seconds 600 \
        --log "$bed/caller-$name.log" "$@"
}

# Stops the callers, which first wait for outstanding answers.
callers_stop() {
    local name
    for name in "${!pid[@]}"; do
        case $name in caller-*) signal "$name" TERM ;; esac
    done
    for name in "${!pid[@]}"; do
        case $name in caller-*) reap "$name" ;; esac
    done
}

# Runs si_verdict; its output is in $bed/verdict.out.
verdict() {             # options of si_verdict
    "$B/si_verdict" "$@" "$bed/run.log" "$bed"/caller-*.log \
        >"$bed/verdict.out" 2>"$bed/verdict.err"
}

# Prints the value of a line of the verdict.
verdict_of() {          # line
    sed -n "s/^$1: //p" "$bed/verdict.out"
}

# Functions shared by the scripted tests of siskinctl: start a platform, print
# commands with their output and exit code, and compare the result with the
# expected output.  Sourced with the build directory as $1.
set -u
b=$(realpath "$1")
name=$(basename "$0" .sh)
root=$(cd "$(dirname "$0")/.." && pwd)
dir=$(mktemp -d)
export SISKIN_ADMIN=127.0.0.1:1
platform=
port=
cleanup() {
    [ -z "$platform" ] || kill "$platform"
    wait
    rm -rf "$dir"
}
trap cleanup EXIT
cd "$dir" || exit 1

platform_answers() {
    for _ in $(seq 200); do
        kill -0 "$platform" 2>/dev/null || return 1
        "$b/siskinctl" show >/dev/null 2>&1
        [ $? -ne 3 ] && return 0
        sleep 0.05
    done
    return 1
}

# Retries with another port when the port is in use, e.g. by another test run.
start_platform() {
    for n in $(seq 10); do
        port=$((20000 + ($$ + n * 1009) % 12000))
        export SISKIN_PLATFORM=http://127.0.0.1:$port
        "$b/si_platform" --port "$port" 2>/dev/null &
        platform=$!
        sleep 0.1
        platform_answers && return
    done
    platform=
    echo "no platform answers" >&2
    exit 1
}

switch() {              # QUERY: sets the platform's fault switches
    exec 3<>"/dev/tcp/127.0.0.1/$port"
    printf 'POST /v1/switch?%s HTTP/1.0\r\nContent-Length: 0\r\n\r\n' "$1" >&3
    cat <&3 >/dev/null
    exec 3>&-
    echo "# platform: $1"
}

ctl() {                 # runs a command; prints it, its output and exit code
    echo "\$ siskinctl${*:+ $*}"
    "$b/siskinctl" "$@" 2>&1
    local rc=$?
    [ $rc -eq 0 ] || echo "exit $rc"
}

# Replaces ports and generated change IDs, which differ from run to run.
plain() {
    sed -E "s/:${port:-none}/:PORT/g; s/[0-9a-f]{32}/ID/g;
        s/ base.toml .*ostrava-sal.toml$/ FILES/"
}

expect() {              # compares standard input with the expected output
    plain | diff -u "$root/test/expect/$name.txt" -
}

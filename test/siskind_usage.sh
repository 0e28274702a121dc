#!/usr/bin/env bash
# The command line of siskind, and settings with which the start must fail.
# usage: test/siskind_usage.sh BUILD
. "$(dirname "$0")/siskind_lib.bash"

siskind() {
    echo "\$ siskind${*:+ $*}"
    "$b/siskind" "$@" 2>&1 | sed -E "s/^[0-9T:.-]+Z //; s/$net/NET/g"
    local rc=${PIPESTATUS[0]}
    [ "$rc" -eq 0 ] || echo "exit $rc"
}

run() {
    port=9
    write_settings 1
    siskind
    siskind --help
    siskind --version
    siskind --check 1.toml
    siskind nowhere.toml
    siskind --nothing 1.toml
    sed -i 's/^name = .*/name = 7/' 1.toml
    siskind --check 1.toml
    write_settings 1
    sed -i 's/^return_addr = .*/return_addr = "192.0.2.1:6000"/' 1.toml
    siskind 1.toml
}

run >"$dir/out"
expect <"$dir/out"

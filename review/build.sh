#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/ start, in target/: si_pstore
# and si_pproxy, and from the sources of the project's own stand-ins rv_server
# and rv_caller.
set -eu
cd "$(dirname "$0")/.."
make -j8 B=target target/si_pstore target/si_pproxy
packages="ck libzmq libcoap-3-notls argtable2 log4c jansson libmicrohttpd
libcurl libsodium msgpack libxxhash libzstd"
# The objects that the stand-ins share.
objects=$(ls target/obj/standin/*.c.o target/obj/platform/standin/*.c.o |
    grep -v _main)
for name in server caller; do
    # shellcheck disable=SC2046,SC2086
    gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -I. \
        $(pkg-config --cflags $packages) -c "review/standin/$name.c" \
        -o "target/obj/rv_$name.o"
    # shellcheck disable=SC2046,SC2086
    g++ "target/obj/rv_$name.o" $objects target/libsiskin.a \
        -o "target/rv_$name" $(pkg-config --libs $packages) -lpthread -lm
done

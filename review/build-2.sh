#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 and review/5 start, beside
# the program of the deploy file, in target/.  rv_pstore is si_pstore with pages
# of 1 MB, as the users' store has them ("at most about 500 items or 1 MB").
set -eu
cd "$(dirname "$0")/.."
make -j8 B=target target/si_pstore target/si_pserver target/si_pcaller
sed -e 's/^    bool more = false;$/&\n    size_t bytes = 0;/' \
    -e 's/if (json_array_size(items) == PAGE_ITEMS) {/bytes += strlen(it->key) + strlen(it->value);\n        if (json_array_size(items) == PAGE_ITEMS ||\n            (json_array_size(items) > 0 \&\& bytes > 1000000)) {/' \
    platform/standin/store_main.c >target/obj/rv_pstore.c
grep -q 'bytes > 1000000' target/obj/rv_pstore.c
packages="ck libzmq libcoap-3-notls argtable2 log4c jansson libmicrohttpd
libcurl libsodium msgpack libxxhash libzstd"
# The objects that the stand-ins share.
objects=$(ls target/obj/standin/*.c.o target/obj/platform/standin/*.c.o |
    grep -v _main)
# shellcheck disable=SC2046,SC2086
gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -I. \
    $(pkg-config --cflags $packages) -c target/obj/rv_pstore.c \
    -o target/obj/rv_pstore.o
# shellcheck disable=SC2046,SC2086
g++ target/obj/rv_pstore.o $objects target/libsiskin.a -o target/rv_pstore \
    $(pkg-config --libs $packages) -lpthread -lm

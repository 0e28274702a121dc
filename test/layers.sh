#!/usr/bin/env bash
# Checks that the files of core/ call only files of their own layer or below, as
# listed in core/state.h.
# usage: test/layers.sh BUILD
set -u
obj=$1/obj/core
layers=$(sed -n 's/^ \* layer [0-9]: //p' core/state.h)
[ -n "$layers" ] || { echo "core/state.h tells no layers"; exit 1; }
nm "$obj"/*.c.o | awk -v layers="$layers" '
    BEGIN {
        rows = split(layers, row, "\n")
        for (i = 1; i <= rows; i++) {
            n = split(row[i], name, " ")
            for (k = 1; k <= n; k++) layer[name[k]] = i
        }
    }
    /\.c\.o:$/ {
        file = $1
        sub(/.*\//, "", file)
        sub(/\.c\.o:/, "", file)
        if (!(file in layer)) { print file ".c is in no layer"; bad = 1 }
        next
    }
    NF == 3 && $2 ~ /[TDBR]/ { definer[$3] = file }
    $1 == "U" { use[file, $2] = 1 }
    END {
        for (u in use) {
            split(u, part, SUBSEP)
            to = definer[part[2]]
            if (to != "" && layer[to] > layer[part[1]]) {
                print part[1] ".c calls " part[2] "() of " to ".c, above it"
                bad = 1
            }
        }
        exit bad
    }'

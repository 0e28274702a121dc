#!/usr/bin/env bash
# The pages keep up with the program: each option and key is told, and the
# example of siskin-config(5) checks.  usage: test/ctl_man.sh BUILD
. "$(dirname "$0")/ctl_lib.bash"
page1=$root/man/siskinctl.1.md page5=$root/man/siskin-config.5.md
bad=0

need() {                # WORD PAGE
    grep -qF -e "$1" "$2" && return
    echo "$(basename "$2") doesn't tell $1"
    bad=1
}

for c in $("$b/siskinctl" --help | sed -n 's/^  \([a-z]*\)  .*/\1/p'); do
    need "**$c**" "$page1"
    for o in $("$b/siskinctl" "$c" --help | grep -oE '^ +(-., )?--[a-z-]+' |
        grep -oE -e '--[a-z-]+' | grep -v -e --help); do
        need "$o" "$page1"
    done
done

# What a message of an unknown key expects are the keys that there are.
keys() {                # FILE...
    "$b/siskinctl" check "$@" 2>&1 | sed -n 's/.*unknown key.*expected //p' |
        tr -d ,
}

sed -n '/# base.toml/,/# brno-sal-a.toml/p' "$page5" | sed 's/^    //' >base
sed -n '/# brno-sal-a.toml/,/^## /p' "$page5" | sed 's/^    //; /^## /d' >over
ctl check base over
"$b/siskinctl" check base over || bad=1
for at in '[service.dohled]' '[site]'; do
    sed "s/^${at//[\[\]]/.}/&\nwrong = 1/" base >wrong
    for k in $(keys wrong over); do
        need "\`$k\`" "$page5"
    done
done
sed 's/^\[\[upstream\]\]/&\nwrong = 1/' over >wrong
for k in $(keys base wrong); do
    need "\`$k\`" "$page5"
done
echo 'wrong = 1' >wrong
for k in $(keys --settings wrong); do
    [ "$k" = peer ] || need "\`$k\`" "$page5"
done
exit $bad

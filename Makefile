# siskinfork: `make demo` and `make check` install the packages that they need.
#
# Each directory is a library or program, built from its *.c and *.cc files.
# Programs: siskind, siskinctl, standin/*_main.c.  Tests: test/*.cc.

CC      = gcc
CXX     = g++
B      ?= build
O       = $(B)/obj
SAN    ?=
PKGS    = ck libzmq libcoap-3-notls argtable2 log4c jansson libmicrohttpd \
          libcurl libsodium msgpack libxxhash libzstd
WARN    = -Wall -Wextra -Wshadow -Wvla
OPT    ?= -O2 -g
CPPFLAGS += -D_GNU_SOURCE -I. $(shell pkg-config --cflags $(PKGS))
CFLAGS  += -std=gnu11 $(OPT) $(WARN) -Wstrict-prototypes $(SAN)
CXXFLAGS += -std=c++17 $(OPT) $(WARN) -Wno-missing-field-initializers $(SAN)
LDLIBS   = $(shell pkg-config --libs $(PKGS)) -lpthread -lm

LIBDIRS  = base wire conf plat member core kern load admit place request flow platform source tagged
LIBSRC   = $(wildcard $(LIBDIRS:%=%/*.c)) $(wildcard $(LIBDIRS:%=%/*.cc))
LIBOBJ   = $(patsubst %,$(O)/%.o,$(LIBSRC))
LIB      = $(B)/libsiskin.a

# Stand-ins: each standin/NAME_main.c is a program; the other files are shared.
SIMAIN   = $(wildcard standin/*_main.c)
SISRC    = $(filter-out $(SIMAIN),$(wildcard standin/*.c))
SIOBJ    = $(patsubst %,$(O)/%.o,$(SISRC))
SIPROG   = $(patsubst standin/%_main.c,$(B)/si_%,$(SIMAIN))

# Stand-ins of the users' platform.
PSMAIN   = $(wildcard platform/standin/*_main.c)
PSSRC    = $(filter-out $(PSMAIN),$(wildcard platform/standin/*.c))
PSOBJ    = $(patsubst %,$(O)/%.o,$(PSSRC))
PSPROG   = $(patsubst platform/standin/%_main.c,$(B)/si_p%,$(PSMAIN))

PROGS    = $(if $(wildcard siskind/*.c),$(B)/siskind) \
           $(if $(wildcard siskinctl/*.c),$(B)/siskinctl) $(SIPROG) $(PSPROG)
BENCH    = $(patsubst bench/%.c,$(B)/%,$(wildcard bench/*.c))

# Each test/*_test.cc is a program; the other files in test/ are shared.
TESTMAIN = $(wildcard test/*_test.cc)
TESTSRC  = $(filter-out $(TESTMAIN),$(wildcard test/*.c) $(wildcard test/*.cc))
TESTOBJ  = $(patsubst %,$(O)/%.o,$(TESTSRC))
TESTS    = $(patsubst test/%.cc,$(B)/%,$(TESTMAIN))

all: $(LIB) $(PROGS)
tests: $(TESTS)
benches: $(BENCH)

$(O)/%.c.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -c $< -o $@

$(O)/%.cc.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -c $< -o $@

$(LIB): $(LIBOBJ)
	@rm -f $@
	ar rcs $@ $^

$(B)/siskind: $(patsubst %,$(O)/%.o,$(wildcard siskind/*.c)) $(LIB)
	$(CXX) $(SAN) $^ -o $@ $(LDLIBS)

$(B)/siskinctl: $(patsubst %,$(O)/%.o,$(wildcard siskinctl/*.c)) $(LIB)
	$(CXX) $(SAN) $^ -o $@ $(LDLIBS)

$(B)/si_p%: $(O)/platform/standin/%_main.c.o $(PSOBJ) $(SIOBJ) $(LIB)
	$(CXX) $(SAN) $^ -o $@ $(LDLIBS)

$(B)/si_%: $(O)/standin/%_main.c.o $(SIOBJ) $(LIB)
	$(CXX) $(SAN) $^ -o $@ $(LDLIBS)

$(B)/%_test: $(O)/test/%_test.cc.o $(TESTOBJ) $(SIOBJ) $(LIB)
	$(CXX) $(SAN) $^ -o $@ -lgtest_main -lgtest -lrapidcheck $(LDLIBS)

# Links the simulated fleet of test/, which runs core/ under virtual time.
$(B)/balance: $(O)/bench/balance.cc.o $(TESTOBJ) $(LIB)
	$(CXX) $(SAN) $^ -o $@ $(LDLIBS)

$(B)/member_bench: $(O)/bench/member_bench.c.o $(O)/bench/member/fleet.c.o $(LIB)
	$(CXX) $(SAN) $^ -o $@ $(LDLIBS)

$(B)/%: $(O)/bench/%.c.o $(SIOBJ) $(PSOBJ) $(LIB)
	$(CXX) $(SAN) $^ -o $@ $(LDLIBS)

FMT = $(shell git ls-files '*.c' '*.h' '*.cc')

format:
	clang-format -i $(FMT)

format-check:
	clang-format --dry-run --Werror $(FMT)

lint:
	cppcheck --quiet --std=c11 --language=c --error-exitcode=1 -j 8 \
	    --enable=warning,portability --inline-suppr -I . \
	    --suppress=missingIncludeSystem --suppress=unknownMacro \
	    $(filter %.c,$(FMT))

setup:
	./.ci/setup

# Builds and runs all tests without installing packages.
SCHEDULES ?= 1000
test: all tests
	SISKIN_SCHEDULES=$(SCHEDULES) ./test/run $(B)

check: setup
	$(MAKE) -j8 test

# The same tests under AddressSanitizer and UndefinedBehaviorSanitizer.
sanitize:
	$(MAKE) -j8 B=build-san OPT="-O1 -g" SCHEDULES=60 \
	    SAN="-fsanitize=address,undefined -fno-omit-frame-pointer" test

bench: $(B)/balance
	mkdir -p docs/bench
	$(B)/balance >docs/bench/balance.txt
	cat docs/bench/balance.txt

# Runs more fault schedules than CI has time for: make soak N=20000 SEED=7
N    ?= 5000
SEED ?= $(shell date +%s)
soak: $(B)/core_prop_test
	SISKIN_SCHEDULES=$(N) SISKIN_SEED=$(SEED) $(B)/core_prop_test

# Runs the soak test of tagged flows with real processes, JOBS seeds at a time.
SEEDS ?= 1 2 3 4 5 6 7 8
JOBS  ?= 3
soak-tagged: all
	printf '%s\n' $(SEEDS) | \
	    xargs -P $(JOBS) -n 1 bash test/tagged_soak.bash $(B)

demo: setup
	$(MAKE) -j8 all
	./test/demo $(B)
	./test/demo_tagged $(B)

clean:
	rm -rf build build-san

.PHONY: all tests benches format format-check lint setup test check sanitize \
        soak soak-tagged bench demo clean
.SECONDARY:
-include $(shell find $(B) -name '*.d' 2>/dev/null)

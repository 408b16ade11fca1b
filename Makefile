# yuccarun: build, checks and demonstration.
#
#   make            build the daemon, the command-line tool and the stand-ins
#   make check      run every test: plain, address+undefined, thread sanitizer
#   make demo       a small fleet on loopback answers queries under faults
#   make demo-faults  the same through killed, paused and cut off parts
#   make bench      measures, by hand
#   make lint       formatter and linters, changing nothing
#   make fault-soak real daemons under faults, SEEDS from FIRST, half a minute each
#   make soak       random mixes of faults, SEEDS=1000 of them from FIRST=1000
#   make mutants    break one decision at a time; which scenario tells
#   make fuzz       every decoder and parser, FUZZ_SECONDS=20 each
#   make format     rewrite sources with the formatter
#   make install    DESTDIR= and PREFIX= as usual
#
# VARIANT=asan or VARIANT=tsan builds beside the plain build.

CC ?= gcc
PREFIX ?= /usr/local
VARIANT ?= plain
B := build/$(VARIANT)

PKGS := libulfius libmicrohttpd libprotobuf-c argtable2 log4c yaml-0.1 \
	jansson libcurl libxxhash gnutls
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null)
CHECK_LIBS = $(shell pkg-config --libs check 2>/dev/null)

CFLAGS_plain := -O2
CFLAGS_asan := -O1 -fsanitize=address,undefined,float-cast-overflow \
	-fno-sanitize-recover=all
CFLAGS_tsan := -O1 -fsanitize=thread
CFLAGS_fuzz := -O1 -fsanitize=fuzzer-no-link,address,undefined \
	-fno-sanitize-recover=undefined
CFLAGS ?= -g
ALL_CFLAGS := -std=gnu11 -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -D_GNU_SOURCE -D__error_t_defined -I. -pthread $(CFLAGS) \
	$(CFLAGS_$(VARIANT)) $(PKG_CFLAGS)
LDLIBS := $(PKG_LIBS) -pthread -lm

LIB_DIRS := core fleet proto net edge
TIER_DIRS := http platform policy tier
LIB_SRC := $(sort $(wildcard $(addsuffix /*.c,$(LIB_DIRS))))
LIB_OBJ := $(LIB_SRC:%.c=$(B)/%.o)
LIB := $(B)/libyuccarun.a
# The query tier on the users' platform, less its main.
TIER_LIB_OBJ := $(patsubst %.c,$(B)/%.o,$(filter-out tier/yuccarun-tier.c, \
	$(sort $(wildcard $(addsuffix /*.c,$(TIER_DIRS))))))
# What it needs of the library: few, so that the program stays small.
TIER_CORE_OBJ := $(patsubst %.c,$(B)/%.o,core/budget.c core/hist.c \
	core/latency.c core/quarantine.c \
	core/strmap.c core/text.c \
	net/buffer.c net/http_grammar.c edge/event.c edge/line_sink.c daemon/clock.c)
TIER_LIBS = -lev -lhttp_parser -lxxhash -largtable2 -llog4c -ljansson -lm -pthread
DAEMON_OBJ := $(patsubst %.c,$(B)/%.o,$(sort $(wildcard daemon/*.c)))
# What the daemon is made of, less its main, for tests that run it in-process.
DAEMON_LIB_OBJ := $(filter-out $(B)/daemon/yuccarund.o,$(DAEMON_OBJ))
CLI_OBJ := $(patsubst %.c,$(B)/%.o,$(sort $(wildcard cli/*.c)))
# What the tool is made of, less its main, for tests that run it in-process.
CLI_LIB_OBJ := $(filter-out $(B)/cli/yuccarun.o,$(CLI_OBJ))
STANDIN_LIB_OBJ := $(patsubst %.c,$(B)/%.o,$(sort $(wildcard standin/lib/*.c)))
STANDIN_BIN := $(patsubst standin/%.c,$(B)/standin-%,$(sort $(wildcard standin/*.c)))
BENCH_BIN := $(patsubst bench/%.c,$(B)/bench-%,$(sort $(wildcard bench/*.c)))
BENCH_SERVICE_OBJ := $(patsubst %.c,$(B)/%.o,$(sort $(wildcard bench/service/*.c)))
TEST_LIB_OBJ := $(patsubst %.c,$(B)/%.o,$(filter-out t/lib/tier_%, \
	$(sort $(wildcard t/lib/*.c)))) \
	$(B)/t/fuzz/targets.o
# The scenarios' runner is linked by the tests of it only.
SCENARIO_OBJ := $(patsubst %.c,$(B)/%.o,$(sort $(wildcard t/scenario/*.c)))
TEST_BIN := $(patsubst t/%.c,$(B)/t/%,$(sort $(wildcard t/t[0-9]*.c)))
SCENARIO_BIN := $(filter $(B)/t/t08%,$(TEST_BIN))
# Tests of the query tier on the platform need nothing of yuccarund.
TIER_TEST_BIN := $(filter $(B)/t/t10%,$(TEST_BIN))
TIER_TEST_LIB_OBJ := $(patsubst %.c,$(B)/%.o,t/lib/suite.c \
	$(sort $(wildcard t/lib/tier_*.c t/soak/*.c)))
# Only tests that start threads run under the thread sanitizer.
TSAN_TEST_BIN := $(patsubst t/%.c,build/tsan/t/%,$(shell \
	grep -l pthread t/t[0-9]*.c 2>/dev/null))
OWN_SRC := $(shell git ls-files -co --exclude-standard '*.c' '*.h' \
	| grep -v '\.pb-c\.' | sort -u)

BINS := $(B)/yuccarund $(B)/yuccarun $(B)/yuccarun-tier $(STANDIN_BIN)

.PHONY: all deps check check-variant demo demo-faults lint format install clean bench \
	tests fuzz soak fault-soak mutants tier-mutants generate
.SECONDARY:

all: $(BINS)
tests: $(TEST_BIN)
bench-bins: $(BENCH_BIN)

bench: deps
	$(MAKE) bench-bins
	sh bench/run

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -MMD -MP -c -o $@ $<

# Generated code is not held to the project's own warnings.
$(B)/proto/%.pb-c.o: proto/%.pb-c.c
	@mkdir -p $(@D)
	$(CC) $(filter-out -W%,$(ALL_CFLAGS)) -MMD -MP -c -o $@ $<

$(LIB): $(LIB_OBJ)
	rm -f $@
	ar rcs $@ $^

$(B)/yuccarund: $(DAEMON_OBJ) $(LIB)
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LDLIBS)

$(B)/yuccarun-tier: $(B)/tier/yuccarun-tier.o $(TIER_LIB_OBJ) $(TIER_CORE_OBJ)
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(TIER_LIBS)

# What deploy/system.toml runs.
target/yuccarun-tier: $(B)/yuccarun-tier
	@mkdir -p target
	cp $< $@.new
	mv $@.new $@

$(B)/yuccarun: $(CLI_OBJ) $(LIB)
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LDLIBS)

$(B)/standin-%: $(B)/standin/%.o $(STANDIN_LIB_OBJ) $(LIB)
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LDLIBS)

$(B)/bench-service: $(BENCH_SERVICE_OBJ)

$(B)/bench-%: $(B)/bench/%.o $(STANDIN_LIB_OBJ) $(DAEMON_LIB_OBJ) $(LIB)
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LDLIBS)

$(SCENARIO_BIN): $(B)/t/%: $(B)/t/%.o $(SCENARIO_OBJ) $(TEST_LIB_OBJ) $(STANDIN_LIB_OBJ) $(DAEMON_LIB_OBJ) $(CLI_LIB_OBJ) $(LIB)
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(CHECK_LIBS) $(LDLIBS)

# It starts the daemon of its own variant.
$(B)/t/t1020-fault-soak: | $(B)/yuccarun-tier

$(TIER_TEST_BIN): $(B)/t/%: $(B)/t/%.o $(TIER_TEST_LIB_OBJ) $(TIER_LIB_OBJ) $(TIER_CORE_OBJ)
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(CHECK_LIBS) $(TIER_LIBS)

$(filter-out $(SCENARIO_BIN) $(TIER_TEST_BIN),$(TEST_BIN)): $(B)/t/%: $(B)/t/%.o $(TEST_LIB_OBJ) $(STANDIN_LIB_OBJ) $(DAEMON_LIB_OBJ) $(CLI_LIB_OBJ) $(LIB)
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(CHECK_LIBS) $(LDLIBS)

deps:
	sh .ci/deps

check: deps
	$(MAKE) VARIANT=plain all tests
	$(MAKE) VARIANT=asan tests
	$(MAKE) tsan-tests VARIANT=tsan
	sh t/run-tests

tsan-tests: $(TSAN_TEST_BIN)

# FUZZ_SECONDS for each target; FUZZ_TARGETS= names some of t/fuzz/corpus.
FUZZ_SECONDS ?= 20
fuzz: deps
	$(MAKE) VARIANT=fuzz CC=clang build/fuzz/fuzz
	sh t/fuzz/run $(FUZZ_SECONDS) $(FUZZ_TARGETS)

build/fuzz/fuzz: build/fuzz/t/fuzz/main.o build/fuzz/t/fuzz/targets.o $(LIB)
	$(CC) $(ALL_CFLAGS) -fsanitize=fuzzer -o $@ $^ $(LDLIBS)

SEEDS ?= 1000
FIRST ?= 1000
soak: deps
	$(MAKE) $(B)/t/t0802-soak
	SOAK_SEEDS="$(FIRST) $(SEEDS)" $(B)/t/t0802-soak

# Real daemons under faults from outside: SEEDS of them from FIRST.
fault-soak: deps
	$(MAKE) $(B)/t/t1020-fault-soak
	SOAK_SEEDS="$(FIRST) $(SEEDS)" $(B)/t/t1020-fault-soak

# MUTANTS= names some of t/scenario/mutants.txt.
mutants: deps
	sh t/scenario/mutants $(MUTANTS)

# The same for the query tier on the platform: its tests, and the fault soak.
tier-mutants: deps
	LIST=t/soak/mutants.txt TESTS="t1003-observed-state t1004-placement \
	    t1005-peers t1010-engine t1011-overload t1012-node \
	    t1013-restored-store t1014-limit-exceeded t1015-partitioned-daemon \
	    t1016-endless-response t1045-response-matching \
	    t1046-odd-entries t1048-planned-stop t1049-doubted-store \
	    t1050-malformed-message t1051-endless-input t1002-message" \
	    sh t/scenario/mutants $(MUTANTS)

demo: deps
	$(MAKE) all
	sh demo/run

# Fourteen phases of faults, about four minutes; demo/faults PHASE... some.
demo-faults: deps
	$(MAKE) all
	sh demo/faults

lint:
	sh .ci/lint

format:
	clang-format -i $(OWN_SRC)

generate:
	cd proto && protoc-c --c_out=. *.proto

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/share/man/man1 \
		$(DESTDIR)$(PREFIX)/share/man/man8
	install $(B)/yuccarun $(B)/yuccarund $(DESTDIR)$(PREFIX)/bin
	install -m 644 docs/man/yuccarun.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 docs/man/yuccarund.8 $(DESTDIR)$(PREFIX)/share/man/man8

clean:
	rm -rf build

-include $(shell find build -name '*.d' 2>/dev/null)

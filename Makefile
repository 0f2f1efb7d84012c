# Builds librosemary.a, the daemons and the tools into build/.
#
#   make            all libraries and programs, optimised
#   make check      all tests, with ASan and UBSan
#   make demo       a run of all programs on loopback, from job to answer
#   make format     format the sources with clang-format
#   make lint       clang-tidy and cppcheck

PACKAGES = libapr1-dev libaprutil1-dev libprotobuf-c-dev \
	protobuf-c-compiler libmicrohttpd-dev liblog4c-dev \
	libcriterion-dev librapidcheck-dev libjansson-dev libxxhash-dev \
	libgsl-dev libcurl4-openssl-dev curl pkg-config clang-format clang-tidy \
	cppcheck g++ gcc make

B ?= build
CC = gcc
CXX = g++
OPT ?= -O2 -g
SAN ?=
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wvla
PKG = apr-1 libprotobuf-c libxxhash
DAEMON_PKG = apr-1 libmicrohttpd libcurl jansson log4c
CLI_PKG = apr-1 libcurl jansson
# Recursively expanded, so that pkg-config runs only in recipes, after `make
# check` has installed the packages.
CFLAGS_ALL = -std=gnu11 $(OPT) $(SAN) $(WARN) -I. -MMD -MP -pthread \
	$(shell pkg-config --cflags apr-1 apr-util-1 libprotobuf-c)

# The kernel: all sources that an embedding program links.
KERNEL = $(filter-out $(wildcard *-pb-c.c),$(wildcard kernel-*.c sub-*.c \
	dispatch-*.c queue-*.c admit-*.c route-*.c limit-*.c health-*.c \
	retry-*.c member-*.c table-*.c claim-*.c relay-*.c drain-*.c \
	trace-*.c peer-*.c sched-*.c lead-*.c)) $(wildcard *.pb-c.c)
DAEMON = $(wildcard rosemaryd.c daemon-*.c http-*.c setting-*.c log-*.c \
	conn-*.c)
POOL = $(wildcard pool-*.c conn-*.c platform/*.c) log-json.c
CLI = $(wildcard rosemary.c cmd-*.c cli-*.c)
FAKES = $(wildcard fake-*.c)
LOAD = $(wildcard load*.c)
BENCH_COMMON = bench-world.c bench-ideal.c

obj = $(patsubst %.c,$(B)/%.o,$(1))
# $(call if_exists,FILES,TARGET): TARGET if FILES is not empty.
if_exists = $(if $(strip $(1)),$(2))

PROGRAMS = $(call if_exists,$(wildcard rosemaryd.c),$(B)/rosemaryd) \
	$(call if_exists,$(wildcard rosemary-poold.c),$(B)/rosemary-poold) \
	$(call if_exists,$(wildcard rosemary.c),$(B)/rosemary) \
	$(patsubst %.c,$(B)/%,$(wildcard rosemary-fake-*.c)) \
	$(call if_exists,$(wildcard load.c),$(B)/rosemary-load) \
	$(patsubst %.c,$(B)/%,$(filter-out $(BENCH_COMMON),\
	$(wildcard bench-*.c example-*.c)))

TESTS_C = $(patsubst %.c,$(B)/%,$(wildcard regress/*.c))
TESTS_CXX = $(patsubst %.cc,$(B)/%,$(wildcard regress/*.cc))

all: $(B)/librosemary.a $(PROGRAMS) $(B)/regress/standin/platform \
	$(B)/regress/standin/callers $(B)/regress/soak/proxy \
	$(B)/regress/soak/soak $(B)/regress/crowd/crowd

tests: $(TESTS_C) $(TESTS_CXX)

$(B)/%.pb-c.o: %.pb-c.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -c -o $@ $<

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -c -o $@ $<

$(B)/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) -std=c++17 $(OPT) $(SAN) -Wall -Wextra -Werror -I. -MMD -MP \
		-c -o $@ $<

# The archive holds one relocatable object. With separate objects the linker
# would omit plug-ins, which register themselves and which nothing refers to.
$(B)/librosemary.a: $(call obj,$(KERNEL))
	ld -r -o $(B)/librosemary.o $^
	rm -f $@
	ar rcs $@ $(B)/librosemary.o

KERNEL_LIBS = -lprotobuf-c -lxxhash -lapr-1 -lm -pthread
LINK = $(CC) $(OPT) $(SAN) -o $@ $(filter %.o,$^) $(filter %.a,$^)

DAEMON_LIBS = -lmicrohttpd -lcurl -ljansson -llog4c

# The daemon without main(), for its unit tests.
$(B)/librosemaryd.a: $(call obj,$(filter-out rosemaryd.c,$(DAEMON)))
	rm -f $@
	ar rcs $@ $^

$(B)/rosemaryd: $(B)/rosemaryd.o $(B)/librosemaryd.a $(B)/librosemary.a
	$(LINK) $(DAEMON_LIBS) $(KERNEL_LIBS)

# The pool's entry VM without main(), for its unit tests.
$(B)/librosemary-pool.a: $(call obj,$(POOL))
	rm -f $@
	ar rcs $@ $^

POOL_LIBS = -lmicrohttpd -lcurl -ljansson -llog4c -laprutil-1

$(B)/rosemary-poold: $(B)/rosemary-poold.o $(B)/librosemary-pool.a \
		$(B)/librosemary.a
	$(LINK) $(POOL_LIBS) $(KERNEL_LIBS)

$(B)/rosemary: $(call obj,$(CLI))
	$(LINK) -lapr-1 -lcurl -ljansson -pthread

$(B)/rosemary-fake-%: $(B)/rosemary-fake-%.o $(call obj,$(FAKES))
	$(LINK) -lapr-1 -lmicrohttpd -lcurl -ljansson -lgsl -lgslcblas \
		-lm -pthread

$(B)/rosemary-load: $(call obj,$(LOAD))
	$(LINK) -lapr-1 -lcurl -ljansson -lgsl -lgslcblas -lm -pthread

$(B)/bench-%: $(B)/bench-%.o $(call obj,$(BENCH_COMMON)) $(B)/librosemary.a
	$(LINK) $(KERNEL_LIBS) -lgsl -lgslcblas

$(B)/example-%: $(B)/example-%.o $(B)/librosemary.a
	$(LINK) $(KERNEL_LIBS)

DAEMON_TESTS = $(filter $(B)/regress/http-% $(B)/regress/setting%,\
	$(TESTS_C))

POOL_TESTS = $(filter $(B)/regress/platform-% $(B)/regress/pool-%,\
	$(TESTS_C))

CLI_TESTS = $(filter $(B)/regress/cli-%,$(TESTS_C))

$(filter-out $(DAEMON_TESTS) $(CLI_TESTS) $(POOL_TESTS),$(TESTS_C)): $(B)/regress/%: \
		$(B)/regress/%.o $(B)/librosemary.a
	$(LINK) $(KERNEL_LIBS) -lcriterion

$(DAEMON_TESTS): $(B)/regress/%: $(B)/regress/%.o $(B)/librosemaryd.a \
		$(B)/librosemary.a
	$(LINK) $(DAEMON_LIBS) $(KERNEL_LIBS) -lcriterion

$(POOL_TESTS): $(B)/regress/%: $(B)/regress/%.o $(B)/librosemary-pool.a \
		$(B)/librosemary.a
	$(LINK) $(POOL_LIBS) $(KERNEL_LIBS) -lcriterion

$(CLI_TESTS): $(B)/regress/%: $(B)/regress/%.o \
		$(call obj,$(wildcard cli-*.c))
	$(LINK) -lapr-1 -lcurl -ljansson -pthread -lcriterion

$(TESTS_CXX): $(B)/regress/%: $(B)/regress/%.o $(B)/librosemary.a
	$(CXX) $(OPT) $(SAN) -o $@ $(filter %.o,$^) $(filter %.a,$^) \
		-lrapidcheck $(KERNEL_LIBS)

# The fake network of tests and benches with several kernels.
NET = $(call obj,$(wildcard regress/net/*.c))
$(filter $(B)/regress/cluster-%,$(TESTS_C) $(TESTS_CXX)): $(NET)
$(B)/bench-cluster: $(NET)

# Simulated targets for tests of the pool's scheduler.
$(filter $(B)/regress/sched-%,$(TESTS_C)): \
	$(call obj,$(wildcard regress/world/*.c))

# Random event scripts of the property tests.
$(filter $(B)/regress/claim-%,$(TESTS_CXX)): \
	$(call obj,$(wildcard regress/script/*.c))

# The stand-in of the users' platform, for the scripted tests.
STANDIN = $(filter-out %/callers.c,$(wildcard regress/standin/*.c))
$(B)/regress/standin/platform: $(call obj,$(STANDIN)) $(call obj,$(FAKES))
	$(LINK) -lapr-1 -laprutil-1 -lmicrohttpd -lcurl -ljansson -lgsl \
		-lgslcblas -lm -pthread

$(B)/regress/standin/callers: $(B)/regress/standin/callers.o
	$(LINK) -lcurl -ljansson -lm

# The soak test: random faults on the real programs.
$(B)/regress/soak/proxy: $(B)/regress/soak/proxy.o
	$(LINK)

$(B)/regress/soak/soak: $(call obj,$(wildcard regress/soak/soak*.c))
	$(LINK) -lcurl -ljansson

# Clients that do not behave, for the scripted tests.
$(B)/regress/crowd/crowd: $(call obj,$(wildcard regress/crowd/*.c))
	$(LINK)

# All sources except generated ones.
SOURCES = $(filter-out $(wildcard *.pb-c.c *.pb-c.h),\
	$(wildcard *.c *.h platform/*.c platform/*.h regress/*.c regress/*.h regress/*/*.c regress/*/*.h))

format:
	clang-format -i $(SOURCES)

check-format:
	clang-format --dry-run --Werror $(SOURCES)

TIDY = $(filter-out regress/%,$(filter %.c,$(SOURCES)))

TIDY_FLAGS = $(shell pkg-config --cflags apr-1 apr-util-1 libprotobuf-c)

lint:
	printf '%s\n' $(TIDY) | xargs -P 8 -n 3 sh -c 'clang-tidy --quiet \
		"$$@" -- -std=gnu11 -I. $(TIDY_FLAGS) 2>&1' tidy
	cppcheck --quiet --error-exitcode=1 --std=c11 --inline-suppr \
		--enable=warning,performance,portability \
		--suppress=missingIncludeSystem --suppress=unknownMacro \
		-I. $(TIDY)

check:
	./regress/run.sh

demo:
	./regress/demo.sh

proto:
	protoc-c --c_out=. peer.proto pool.proto

clean:
	rm -rf build

-include $(wildcard $(B)/*.d $(B)/platform/*.d $(B)/regress/*.d $(B)/regress/*/*.d)

.PHONY: all tests format check-format lint check demo proto clean
.SECONDARY:

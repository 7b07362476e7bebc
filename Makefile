# Targets: all, check, demo, bench, matrix, soak, fuzz, install-deps, format, clean.

CC = gcc
BUILD ?= build
SANITIZE ?=
PKGS = libuv glib-2.0 jansson libtirpc inih libxxhash
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
       -Wmissing-prototypes -Wpointer-arith
CFLAGS ?= -O2 -g
override CFLAGS += -std=gnu11 $(WARN) -MMD -MP -Ipackages -Itests -I. \
	-DH2O_USE_LIBUV=1 $(SANITIZE) $(shell pkg-config --cflags $(PKGS))
# Only the command line draws.
CTL_PKGS = cairo
CTL_LDLIBS = $(shell pkg-config --libs $(CTL_PKGS))
LDLIBS = $(shell pkg-config --libs $(PKGS)) -lh2o -lssl -lcrypto -lm

DAEMON_SRC = $(wildcard packages/daemon/*.c)
CTL_SRC = $(wildcard packages/ctl/*.c)
LIB_SRC = $(filter-out $(DAEMON_SRC) $(CTL_SRC),$(wildcard packages/*/*.c)) \
	$(wildcard platform/*.c)
STANDIN_SRC = $(wildcard tests/standin/*.c)
FAKES_SRC = $(wildcard bench/fakes/*.c)
SCENARIO_SRC = $(FAKES_SRC) tests/scenario/scn-main.c
BENCH_SRC = $(wildcard bench/*.c)
MATRIX_SRC = $(wildcard tests/matrix/*.c)
UNIT_SRC = $(wildcard packages/*/tests/*.c) $(wildcard platform/tests/*.c)

obj = $(patsubst %.c,$(BUILD)/obj/%.o,$(1))
LIB = $(BUILD)/libgentianbend.a
UNITS = $(patsubst %.c,$(BUILD)/units/%,$(UNIT_SRC))

# A program is built from every file in its folder named PROGRAM-*.c; a file
# named common-*.c serves all programs of the folder.
programs = $(sort $(foreach f,$(notdir $(1)),$(firstword $(subst -, ,$(f)))))
STANDINS = $(addprefix $(BUILD)/,\
	$(filter-out common,$(call programs,$(STANDIN_SRC))))
SCENARIOS = $(BUILD)/scenario
BENCHES = $(addprefix $(BUILD)/bench-,\
	$(filter-out common,$(call programs,$(BENCH_SRC))))
MATRIX = $(if $(MATRIX_SRC),$(BUILD)/matrix)
EMULATOR_SRC = $(wildcard platform/emulator/*.c)
EMULATOR = $(BUILD)/emulator
BINARIES = $(if $(DAEMON_SRC),$(BUILD)/gentianbend) \
	$(if $(CTL_SRC),$(BUILD)/gentianctl)

.PHONY: all check demo bench matrix install-deps format format-check lint \
	unit deploy-check docs-check scenario process emulate soak asan fuzz clean
.SECONDARY:

all: $(BINARIES) $(EMULATOR) $(STANDINS) $(SCENARIOS) $(MATRIX) $(BENCHES) $(UNITS)

$(BUILD)/obj/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC $<"
	@$(CC) $(CFLAGS) -c -o $@ $<

$(LIB): $(call obj,$(LIB_SRC))
	@rm -f $@
	@echo "  AR $@"
	@ar rcs $@ $^

$(BUILD)/gentianbend: $(call obj,$(DAEMON_SRC)) $(LIB)
	@echo "  LD $@"
	@$(CC) $(SANITIZE) -o $@ $^ $(LDLIBS)

$(BUILD)/gentianctl: $(call obj,$(CTL_SRC)) $(LIB)
	@echo "  LD $@"
	@$(CC) $(SANITIZE) -o $@ $^ $(LDLIBS) $(CTL_LDLIBS)

$(BUILD)/obj/packages/ctl/%.o: override CFLAGS += \
	$(shell pkg-config --cflags $(CTL_PKGS))
$(BUILD)/units/packages/ctl/%: LDLIBS += $(CTL_LDLIBS)

$(BUILD)/scenario: $(call obj,$(SCENARIO_SRC)) \
		$(BUILD)/obj/tests/script/scr.o $(LIB)
	@echo "  LD $@"
	@$(CC) $(SANITIZE) -o $@ $^ $(LDLIBS)

$(UNITS): $(BUILD)/units/%: $(BUILD)/obj/%.o $(BUILD)/obj/tests/script/scr.o $(LIB)
	@mkdir -p $(@D)
	@echo "  LD $@"
	@$(CC) $(SANITIZE) -o $@ $(filter %.o,$^) $(LIB) $(LDLIBS)

# The test of the command line brings its own HTTP client, output and clock.
CTL_TESTED = $(filter-out %/ctl-main.c %/ctl-http.c %/ctl-io.c,$(CTL_SRC))
$(BUILD)/units/packages/ctl/tests/ctl-test: $(call obj,$(CTL_TESTED))
$(BUILD)/units/packages/ctl/tests/http-test: $(call obj,packages/ctl/ctl-http.c)


define program
$(1): $(call obj,$(filter $(2)/$(3)-% $(2)/common-%,$(4))) $(5) $(LIB)
	@echo "  LD $$@"
	@$$(CC) $$(SANITIZE) -o $$@ $$^ $$(LDLIBS)
endef
$(foreach p,$(filter-out common,$(call programs,$(STANDIN_SRC))),\
	$(eval $(call program,$(BUILD)/$(p),tests/standin,$(p),$(STANDIN_SRC),)))
$(foreach p,$(filter-out common,$(call programs,$(BENCH_SRC))),\
	$(eval $(call program,$(BUILD)/bench-$(p),bench,$(p),$(BENCH_SRC),\
	$(call obj,$(FAKES_SRC)) $(BUILD)/obj/tests/script/scr.o)))

$(BUILD)/matrix: $(call obj,$(MATRIX_SRC) $(FAKES_SRC)) \
		$(BUILD)/obj/tests/script/scr.o $(LIB)
	@echo "  LD $@"
	@$(CC) $(SANITIZE) -o $@ $^ $(LDLIBS)

$(EMULATOR): $(call obj,$(EMULATOR_SRC)) $(BUILD)/obj/tests/script/scr.o $(LIB)
	@echo "  LD $@"
	@$(CC) $(SANITIZE) -o $@ $^ $(LDLIBS)

SOURCES = $(shell git ls-files -co --exclude-standard '*.c' '*.h' | \
	grep -v generated)

format:
	clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run --Werror $(SOURCES)

lint:
	@cppcheck --quiet --std=c11 --error-exitcode=1 -j 8 \
		--enable=warning,performance,portability --inline-suppr \
		--library=gtk \
		'-Djson_object_foreach(o,k,v)=for ((k) = 0, (v) = (o); (v);)' \
		-Ipackages -Itests -I. packages platform tests bench

install-deps:
	@.ci/install

unit: $(UNITS)
	tests/run-units $(UNITS)

scenario: $(SCENARIOS)
	tests/run-scenarios $(BUILD)

deploy-check:
	tests/check-deploy

docs-check: all
	tests/check-events $(BUILD)

process: all
	tests/run-processes $(BUILD)

emulate: all
	tests/run-emulator $(BUILD)

# Seeds that every run of the checks plays; seeds that ever failed stay here.
SOAK_SEEDS = 1,2

soak: all
	tests/run-soak $(BUILD) $(or $(SEED),$(SOAK_SEEDS))

asan:
	$(MAKE) -j8 BUILD=build-asan CFLAGS="-O1 -g" \
		SANITIZE="-fsanitize=address,undefined -fno-omit-frame-pointer" \
		all unit scenario process emulate soak

# The seed that every run of the checks plays; TIME is the number of seconds.
FUZZ_SEED = 1

$(BUILD)/fuzz: $(call obj,$(wildcard tests/fuzz/*.c)) $(LIB)
	@echo "  LD $@"
	@$(CC) $(SANITIZE) -fsanitize=fuzzer -o $@ $^ $(LDLIBS)

# libFuzzer comes with clang.
fuzz:
	$(MAKE) -j8 BUILD=build-fuzz CC=clang CFLAGS="-O1 -g" \
		SANITIZE="-fsanitize=fuzzer-no-link,address,undefined" \
		build-fuzz/fuzz
	tests/run-fuzz build-fuzz $(or $(SEED),$(FUZZ_SEED)) $(TIME)

check: install-deps
	$(MAKE) format-check lint
	$(MAKE) -j8 all
	tests/check

demo: install-deps
	$(MAKE) -j8 all
	tests/demo $(BUILD)

bench: install-deps
	$(MAKE) -j8 all
	bench/run $(BUILD)

matrix: all
	tests/run-matrix $(BUILD) $(SEED)

clean:
	rm -rf build build-asan build-fuzz

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

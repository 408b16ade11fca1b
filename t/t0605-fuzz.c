/* Runs each fuzz target on its committed corpus, whole and truncated. */
#include "t/fuzz/targets.h"
#include "t/lib/suite.h"

#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>

enum { INPUT_MAX = 16384 };

static size_t
read_input(const char *target, const char *name, uint8_t *bytes)
{
    char path[512];
    snprintf(path, sizeof(path), "t/fuzz/corpus/%s/%s", target, name);
    FILE *file = fopen(path, "r");
    ck_assert_msg(file != NULL, "%s", path);
    size_t size = fread(bytes, 1, INPUT_MAX, file);
    fclose(file);
    return size;
}

/* Run on a copy of exactly this size, so that ASan detects overreads. */
static void
run_copy(const fuzz_target_t *target, const uint8_t *bytes, size_t size)
{
    uint8_t *copy = malloc(size == 0 ? 1 : size);
    for (size_t i = 0; i < size; i++) {
        copy[i] = bytes[i];
    }
    target->run(copy, size);
    free(copy);
}

static void
run_input(const fuzz_target_t *target, const char *name)
{
    static uint8_t bytes[INPUT_MAX];
    size_t size = read_input(target->name, name, bytes);
    run_copy(target, bytes, size);
    size_t step = size / 64 + 1;
    for (size_t cut = 0; cut < size; cut += step) {
        run_copy(target, bytes, cut);
    }
}

START_TEST(test_corpus)
{
    const fuzz_target_t *target = &fuzz_targets[_i];
    char path[512];
    struct dirent **inputs;
    snprintf(path, sizeof(path), "t/fuzz/corpus/%s", target->name);
    int count = scandir(path, &inputs, NULL, alphasort);
    ck_assert_msg(count > 2, "t/fuzz/corpus/%s has no inputs", target->name);
    for (int i = 0; i < count; i++) {
        if (inputs[i]->d_name[0] != '.') {
            run_input(target, inputs[i]->d_name);
        }
        free(inputs[i]);
    }
    free(inputs);
}
END_TEST

int
main(void)
{
    size_t count = 0;
    while (fuzz_targets[count].name != NULL) {
        count++;
    }
    TCase *tests = tcase_create("fuzz");
    tcase_set_timeout(tests, 0);
    tcase_add_loop_test(tests, test_corpus, 0, (int)count);
    return suite_run("fuzz", tests);
}

/* Entry point for libFuzzer. FUZZ_TARGET in the environment names the target.
 */
#include "t/fuzz/targets.h"

#include <stdio.h>
#include <stdlib.h>

static const fuzz_target_t *target;

/* The names are libFuzzer's: NOLINTBEGIN(readability-identifier-naming) */
int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size);

int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
    (void)argc;
    (void)argv;
    const char *name = getenv("FUZZ_TARGET");
    target = name == NULL ? NULL : fuzz_target_find(name);
    if (target == NULL) {
        fprintf(stderr, "FUZZ_TARGET is not set or names no target\n");
        exit(2);
    }
    return 0;
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
    target->run(bytes, size);
    return 0;
}
/* NOLINTEND(readability-identifier-naming) */

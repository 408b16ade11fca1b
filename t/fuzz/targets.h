/*
 * What the fuzzer feeds with bytes. Each target must survive any input; it
 * checks itself with assert where an accepted input has to keep a promise.
 */
#ifndef T_FUZZ_TARGETS_H
#define T_FUZZ_TARGETS_H

#include <stddef.h>
#include <stdint.h>

typedef struct {
    const char *name; /* and of its corpus, t/fuzz/corpus/NAME */
    void (*run)(const uint8_t *bytes, size_t size);
} fuzz_target_t;

/* Ended by an entry without a name. */
extern const fuzz_target_t fuzz_targets[];

/* NULL: no such target. */
const fuzz_target_t *fuzz_target_find(const char *name);

#endif

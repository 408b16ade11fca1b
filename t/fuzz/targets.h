/*
 * Fuzz targets: decoders and parsers of untrusted bytes. A target must not
 * crash on any input. It checks with assert the guarantees that hold for each
 * accepted input.
 */
#ifndef T_FUZZ_TARGETS_H
#define T_FUZZ_TARGETS_H

#include <stddef.h>
#include <stdint.h>

typedef struct {
    const char *name; /* its corpus is t/fuzz/corpus/NAME */
    void (*run)(const uint8_t *bytes, size_t size);
} fuzz_target_t;

/* Terminated by an entry whose name is NULL. */
extern const fuzz_target_t fuzz_targets[];

/* Return the target of this name, or NULL. */
const fuzz_target_t *fuzz_target_find(const char *name);

#endif

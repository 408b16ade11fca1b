/*
 * Reads secrets from files: the shared key of the peers and the operators'
 * token.
 */
#ifndef EDGE_SECRET_H
#define EDGE_SECRET_H

#include "core/status.h"

#include <stdbool.h>
#include <stddef.h>

/*
 * Reads the file into out, which has room for max bytes, without the newlines
 * at its end and without adding a NUL. *size is the length in bytes. Returns
 * STATUS_NOT_FOUND if the file cannot be opened, STATUS_UNAVAILABLE if it
 * cannot be read, STATUS_INVALID unless the length is from min to max, or
 * STATUS_NO_MEMORY; on failure *size is 0.
 */
status_t secret_read(const char *path, size_t min, size_t max, char *out,
                     size_t *size, error_t *err);

/*
 * Returns whether a and b are equal. The time that it takes depends on a_size,
 * but not on the position of the first difference.
 */
bool secret_equal(const char *a, size_t a_size, const char *b, size_t b_size);

#endif

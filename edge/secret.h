/*
 * Secrets kept in files of their own: the shared key of peers and the
 * operators' token.
 */
#ifndef EDGE_SECRET_H
#define EDGE_SECRET_H

#include "core/status.h"

#include <stdbool.h>
#include <stddef.h>

/*
 * Read the file into out, line ends at its end removed. *size is at least min
 * and at most max; out has room for max bytes.
 */
status_t secret_read(const char *path, size_t min, size_t max, char *out,
                     size_t *size, error_t *err);

/* Whether both are equal, in a time that does not depend on where not. */
bool secret_equal(const char *a, size_t a_size, const char *b, size_t b_size);

#endif

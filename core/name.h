/*
 * Checks the names of services, upstreams, zones, tenants, VMs and daemons.
 */
#ifndef CORE_NAME_H
#define CORE_NAME_H

#include "core/part.h"

#define NAME_ALLOWED "1 to 31 characters of a-z, 0-9, '.' and '-'"

/* Returns whether name is valid, as NAME_ALLOWED describes. */
bool name_valid(const char *name);

#define LABEL_ALLOWED "characters of a-z, 0-9, '.' and '-'"

/*
 * Returns whether text, for example the id of a change, has only the
 * characters of names and fits, including its NUL, in size bytes. It may be
 * empty.
 */
bool label_valid(const char *text, size_t size);

/*
 * Copies untrusted text for use in a message. Replaces each byte that is not
 * printable ASCII by '?' and truncates the copy, including its NUL, to size
 * bytes. size must not be 0.
 */
void printable_copy(char *out, size_t size, const char *text);

#endif

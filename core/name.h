/*
 * The rule for names of services, upstreams, zones, tenants, VMs and daemons.
 */
#ifndef CORE_NAME_H
#define CORE_NAME_H

#include "core/part.h"

#define NAME_ALLOWED "1 to 31 characters of a-z, 0-9, '.' and '-'"

/* Whether the name keeps the rule that NAME_ALLOWED words. */
bool name_valid(const char *name);

#define LABEL_ALLOWED "characters of a-z, 0-9, '.' and '-'"

/*
 * Whether text, which may be empty, is of the characters of names and fits,
 * its NUL included, in size bytes: ids of changes, for example.
 */
bool label_valid(const char *text, size_t size);

/*
 * Copy text of unknown origin for a message: what is not printable ASCII
 * becomes '?', what does not fit in size bytes is cut.
 */
void printable_copy(char *out, size_t size, const char *text);

#endif

/*
 * Copies of text into arrays of fixed size.
 */
#ifndef CORE_TEXT_H
#define CORE_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/* Copy all of it with its end; false: it does not fit, and out is "". */
bool text_copy(char *out, size_t size, const char *text);

#endif

/*
 * Copies strings into arrays of fixed size.
 */
#ifndef CORE_TEXT_H
#define CORE_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Copies text with its NUL to out, which has size bytes. If text does not fit,
 * sets out to "" and returns false.
 */
bool text_copy(char *out, size_t size, const char *text);

#endif

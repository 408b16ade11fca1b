/*
 * The addresses that callers were told to use, as GET /v1/entries answers
 * them. Addresses that could not be reached are left out until the list is
 * read again.
 *
 *     directory_t directory = {0};
 *     if (directory_parse(&directory, text, size, now_us)) ...
 *     int entry = directory_choose(&directory, draw, -1);
 */
#ifndef STANDIN_LIB_DIRECTORY_H
#define STANDIN_LIB_DIRECTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { DIRECTORY_ENTRIES_MAX = 32, DIRECTORY_URL_SIZE = 96 };

typedef struct {
    char url[DIRECTORY_URL_SIZE]; /* "http://ADDRESS:PORT" */
    bool unreachable;
} directory_entry_t;

typedef struct {
    directory_entry_t entries[DIRECTORY_ENTRIES_MAX];
    size_t count;
    int64_t expires_us;
} directory_t;

/* Replace the list; false, changing nothing, when text is no such list. */
bool directory_parse(directory_t *directory, const char *text, size_t size,
                     int64_t now_us);

/*
 * An entry by a draw in [0, 1), another one than avoid where there is one;
 * -1 when the list is empty.
 */
int directory_choose(const directory_t *directory, double draw, int avoid);

#endif

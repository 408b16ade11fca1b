/*
 * The entry addresses that callers may use, from the reply of GET /v1/entries.
 * Unreachable entries are avoided until the next list arrives.
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
    int64_t expires_us; /* when to read the list again */
} directory_t;

/*
 * Replaces the entries by those of a reply. Returns false, changing nothing,
 * if text has no valid entry.
 */
bool directory_parse(directory_t *directory, const char *text, size_t size,
                     int64_t now_us);

/*
 * Chooses an entry by draw, a random number in [0, 1): a reachable entry other
 * than avoid, else avoid if it is reachable, else any entry. Returns its
 * index, or -1 if the list is empty.
 */
int directory_choose(const directory_t *directory, double draw, int avoid);

#endif

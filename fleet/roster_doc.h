/*
 * The roster document: the members of one group, as kept in the platform's
 * store under yuccarun/roster/GROUP and changed by compare-and-swap.
 *
 * The version rises by one with each change of membership or of a leaving
 * flag, and a version makes exactly one such change; renewals, what a member
 * reports in `seen` and that it was replaced change without a new version. Two
 * documents with the same version have the same members, so a version names a
 * membership.
 *
 *     roster_doc_t doc;
 *     if (roster_doc_parse(text, size, &doc, &err) != STATUS_OK) ...
 *     char *text = roster_doc_format(&doc);
 *
 * Members are sorted by name; a name comes once. A roster_doc_t owns nothing.
 */
#ifndef FLEET_ROSTER_DOC_H
#define FLEET_ROSTER_DOC_H

#include "core/topology.h"

enum {
    ROSTER_MEMBERS_MAX = 32,
    ROSTER_TEXT_MAX = 16384 /* bytes of the document */
};

typedef struct {
    char name[NAME_SIZE];
    uint64_t incarnation;
    char zone[NAME_SIZE];
    char address[ADDRESS_SIZE];
    uint16_t http_port;
    uint16_t peer_port;
    uint64_t renewals;      /* a new value with each attempt to renew */
    uint64_t acked_version; /* version it has adopted and released work for */
    uint64_t joined;        /* version that added it */
    bool leaving;           /* owns nothing any more */
    bool replaced;          /* another process listens on its address */
} roster_member_t;

typedef struct {
    uint64_t version; /* 0: no roster was ever written */
    size_t count;
    roster_member_t members[ROSTER_MEMBERS_MAX];
    /* Removed by others at this very version; empty name: none. */
    char removed_name[NAME_SIZE];
    char removed_zone[NAME_SIZE];
} roster_doc_t;

/* An unreadable document is STATUS_INVALID or STATUS_TOO_LARGE. */
status_t roster_doc_parse(const char *text, size_t size, roster_doc_t *doc,
                          error_t *err);

/* JSON text to be freed by the caller; NULL: no memory. */
char *roster_doc_format(const roster_doc_t *doc);

/* Index of a member by name; -1 when there is none. */
int roster_doc_find(const roster_doc_t *doc, const char *name);

/* Insert in name order; false when full or the name is there already. */
bool roster_doc_add(roster_doc_t *doc, const roster_member_t *member);

void roster_doc_remove(roster_doc_t *doc, size_t index);

/* Members needed for more than half; 0 for an empty roster. */
size_t roster_doc_majority(const roster_doc_t *doc);

#endif

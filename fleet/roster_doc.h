/*
 * The roster document: the members of one group. It is kept in the platform's
 * store under yuccarun/roster/GROUP and changed by compare-and-swap.
 *
 * Each version adds one member, removes one or sets one leaving flag, and is
 * one higher than the version before. Renewals, acknowledged versions and the
 * replaced flag change without a new version. Documents of the same version
 * therefore have the same members.
 *
 *     roster_doc_t doc;
 *     if (roster_doc_parse(text, size, &doc, &err) != STATUS_OK) ...
 *     char *text = roster_doc_format(&doc);
 *
 * Members are sorted by name, and names are unique. A roster_doc_t owns no
 * memory.
 */
#ifndef FLEET_ROSTER_DOC_H
#define FLEET_ROSTER_DOC_H

#include "core/topology.h"

enum {
    ROSTER_MEMBERS_MAX = 32,
    ROSTER_TEXT_MAX = 16384 /* largest document, in bytes */
};

typedef struct {
    char name[NAME_SIZE];
    uint64_t incarnation;
    char zone[NAME_SIZE];
    char address[ADDRESS_SIZE];
    uint16_t http_port;
    uint16_t peer_port;
    uint64_t renewals;      /* renewal counter, raised by each attempt */
    uint64_t acked_version; /* see roster_release; "seen" in the text */
    uint64_t joined;        /* version that added the member */
    bool leaving;           /* it owns no upstream any more */
    bool replaced;          /* another process listens on its address */
} roster_member_t;

typedef struct {
    uint64_t version; /* 0: no document was ever written */
    size_t count;
    roster_member_t members[ROSTER_MEMBERS_MAX];
    /* The member that other members removed in this version, if any. */
    char removed_name[NAME_SIZE]; /* empty: none */
    char removed_zone[NAME_SIZE];
} roster_doc_t;

/*
 * Parse a document of `size` bytes. On STATUS_INVALID and STATUS_TOO_LARGE,
 * *doc is empty and *err, which may be NULL, says why.
 */
status_t roster_doc_parse(const char *text, size_t size, roster_doc_t *doc,
                          error_t *err);

/* The document as JSON. The caller frees it; NULL when out of memory. */
char *roster_doc_format(const roster_doc_t *doc);

/* Index of the member with this name; -1 when there is none. */
int roster_doc_find(const roster_doc_t *doc, const char *name);

/* Insert in name order; false if the document is full or has the name. */
bool roster_doc_add(roster_doc_t *doc, const roster_member_t *member);

/* Remove the member with this index; the others keep their order. */
void roster_doc_remove(roster_doc_t *doc, size_t index);

/* Number of members that is a majority; 0 for an empty document. */
size_t roster_doc_majority(const roster_doc_t *doc);

#endif

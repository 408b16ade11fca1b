#include "fleet/roster_doc.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP "read roster"

enum {
    HEX_SIZE = 17 /* 16 digits and the NUL */
};

static bool
copy_text(char *to, size_t size, const char *from)
{
    size_t length = strlen(from);
    if (length == 0 || length >= size) {
        return false;
    }
    memcpy(to, from, length + 1);
    return true;
}

static bool
parse_hex(const char *text, uint64_t *value)
{
    if (*text == '\0' || strlen(text) >= HEX_SIZE ||
        strspn(text, "0123456789abcdef") != strlen(text)) {
        return false;
    }
    *value = strtoull(text, NULL, 16);
    return true;
}

static bool
parse_member(json_t *object, roster_member_t *member)
{
    const char *name;
    const char *incarnation;
    const char *zone;
    const char *address;
    json_int_t http;
    json_int_t peer;
    json_int_t renewals;
    json_int_t seen;
    json_int_t joined;
    int leaving;
    if (json_unpack(object, "{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:b}",
                    "name", &name, "incarnation", &incarnation, "zone", &zone,
                    "address", &address, "http_port", &http, "peer_port",
                    &peer, "renewals", &renewals, "seen", &seen, "joined",
                    &joined, "leaving", &leaving) != 0) {
        return false;
    }
    if (http < 0 || http > UINT16_MAX || peer < 0 || peer > UINT16_MAX ||
        renewals < 0 || seen < 0 || joined < 0) {
        return false;
    }
    *member = (roster_member_t){
        .http_port = (uint16_t)http,
        .peer_port = (uint16_t)peer,
        .renewals = (uint64_t)renewals,
        .acked_version = (uint64_t)seen,
        .joined = (uint64_t)joined,
        .leaving = leaving != 0,
        .replaced = json_is_true(json_object_get(object, "replaced")),
    };
    return copy_text(member->name, sizeof(member->name), name) &&
           copy_text(member->zone, sizeof(member->zone), zone) &&
           copy_text(member->address, sizeof(member->address), address) &&
           parse_hex(incarnation, &member->incarnation);
}

static bool
parse_removed(json_t *root, roster_doc_t *doc)
{
    json_t *removed = json_object_get(root, "removed");
    if (removed == NULL) {
        return true;
    }
    const char *name;
    const char *zone;
    if (json_unpack(removed, "{s:s,s:s}", "name", &name, "zone", &zone) != 0) {
        return false;
    }
    return copy_text(doc->removed_name, sizeof(doc->removed_name), name) &&
           copy_text(doc->removed_zone, sizeof(doc->removed_zone), zone);
}

static bool
parse_members(json_t *members, roster_doc_t *doc)
{
    size_t index;
    json_t *object;
    json_array_foreach(members, index, object)
    {
        roster_member_t member;
        if (!parse_member(object, &member) || member.joined > doc->version ||
            member.acked_version > doc->version ||
            !roster_doc_add(doc, &member)) {
            return false;
        }
    }
    return true;
}

static bool
parse_root(json_t *root, roster_doc_t *doc)
{
    json_int_t version;
    json_t *members;
    if (json_unpack(root, "{s:I,s:o}", "version", &version, "members",
                    &members) != 0 ||
        version < 0 || !json_is_array(members)) {
        return false;
    }
    *doc = (roster_doc_t){.version = (uint64_t)version};
    return parse_members(members, doc) && parse_removed(root, doc);
}

status_t
roster_doc_parse(const char *text, size_t size, roster_doc_t *doc,
                 error_t *err)
{
    *doc = (roster_doc_t){0};
    if (size > ROSTER_TEXT_MAX) {
        return error_set(err, STATUS_TOO_LARGE, STEP, "",
                         "the document has %zu bytes, at most %d are allowed",
                         size, ROSTER_TEXT_MAX);
    }
    json_error_t fault;
    json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &fault);
    if (root == NULL) {
        return error_set(err, STATUS_INVALID, STEP, "",
                         "invalid JSON in line %d: %s", fault.line,
                         fault.text);
    }
    bool good = parse_root(root, doc);
    json_decref(root);
    if (!good) {
        *doc = (roster_doc_t){0};
        return error_set(err, STATUS_INVALID, STEP, "",
                         "a field is missing or out of range, or a member is "
                         "listed twice");
    }
    return STATUS_OK;
}

static json_t *
format_member(const roster_member_t *member)
{
    char incarnation[HEX_SIZE];
    snprintf(incarnation, sizeof(incarnation), "%016" PRIx64,
             member->incarnation);
    json_t *object = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:i,s:I,s:I,s:I,s:b}", "name", member->name,
        "incarnation", incarnation, "zone", member->zone, "address",
        member->address, "http_port", (int)member->http_port, "peer_port",
        (int)member->peer_port, "renewals", (json_int_t)member->renewals,
        "seen", (json_int_t)member->acked_version, "joined",
        (json_int_t)member->joined, "leaving", (int)member->leaving);
    if (member->replaced) {
        json_object_set_new(object, "replaced", json_true());
    }
    return object;
}

char *
roster_doc_format(const roster_doc_t *doc)
{
    json_t *members = json_array();
    for (size_t i = 0; i < doc->count; i++) {
        json_array_append_new(members, format_member(&doc->members[i]));
    }
    json_t *root = json_pack("{s:I,s:o}", "version", (json_int_t)doc->version,
                             "members", members);
    if (doc->removed_name[0] != '\0') {
        json_object_set_new(root, "removed",
                            json_pack("{s:s,s:s}", "name", doc->removed_name,
                                      "zone", doc->removed_zone));
    }
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

int
roster_doc_find(const roster_doc_t *doc, const char *name)
{
    for (size_t i = 0; i < doc->count; i++) {
        if (strcmp(doc->members[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

bool
roster_doc_add(roster_doc_t *doc, const roster_member_t *member)
{
    if (doc->count == ROSTER_MEMBERS_MAX ||
        roster_doc_find(doc, member->name) >= 0) {
        return false;
    }
    size_t at = doc->count;
    while (at > 0 && strcmp(doc->members[at - 1].name, member->name) > 0) {
        doc->members[at] = doc->members[at - 1];
        at--;
    }
    doc->members[at] = *member;
    doc->count++;
    return true;
}

void
roster_doc_remove(roster_doc_t *doc, size_t index)
{
    doc->count--;
    memmove(&doc->members[index], &doc->members[index + 1],
            (doc->count - index) * sizeof(doc->members[0]));
}

size_t
roster_doc_majority(const roster_doc_t *doc)
{
    return doc->count == 0 ? 0 : doc->count / 2 + 1;
}

/*
 * The messages between daemons, as plain structs.
 *
 * A message_t is one message of any type. To send, fill one in that points
 * to the caller's own arrays and encode it; what was decoded owns its memory
 * and is released:
 *
 *     message_t m = {.type = MESSAGE_PARTS, .parts = {requests, count}};
 *     if (message_encode(&m, now_us, &bytes, &size, &err) != STATUS_OK) ...
 *
 *     if (message_decode(type, bytes, size, now_us, &m, &err) == STATUS_OK) {
 *         ...
 *         message_release(&m);
 *     }
 *
 * Both directions check every bound and name, so that a message refused by
 * the peer is refused here already. Deadlines are absolute in the local
 * monotonic clock; the wire carries the microseconds left.
 */
#ifndef PROTO_MESSAGE_H
#define PROTO_MESSAGE_H

#include "core/part.h"
#include "core/status.h"
#include "proto/arena.h"

enum {
    PROTOCOL_VERSION = 1, /* spoken by this daemon */
    PROTOCOL_OLDEST = 1,  /* still understood by it */
    NONCE_BYTES = 32,
    PROOF_BYTES = 32,
    MESSAGE_PARTS_MAX = 4096,         /* parts, replies or ids in a message */
    MESSAGE_JSON_MAX_BYTES = 1000000, /* of ConfigPush, Ask and Answer */
    MESSAGE_QUARANTINED_MAX = 1024,
    MESSAGE_HEARD_MAX_BYTES = 512,
    MESSAGE_PAIRS_MAX = 64,
    MESSAGE_PAIR_VALUE_MAX_BYTES = 1024
};

/* Longest time that a deadline on the wire may be away. */
#define MESSAGE_DURATION_MAX_US (INT64_C(24) * 3600 * 1000000)

/* Types are part of the wire format and are never renumbered. */
typedef enum {
    MESSAGE_NONE = 0,
    MESSAGE_CHALLENGE = 1, /* handshake: acceptor's nonce */
    MESSAGE_HELLO = 2,     /* handshake: who I am, with proof of the key */
    MESSAGE_PARTS = 3,
    MESSAGE_REPLIES = 4,
    MESSAGE_CANCEL = 5,
    MESSAGE_HEARTBEAT = 6,
    MESSAGE_CONFIG_REQUEST = 7,
    MESSAGE_CONFIG_PUSH = 8,
    MESSAGE_ASK = 9,
    MESSAGE_ANSWER = 10,
    MESSAGE_TYPE_COUNT
} message_type_t;

typedef struct {
    uint32_t version;
    uint32_t oldest;
    uint8_t nonce[NONCE_BYTES];
} challenge_t;

typedef struct {
    uint32_t version;
    uint32_t oldest;
    char name[NAME_SIZE];
    uint64_t incarnation;
    char zone[NAME_SIZE];
    uint8_t nonce[NONCE_BYTES];
    char peer[NAME_SIZE]; /* whom the sender means; empty: any */
    uint8_t proof[PROOF_BYTES];
} hello_t;

/* All parts of one query for one owner. */
typedef struct {
    const part_request_t *requests;
    size_t count;
} parts_t;

typedef struct {
    const part_reply_t *replies;
    size_t count;
} replies_t;

typedef struct {
    const attempt_id_t *ids;
    size_t count;
} cancel_t;

/* A small value that a later daemon may add without a new message. */
typedef struct {
    const char *key; /* a name */
    const uint8_t *value;
    size_t size;
} heartbeat_pair_t;

typedef struct {
    uint64_t roster_version; /* highest roster seen */
    uint64_t config_version; /* in force here */
    bool store_failing;
    uint32_t load_permille;
    bool leaving;
    const uint64_t *quarantined; /* fingerprints that crash upstreams */
    size_t quarantined_count;
    const uint8_t *heard; /* one bit a roster member: heard from lately */
    size_t heard_size;    /* bytes */
    const heartbeat_pair_t *pairs;
    size_t pair_count;
} heartbeat_t;

typedef struct {
    uint64_t have_version;
} config_request_t;

typedef struct {
    uint64_t version;
    const char *json; /* not NUL-terminated */
    size_t size;
} config_push_t;

/* What an Ask wants; a receiver answers STATUS_INVALID to a kind unknown. */
typedef enum {
    ASK_QUERY,      /* run a query that is the receiver's to run once */
    ASK_STATUS,     /* the receiver's share of the fleet status */
    ASK_EXPLAIN,    /* what the receiver knows of one query */
    ASK_CANCEL,     /* cancel a query that runs at the receiver */
    ASK_ROSTER,     /* a roster document; not answered */
    ASK_HOLDS,      /* zones and VMs held out; not answered */
    ASK_OUTCOME,    /* what became of a request named by an id */
    ASK_PARTITIONS, /* send what is known of partitions; not answered */
    ASK_PARTITION,  /* a service's partition; not answered */
    ASK_KIND_COUNT
} ask_kind_t;

typedef struct {
    uint64_t id; /* chosen by the asker, echoed by the answer */
    uint32_t kind;
    const char *json; /* not NUL-terminated */
    size_t size;
} ask_t;

typedef struct {
    uint64_t id;
    uint32_t status; /* an HTTP status */
    const char *json;
    size_t size;
} answer_t;

typedef struct {
    message_type_t type;
    union {
        challenge_t challenge;
        hello_t hello;
        parts_t parts;
        replies_t replies;
        cancel_t cancel;
        heartbeat_t heartbeat;
        config_request_t config_request;
        config_push_t config_push;
        ask_t ask;
        answer_t answer;
    };
    arena_t *memory; /* what message_release frees; NULL: nothing */
} message_t;

/* Name for metrics and logs: "parts"; "unknown" for any other number. */
const char *message_type_name(uint8_t type);

/* Whether it carries queries, as opposed to control. */
bool message_type_is_data(uint8_t type);

/*
 * Encode into *bytes, which the caller frees. STATUS_INVALID: a field breaks
 * a rule; STATUS_TOO_LARGE: more than a frame carries.
 */
status_t message_encode(const message_t *message, int64_t now_us,
                        uint8_t **bytes, size_t *size, error_t *err);

/*
 * Decode a payload into *message, which message_release must free when the
 * status is STATUS_OK and may free otherwise. STATUS_NOT_FOUND: a type that
 * this version does not know; STATUS_INVALID: malformed.
 */
status_t message_decode(uint8_t type, const uint8_t *bytes, size_t size,
                        int64_t now_us, message_t *message, error_t *err);

/* Free what a decoded message owns; it is then MESSAGE_NONE. */
void message_release(message_t *message);

#endif

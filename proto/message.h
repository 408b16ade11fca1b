/*
 * The messages between daemons, as plain structs.
 *
 * A message_t is one message of any type. A message to send points to arrays
 * that the caller owns. A decoded message owns its memory and must be
 * released:
 *
 *     message_t m = {.type = MESSAGE_PARTS, .parts = {requests, count}};
 *     if (message_encode(&m, now_us, &bytes, &size, &err) != STATUS_OK) ...
 *
 *     if (message_decode(type, bytes, size, now_us, &m, &err) == STATUS_OK) {
 *         ...
 *         message_release(&m);
 *     }
 *
 * Encoding and decoding check the same limits and names, so that a message
 * that the peer would reject is not sent. Deadlines are absolute times of the
 * local CLOCK_MONOTONIC; the wire carries the microseconds left.
 */
#ifndef PROTO_MESSAGE_H
#define PROTO_MESSAGE_H

#include "core/part.h"
#include "core/status.h"
#include "proto/arena.h"

enum {
    PROTOCOL_VERSION = 1, /* newest version that this daemon supports */
    PROTOCOL_OLDEST = 1,  /* oldest version that this daemon supports */
    NONCE_BYTES = 32,
    PROOF_BYTES = 32,
    MESSAGE_PARTS_MAX = 4096, /* parts, replies or attempt ids per message */
    MESSAGE_JSON_MAX_BYTES = 1000000, /* in ConfigPush, Ask and Answer */
    MESSAGE_QUARANTINED_MAX = 1024,
    MESSAGE_HEARD_MAX_BYTES = 512, /* one bit per roster member */
    MESSAGE_PAIRS_MAX = 64,
    MESSAGE_PAIR_VALUE_MAX_BYTES = 1024
};

/* Longest time left to a deadline, and longest duration, on the wire. */
#define MESSAGE_DURATION_MAX_US (INT64_C(24) * 3600 * 1000000)

/* The types are part of the wire format and must not be renumbered. */
typedef enum {
    MESSAGE_NONE = 0,
    MESSAGE_CHALLENGE = 1, /* handshake: the acceptor's nonce */
    MESSAGE_HELLO = 2,     /* handshake: identity and proof of the key */
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
    char peer[NAME_SIZE]; /* name of the expected receiver; empty: any */
    uint8_t proof[PROOF_BYTES];
} hello_t;

/* A batch of parts of one query, for one owner. */
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

/*
 * A key and a small value. Later versions may add keys without a new message
 * type.
 */
typedef struct {
    const char *key; /* a valid name */
    const uint8_t *value;
    size_t size;
} heartbeat_pair_t;

typedef struct {
    uint64_t roster_version; /* highest version seen */
    uint64_t config_version; /* in force at the sender */
    bool store_failing;
    uint32_t load_permille;
    bool leaving;
    const uint64_t *quarantined; /* fingerprints of crash-inducing requests */
    size_t quarantined_count;
    const uint8_t *heard; /* bit per roster member: heard from recently */
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

/* Kinds of Ask. A receiver ignores a kind that it does not know. */
typedef enum {
    ASK_QUERY,      /* run a query, at most once, at the receiver */
    ASK_STATUS,     /* return the receiver's own part of the fleet status */
    ASK_EXPLAIN,    /* return what the receiver knows about a query */
    ASK_CANCEL,     /* cancel a query that the receiver coordinates */
    ASK_ROSTER,     /* carries a roster document; has no answer */
    ASK_HOLDS,      /* carries holds of zones and VMs; has no answer */
    ASK_OUTCOME,    /* return the outcome of the request with an id */
    ASK_PARTITIONS, /* send an ASK_PARTITION per partition; has no answer */
    ASK_PARTITION,  /* carries the partition of a service; has no answer */
    ASK_KIND_COUNT
} ask_kind_t;

typedef struct {
    uint64_t id; /* chosen by the sender; the answer has the same id */
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
    arena_t *memory; /* freed by message_release; NULL: none */
} message_t;

/*
 * Returns the type's name for metrics and logs, for example "parts", or
 * "unknown" if there is no such type.
 */
const char *message_type_name(uint8_t type);

/*
 * Whether messages of the type belong to the data path: parts, replies and
 * cancellations. All other types are control messages.
 */
bool message_type_is_data(uint8_t type);

/*
 * Encodes a message into *bytes, which the caller frees. now_us is the
 * CLOCK_MONOTONIC time from which the time left to deadlines is computed.
 * STATUS_INVALID means that a field breaks a rule, STATUS_TOO_LARGE that the
 * payload does not fit in a frame.
 */
status_t message_encode(const message_t *message, int64_t now_us,
                        uint8_t **bytes, size_t *size, error_t *err);

/*
 * Decodes a payload into *message. On STATUS_OK the caller must free the
 * message with message_release; otherwise the message owns no memory and that
 * call is optional. STATUS_NOT_FOUND means an unknown type, STATUS_INVALID a
 * malformed payload.
 */
status_t message_decode(uint8_t type, const uint8_t *bytes, size_t size,
                        int64_t now_us, message_t *message, error_t *err);

/* Frees the memory of a decoded message; sets its type to MESSAGE_NONE. */
void message_release(message_t *message);

#endif

/*
 * The state of the stand-in key-value service: values with modify indexes,
 * compare-and-swap and sessions that expire. The code does no I/O and reads no
 * clock; the caller serializes calls and passes the time.
 *
 *     kv_t *kv = kv_new();
 *     kv_write_t write = {.cas = true, .cas_index = 0};
 *     if (kv_put(kv, "a", "1", 1, &write, now_us)) ...
 *     kv_free(kv);
 */
#ifndef STANDIN_LIB_KV_H
#define STANDIN_LIB_KV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    KV_KEY_MAX = 256,
    KV_SESSION_SIZE = 40, /* bytes of a session id, with the final NUL */
    KV_VALUE_MAX_BYTES = 1 << 20
};

/* Faults of the stand-in service, simulated by the code that uses kv_t. */
typedef enum {
    KV_FAULT_OK,
    KV_FAULT_DOWN,       /* every call is refused */
    KV_FAULT_SLOW,       /* every call is delayed */
    KV_FAULT_LOST_REPLY, /* writes take effect, their replies are lost */
    KV_FAULT_STALE,      /* reads return the previous value */
    KV_FAULT_COUNT
} kv_fault_t;

typedef struct {
    const char *value;
    size_t size;
    uint64_t index;
    const char *session; /* id of the holder; empty: none */
} kv_entry_t;

typedef struct {
    bool cas;
    uint64_t cas_index;  /* if cas: required index; 0: no such key */
    const char *acquire; /* session that acquires the key, or NULL */
    const char *release; /* session that releases the key, or NULL */
} kv_write_t;

typedef struct kv kv_t;

/* Returns NULL if memory is out; the caller frees it with kv_free. */
kv_t *kv_new(void);
void kv_free(kv_t *kv);

/*
 * Reads a key; false: there is no such key. The entry's pointers are valid
 * until the next change. With stale, the entry has the previous value and its
 * index, if the key has had one.
 */
bool kv_read(const kv_t *kv, const char *key, bool stale, kv_entry_t *entry);

/*
 * Writes a key. Returns false, changing nothing, if the conditions of write
 * are not met, key or value is too long, or memory is out.
 */
bool kv_put(kv_t *kv, const char *key, const char *value, size_t size,
            const kv_write_t *write);

/*
 * Deletes a key under the same conditions. A missing key counts as deleted,
 * unless write requires an index other than 0.
 */
bool kv_delete(kv_t *kv, const char *key, const kv_write_t *write);

/* Index of the newest change of any key; at least 1. */
uint64_t kv_index(const kv_t *kv);

/*
 * Starts a session that expires ttl_us after its last renewal, and writes its
 * id to id. If memory is out, the id is written but there is no session.
 */
void kv_session_create(kv_t *kv, int64_t ttl_us, int64_t now_us,
                       char id[KV_SESSION_SIZE]);

/* Renews a session; false: it has ended or never existed. */
bool kv_session_renew(kv_t *kv, const char *id, int64_t now_us);

/* Ends a session and releases the keys that it holds. */
void kv_session_destroy(kv_t *kv, const char *id);

/*
 * Ends the expired sessions and releases their keys; *key_freed tells whether
 * a key was released. Returns the time at which the next session expires, or
 * INT64_MAX if there is no session.
 */
int64_t kv_expire(kv_t *kv, int64_t now_us, bool *key_freed);

/* Parses a mode of POST /fault; KV_FAULT_COUNT: there is no such mode. */
kv_fault_t kv_fault_parse(const char *name);

#endif

/*
 * The state of the key-value service: values with modify indexes,
 * compare-and-swap, sessions that lapse, and faults. No I/O and no clock;
 * the caller serializes calls and passes the time.
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
    KV_SESSION_SIZE = 40, /* bytes of a session id, its NUL included */
    KV_VALUE_MAX_BYTES = 1 << 20
};

typedef enum {
    KV_FAULT_OK,
    KV_FAULT_DOWN,       /* every call is refused */
    KV_FAULT_SLOW,       /* every call is delayed */
    KV_FAULT_LOST_REPLY, /* writes take effect, their replies are lost */
    KV_FAULT_STALE,      /* reads answer the value before the present one */
    KV_FAULT_COUNT
} kv_fault_t;

typedef struct {
    const char *value;
    size_t size;
    uint64_t index;
    const char *session; /* holder; empty when free */
} kv_entry_t;

typedef struct {
    bool cas;
    uint64_t cas_index;  /* with cas: the index the key must have; 0: none */
    const char *acquire; /* session that takes the key, or NULL */
    const char *release; /* session that gives the key back, or NULL */
} kv_write_t;

typedef struct kv kv_t;

kv_t *kv_new(void);
void kv_free(kv_t *kv);

/*
 * Read a key; false when there is none. The entry's pointers hold until the
 * next write. With stale the value before the present one is given, when the
 * key has had one.
 */
bool kv_read(const kv_t *kv, const char *key, bool stale, kv_entry_t *entry);

/* Write a key; false when the conditions of write were not met. */
bool kv_put(kv_t *kv, const char *key, const char *value, size_t size,
            const kv_write_t *write);

/* Delete a key under the same conditions; a missing key is deleted. */
bool kv_delete(kv_t *kv, const char *key, const kv_write_t *write);

/* Index of the last change of any key; at least 1. */
uint64_t kv_index(const kv_t *kv);

/* Start a session that lapses ttl_us after its last renewal. */
void kv_session_create(kv_t *kv, int64_t ttl_us, int64_t now_us,
                       char id[KV_SESSION_SIZE]);

/* False when the session lapsed or never was. */
bool kv_session_renew(kv_t *kv, const char *id, int64_t now_us);

/* End a session and free the keys that it holds. */
void kv_session_destroy(kv_t *kv, const char *id);

/*
 * End the sessions that lapsed. Returns when the next one lapses, INT64_MAX
 * when there is none; *changed tells whether a key became free.
 */
int64_t kv_expire(kv_t *kv, int64_t now_us, bool *key_freed);

/* Fault of a name as in POST /fault; KV_FAULT_COUNT when there is none. */
kv_fault_t kv_fault_parse(const char *name);

#endif

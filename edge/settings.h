/*
 * Settings of the daemon, which it reads from a YAML file when it starts.
 *
 *     settings_t settings;
 *     if (settings_read(path, &settings, &err) != STATUS_OK ||
 *         settings_check(&settings, &err) != STATUS_OK)
 *         fprintf(stderr, "%s\n", error_text(&err));
 *
 * In an error, peer is the file and line, and the message gives the key, the
 * value found and the values expected. Unknown and duplicate keys are errors.
 * A settings_t owns no memory and needs no release.
 */
#ifndef EDGE_SETTINGS_H
#define EDGE_SETTINGS_H

#include "core/topology.h"

enum {
    SETTINGS_URL_SIZE = 256,
    SETTINGS_PATH_SIZE = 256,
    SETTINGS_PEERS_MAX = 16,
    SETTINGS_KEYS_MAX = 32, /* keys that a settings file can have */
    SETTINGS_TEXT_MAX_BYTES = 65536,
    SETTINGS_KEY_MIN_BYTES = 32, /* shared key of the peers */
    SETTINGS_KEY_MAX_BYTES = 512,
    SETTINGS_TOKEN_MIN_BYTES = 16, /* operators' token */
    SETTINGS_TOKEN_MAX_BYTES = 256
};

/*
 * Address of a peer to get the roster from if the daemon has none, for example
 * because the store is unreachable.
 */
typedef struct {
    char address[ADDRESS_SIZE];
    uint16_t port;
} settings_peer_t;

typedef struct {
    char file[SETTINGS_PATH_SIZE];
    uint32_t
        lines[SETTINGS_KEYS_MAX]; /* line of each key; 0: not in the file */

    char name[NAME_SIZE];
    char zone[NAME_SIZE];
    uint32_t shards; /* 1..64 threads, each with a shard of the state */
    uint32_t group;  /* roster group */
    char key_file[SETTINGS_PATH_SIZE];
    char token_file[SETTINGS_PATH_SIZE];

    char
        listen_address[ADDRESS_SIZE]; /* also published to callers and peers */
    uint32_t listen_http_port;
    uint32_t listen_peer_port;

    char store_url[SETTINGS_URL_SIZE]; /* without a trailing slash */
    uint32_t store_timeout_ms;
    char vmlist_url[SETTINGS_URL_SIZE];
    uint32_t vmlist_poll_ms;

    char log_level[NAME_SIZE];           /* error, warn, info, debug */
    char log_target[SETTINGS_PATH_SIZE]; /* "stderr" or a path */

    uint32_t limits_queue_max;      /* queued parts on this daemon */
    uint32_t limits_queries_max;    /* queries in progress on this daemon */
    uint32_t limits_body_max_bytes; /* body of an HTTP request */
    uint32_t limits_query_body_max_bytes; /* payload of a query */

    uint32_t drain_keep_ms; /* how long callers keep an entry address */
    uint32_t drain_most_ms; /* timeout of a graceful shutdown */

    settings_peer_t peers[SETTINGS_PEERS_MAX];
    size_t peer_count;
} settings_t;

/*
 * Reads the file and checks each key by itself. Returns STATUS_NOT_FOUND if
 * the file cannot be opened, STATUS_UNAVAILABLE if it cannot be read or if out
 * of memory, STATUS_TOO_LARGE, or STATUS_INVALID if a key or value is invalid.
 */
status_t settings_read(const char *path, settings_t *settings, error_t *err);

/* As settings_read, but parses text; file is the name used in errors. */
status_t settings_parse(const char *file, const char *text, size_t size,
                        settings_t *settings, error_t *err);

/*
 * Checks rules over several keys: the ports differ, and drain.most_ms is at
 * least drain.keep_ms. Also checks that both secrets can be read and have a
 * valid length. Returns STATUS_INVALID if a check fails.
 */
status_t settings_check(const settings_t *settings, error_t *err);

#endif

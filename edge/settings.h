/*
 * Settings of the daemon, read once at its start from a YAML file.
 *
 *     settings_t settings;
 *     if (settings_read(path, &settings, &err) != STATUS_OK ||
 *         settings_check(&settings, &err) != STATUS_OK)
 *         fprintf(stderr, "%s\n", error_text(&err));
 *
 * Errors name file and line as peer, and in the message the key, what was
 * found and what is allowed. Unknown and doubled keys are errors. A
 * settings_t owns nothing and needs no release.
 */
#ifndef EDGE_SETTINGS_H
#define EDGE_SETTINGS_H

#include "core/topology.h"

enum {
    SETTINGS_URL_SIZE = 256,
    SETTINGS_PATH_SIZE = 256,
    SETTINGS_PEERS_MAX = 16,
    SETTINGS_KEYS_MAX = 32,
    SETTINGS_TEXT_MAX_BYTES = 65536,
    SETTINGS_KEY_MIN_BYTES = 32, /* shared key of peers */
    SETTINGS_KEY_MAX_BYTES = 512,
    SETTINGS_TOKEN_MIN_BYTES = 16, /* operators' token */
    SETTINGS_TOKEN_MAX_BYTES = 256
};

/* An address to ask for the fleet while the store is down. */
typedef struct {
    char address[ADDRESS_SIZE];
    uint16_t port;
} settings_peer_t;

typedef struct {
    char file[SETTINGS_PATH_SIZE];
    uint32_t lines[SETTINGS_KEYS_MAX]; /* of each key; 0: not in the file */

    char name[NAME_SIZE];
    char zone[NAME_SIZE];
    uint32_t shards; /* threads with a shard of state each, 1..64 */
    uint32_t group;  /* roster group */
    char key_file[SETTINGS_PATH_SIZE];
    char token_file[SETTINGS_PATH_SIZE];

    char listen_address[ADDRESS_SIZE]; /* also told to callers and peers */
    uint32_t listen_http_port;
    uint32_t listen_peer_port;

    char store_url[SETTINGS_URL_SIZE]; /* without a slash at its end */
    uint32_t store_timeout_ms;
    char vmlist_url[SETTINGS_URL_SIZE];
    uint32_t vmlist_poll_ms;

    char log_level[NAME_SIZE];           /* error, warn, info, debug */
    char log_target[SETTINGS_PATH_SIZE]; /* "stderr" or a path */

    uint32_t limits_queue_max;            /* parts waiting at this owner */
    uint32_t limits_queries_max;          /* queries in progress here */
    uint32_t limits_body_max_bytes;       /* of an HTTP request */
    uint32_t limits_query_body_max_bytes; /* of a query's payload */

    uint32_t drain_keep_ms; /* how long callers keep an entry address */
    uint32_t drain_most_ms; /* longest wait of a graceful shutdown */

    settings_peer_t peers[SETTINGS_PEERS_MAX];
    size_t peer_count;
} settings_t;

/* Read and check each key by itself. */
status_t settings_read(const char *path, settings_t *settings, error_t *err);

/* As settings_read, from memory; file names it in errors. */
status_t settings_parse(const char *file, const char *text, size_t size,
                        settings_t *settings, error_t *err);

/*
 * Check what concerns several keys and the files that they name: ports,
 * times, and that both secrets can be read and are long enough.
 */
status_t settings_check(const settings_t *settings, error_t *err);

#endif

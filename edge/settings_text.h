/*
 * Kinds of values in the settings, and the rules for each.
 */
#ifndef EDGE_SETTINGS_TEXT_H
#define EDGE_SETTINGS_TEXT_H

#include "edge/settings.h"

typedef enum {
    SETTING_NUMBER,
    SETTING_NAME,
    SETTING_ADDRESS,
    SETTING_URL,
    SETTING_PATH,
    SETTING_LEVEL,
    SETTING_PEERS
} setting_kind_t;

/*
 * Returns whether text is valid for a kind, which must not be SETTING_NUMBER
 * or SETTING_PEERS.
 */
bool setting_text_valid(setting_kind_t kind, const char *text);

/* Describes what setting_text_valid accepts, for an error message. */
const char *setting_text_allowed(setting_kind_t kind);

/*
 * Parses ADDRESS:PORT with an IP address; an IPv6 address may have brackets.
 * Returns false if text is invalid; *peer is then undefined.
 */
bool setting_peer_parse(const char *text, settings_peer_t *peer);

#endif

/*
 * Kinds of values in the settings and what is allowed of each.
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

/* Whether text is allowed for a kind of text; not for numbers and peers. */
bool setting_text_valid(setting_kind_t kind, const char *text);

/* What setting_text_valid allows, in words. */
const char *setting_text_allowed(setting_kind_t kind);

/* Read ADDRESS:PORT; an IPv6 address may stand in brackets. */
bool setting_peer_parse(const char *text, settings_peer_t *peer);

#endif

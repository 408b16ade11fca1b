#include "edge/settings_text.h"

#include "core/name.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

static bool
address_valid(const char *text)
{
    struct in_addr ipv4;
    struct in6_addr ipv6;
    if (strlen(text) >= ADDRESS_SIZE) {
        return false;
    }
    if (inet_pton(AF_INET, text, &ipv4) == 1) {
        return ipv4.s_addr != INADDR_ANY;
    }
    return inet_pton(AF_INET6, text, &ipv6) == 1 &&
           !IN6_IS_ADDR_UNSPECIFIED(&ipv6);
}

/* Checks for printable ASCII without spaces that fits in size with its NUL. */
static bool
word_valid(const char *text, size_t size)
{
    size_t length = strlen(text);
    for (size_t i = 0; i < length; i++) {
        if (text[i] <= ' ' || text[i] > '~') {
            return false;
        }
    }
    return length > 0 && length < size;
}

static bool
url_valid(const char *text)
{
    size_t scheme = strncmp(text, "http://", 7) == 0    ? 7
                    : strncmp(text, "https://", 8) == 0 ? 8
                                                        : 0;
    return scheme > 0 && text[scheme] != '\0' && text[scheme] != '/' &&
           strpbrk(text, "?#@") == NULL && word_valid(text, SETTINGS_URL_SIZE);
}

static bool
level_valid(const char *text)
{
    static const char *const levels[] = {"error", "warn", "info", "debug"};
    for (size_t i = 0; i < sizeof(levels) / sizeof(levels[0]); i++) {
        if (strcmp(text, levels[i]) == 0) {
            return true;
        }
    }
    return false;
}

static bool
path_valid(const char *text)
{
    return text[0] != '\0' && strlen(text) < SETTINGS_PATH_SIZE;
}

static const struct {
    bool (*valid)(const char *text);
    const char *allowed;
} text_kinds[] = {
    [SETTING_NAME] = {name_valid, "a name of " NAME_ALLOWED},
    [SETTING_ADDRESS] = {address_valid,
                         "an IP address other than 0.0.0.0 and ::"},
    [SETTING_URL] = {url_valid, "http://HOST:PORT or https://HOST:PORT of at "
                                "most 255 characters"},
    [SETTING_PATH] = {path_valid, "a path of 1 to 255 characters"},
    [SETTING_LEVEL] = {level_valid, "error, warn, info or debug"},
};

bool
setting_text_valid(setting_kind_t kind, const char *text)
{
    return text_kinds[kind].valid(text);
}

const char *
setting_text_allowed(setting_kind_t kind)
{
    return text_kinds[kind].allowed;
}

bool
setting_peer_parse(const char *text, settings_peer_t *peer)
{
    const char *colon = strrchr(text, ':');
    if (colon == NULL) {
        return false;
    }
    size_t length = (size_t)(colon - text);
    if (length > 2 && text[0] == '[' && text[length - 1] == ']') {
        text++;
        length -= 2;
    }
    if (length == 0 || length >= sizeof(peer->address)) {
        return false;
    }
    memcpy(peer->address, text, length);
    peer->address[length] = '\0';
    size_t digits = strspn(colon + 1, "0123456789");
    if (digits == 0 || digits > 5 || colon[1 + digits] != '\0') {
        return false;
    }
    long port = strtol(colon + 1, NULL, 10);
    peer->port = (uint16_t)port;
    return port >= 1 && port <= 65535 && address_valid(peer->address);
}

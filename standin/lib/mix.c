#include "standin/lib/mix.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    TEXT_MAX = 512,
    TENANTS = 10,
    NARROW_KEYS = 65536, /* keys of a query that touches few records */
    PER_CENT = 100,
};

enum {
    PURPOSE_SERVICE,
    PURPOSE_ONCE,
    PURPOSE_TICKET,
    PURPOSE_WIDTH,
    PURPOSE_LO,
    PURPOSE_HI,
    PURPOSE_TENANT
};

const char mix_default[] =
    "scenario-desk=4:0:400,legacy-bridge=2:0:600,recon-night=2:50:2000,"
    "report-mill=1:0:2000,ledger-desk=5:0:300,refund-line=2:50:600,"
    "kiosk-till=5:0:300,crew-dispatch=2:0:500";

double
mix_draw(uint64_t seed, uint64_t number, uint64_t purpose)
{
    uint64_t key[2] = {number, purpose};
    return (double)(XXH64(key, sizeof(key), seed) >> 11) /
           (double)(UINT64_C(1) << 53);
}

static bool
row_parse(char *text, mix_row_t *row)
{
    char *weight = strchr(text, '=');
    if (weight == NULL || weight - text >= NAME_SIZE) {
        return false;
    }
    *weight = '\0';
    weight++;
    char *end = NULL;
    *row = (mix_row_t){.weight = (unsigned)strtoul(weight, &end, 10)};
    memcpy(row->service, text, strlen(text) + 1);
    if (*end == ':') {
        row->once_percent = (unsigned)strtoul(end + 1, &end, 10);
    }
    if (*end == ':') {
        row->deadline_ms = strtol(end + 1, &end, 10);
    }
    return *end == '\0' && row->weight > 0 && row->once_percent <= PER_CENT;
}

bool
mix_parse(const char *text, mix_t *mix)
{
    char copy[TEXT_MAX];
    *mix = (mix_t){.row_count = 0};
    if (strlen(text) >= sizeof(copy)) {
        return false;
    }
    (void)snprintf(copy, sizeof(copy), "%s", text);
    char *rest = copy;
    for (char *item = strsep(&rest, ","); item != NULL;
         item = strsep(&rest, ",")) {
        if (mix->row_count == MIX_SERVICES_MAX ||
            !row_parse(item, &mix->rows[mix->row_count])) {
            return false;
        }
        mix->total_weight += mix->rows[mix->row_count].weight;
        mix->row_count++;
    }
    return true;
}

static const mix_row_t *
mix_choose(const mix_t *mix, double draw)
{
    double left = draw * mix->total_weight;
    for (size_t i = 0; i + 1 < mix->row_count; i++) {
        if (left < mix->rows[i].weight) {
            return &mix->rows[i];
        }
        left -= mix->rows[i].weight;
    }
    return &mix->rows[mix->row_count - 1];
}

/* Half of the queries ask for all keys, the others for a random range. */
static key_range_t
draw_range(uint64_t seed, uint64_t number)
{
    key_range_t range = {.lo = 0, .hi = KEY_END};
    if (mix_draw(seed, number, PURPOSE_WIDTH) < 0.5) {
        return range;
    }
    double lo = mix_draw(seed, number, PURPOSE_LO);
    double hi = lo + (1 - lo) * mix_draw(seed, number, PURPOSE_HI);
    range.lo = (uint64_t)(lo * (double)KEY_END);
    range.hi = (uint64_t)(hi * (double)KEY_END) + 1;
    return range;
}

/*
 * Of the queries that must not run twice, seven in eight have NARROW_KEYS
 * keys. The others draw their range like any other query.
 */
static key_range_t
draw_once_range(uint64_t seed, uint64_t number)
{
    if (mix_draw(seed, number, PURPOSE_WIDTH) < 0.125) {
        return draw_range(seed, number);
    }
    double lo = mix_draw(seed, number, PURPOSE_LO);
    uint64_t first = (uint64_t)(lo * (double)(KEY_END - NARROW_KEYS));
    return (key_range_t){.lo = first, .hi = first + NARROW_KEYS};
}

query_plan_t
mix_query(const mix_t *mix, uint64_t seed, uint64_t number)
{
    query_plan_t query = {
        .row = mix_choose(mix, mix_draw(seed, number, PURPOSE_SERVICE)),
        .tenant = (unsigned)(mix_draw(seed, number, PURPOSE_TENANT) * TENANTS),
        .by_ticket = mix_draw(seed, number, PURPOSE_TICKET) < 0.5};
    query.once = mix_draw(seed, number, PURPOSE_ONCE) * PER_CENT <
                 query.row->once_percent;
    query.range =
        query.once ? draw_once_range(seed, number) : draw_range(seed, number);
    return query;
}

#include "tier/rate_limit.h"

enum {
    /* Shortest interval between two log lines about one upstream's limit,
       which may change with each response. */
    LOG_INTERVAL_US = 1000000
};

bool
rate_limit_state(rate_limit_t *limit, double per_s, int64_t now_us)
{
    bool changed = !limit->stated || limit->per_s != per_s;
    if (!limit->stated) {
        *limit = (rate_limit_t){.stated = true, .stated_us = now_us};
        limit->logged_us = now_us - LOG_INTERVAL_US;
    }
    limit->per_s = per_s;
    if (!changed || now_us - limit->logged_us < LOG_INTERVAL_US) {
        return false;
    }
    limit->logged_us = now_us;
    return true;
}

void
rate_limit_clear(rate_limit_t *limit)
{
    *limit = (rate_limit_t){0};
}

void
rate_limit_note_sent(rate_limit_t *limit, bool again)
{
    if (limit->stated) {
        limit->sent++;
        limit->sent_again += again ? 1 : 0;
    }
}

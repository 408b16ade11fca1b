#include "core/cold.h"

#include <string.h>

enum {
    BACKOFF_FIRST_US = 20000,
    BACKOFF_MAX_US = 1000000,
    RETRY_AFTER_MAX_US = 5000000, /* longest backoff a shed reply can ask */
    HEALTH_COLD_US = 5000000,     /* how long health "cold" alone counts */
    HEALTH_DRAIN_US = 15000000,   /* by then the VM list shows the drain */
    SLOW_FACTOR = 4,              /* slow: longer than this times the mean */
    SLOW_FLOOR_US = 1000,         /* a shorter reply is never slow */
    SLOW_LIMIT = 4,               /* slow replies in a row that mean cold */
    LOST_LIMIT = 3,   /* lost requests in a row that mean cold or gone */
    SAMPLES_MIN = 32, /* replies until any can count as slow */
    MEAN_DIVISOR = 32 /* a reply weighs 1/32 in the moving mean */
};

static uint32_t
cold_slots(const cold_limits_t *limits)
{
    return limits->cold < limits->full ? limits->cold : limits->full;
}

static void
cold_set_bound(cold_t *cold, uint32_t bound, int64_t now_us)
{
    cold->ramping = true;
    cold->bound = bound;
    cold->good_replies = 0;
    cold->raised_us = now_us;
}

static void
cold_restart_ramp(cold_t *cold, const cold_limits_t *limits, int64_t now_us)
{
    cold->cold = true;
    cold->slow_in_row = 0;
    uint32_t slots = cold_slots(limits);
    if (!cold->ramping || cold->bound > slots) {
        cold_set_bound(cold, slots, now_us);
    }
    cold->good_replies = 0;
    cold->raised_us = now_us;
}

void
cold_init(cold_t *cold, const cold_limits_t *limits, int64_t now_us)
{
    memset(cold, 0, sizeof(*cold));
    cold_restart_ramp(cold, limits, now_us);
}

static bool
cold_health_applies(const cold_t *cold, int64_t now_us)
{
    return cold->health_cold &&
           now_us - cold->health_cold_since_us < HEALTH_COLD_US;
}

static int64_t
cold_drain_ends_us(const cold_t *cold)
{
    return cold->health_draining
               ? cold->health_draining_since_us + HEALTH_DRAIN_US
               : 0;
}

/*
 * Adds a service time to the upstream's moving mean. Returns whether the reply
 * was slow compared with the mean before.
 */
static bool
cold_add_sample(cold_t *cold, int64_t service_us)
{
    int64_t limit_us = cold->mean_us * SLOW_FACTOR;
    if (limit_us < SLOW_FLOOR_US) {
        limit_us = SLOW_FLOOR_US;
    }
    if (cold->samples < SAMPLES_MIN) {
        cold->samples++;
        cold->mean_us += (service_us - cold->mean_us) / (int64_t)cold->samples;
        return false;
    }
    bool slow = service_us > limit_us;
    int64_t sample_us = slow ? limit_us : service_us;
    cold->mean_us += (sample_us - cold->mean_us) / MEAN_DIVISOR;
    return slow;
}

/* Counts a good reply and raises the bound if the ramp allows it. */
static void
cold_raise_if_due(cold_t *cold, const cold_limits_t *limits, int64_t now_us)
{
    cold->good_replies++;
    if (!cold->ramping || cold->good_replies < limits->successes ||
        now_us - cold->raised_us < limits->step_us ||
        cold_health_applies(cold, now_us)) {
        return;
    }
    cold->bound++;
    cold->good_replies = 0;
    cold->raised_us = now_us;
    if (cold->bound >= limits->full) {
        cold->ramping = false;
        cold->cold = false;
    }
}

static void
cold_record_good(cold_t *cold, const cold_limits_t *limits, int64_t service_us,
                 int64_t now_us)
{
    if (now_us >= cold->backoff_until_us) {
        cold->backoff_us = 0;
    }
    if (!cold_add_sample(cold, service_us)) {
        cold->slow_in_row = 0;
        cold_raise_if_due(cold, limits, now_us);
        return;
    }
    cold->slow_in_row++;
    uint32_t limit = cold_health_applies(cold, now_us) ? 1 : SLOW_LIMIT;
    if (cold->slow_in_row >= limit) {
        cold_restart_ramp(cold, limits, now_us);
    }
}

/*
 * Starts or extends the backoff: by retry_after_us if it is given, else by
 * backoff_us, which doubles with each new backoff.
 */
static void
cold_back_off(cold_t *cold, int64_t retry_after_us, int64_t now_us)
{
    if (now_us >= cold->backoff_until_us) {
        cold->backoff_us =
            cold->backoff_us == 0 ? BACKOFF_FIRST_US : cold->backoff_us * 2;
    }
    if (cold->backoff_us > BACKOFF_MAX_US) {
        cold->backoff_us = BACKOFF_MAX_US;
    }
    int64_t wait_us = retry_after_us > 0 ? retry_after_us : cold->backoff_us;
    if (wait_us > RETRY_AFTER_MAX_US) {
        wait_us = RETRY_AFTER_MAX_US;
    }
    if (now_us + wait_us > cold->backoff_until_us) {
        cold->backoff_until_us = now_us + wait_us;
    }
}

/* Halves the bound, but only once for all shed replies of one backoff. */
static void
cold_record_shed(cold_t *cold, const cold_limits_t *limits,
                 int64_t retry_after_us, int64_t now_us)
{
    if (now_us >= cold->backoff_until_us) {
        uint32_t bound = cold->ramping ? cold->bound : limits->full;
        cold_set_bound(cold, bound > 1 ? bound / 2 : 1, now_us);
    }
    cold_back_off(cold, retry_after_us, now_us);
}

static void
cold_record_loss(cold_t *cold, const cold_limits_t *limits, int64_t now_us)
{
    cold->good_replies = 0;
    cold->lost_in_row++;
    if (cold->lost_in_row >= LOST_LIMIT) {
        cold_restart_ramp(cold, limits, now_us);
        cold_back_off(cold, 0, now_us);
    }
}

void
cold_record_reply(cold_t *cold, const cold_limits_t *limits,
                  const cold_reply_t *reply, int64_t now_us)
{
    if (reply->cold || reply->restarted) {
        cold_restart_ramp(cold, limits, now_us);
    }
    if (reply->kind == COLD_REPLY_LOST) {
        cold_record_loss(cold, limits, now_us);
        return;
    }
    cold->lost_in_row = 0;
    if (reply->kind == COLD_REPLY_SHED) {
        cold_record_shed(cold, limits, reply->retry_after_us, now_us);
    }
    else if (reply->kind == COLD_REPLY_GOOD && !reply->cold) {
        cold_record_good(cold, limits, reply->service_us, now_us);
    }
}

void
cold_record_health(cold_t *cold, const cold_limits_t *limits, bool is_cold,
                   bool draining, int64_t now_us)
{
    if (is_cold && !cold->health_cold) {
        cold->health_cold_since_us = now_us;
    }
    if (draining && !cold->health_draining) {
        cold->health_draining_since_us = now_us;
        cold_restart_ramp(cold, limits, now_us);
    }
    cold->health_cold = is_cold;
    cold->health_draining = draining;
}

uint32_t
cold_bound(const cold_t *cold, const cold_limits_t *limits, int64_t now_us)
{
    if (now_us < cold_blocked_until(cold)) {
        return 0;
    }
    uint32_t bound = limits->full;
    if (cold->ramping && cold->bound < bound) {
        bound = cold->bound;
    }
    uint32_t floor = cold_slots(limits);
    if (cold_health_applies(cold, now_us) && bound / 2 >= floor) {
        bound /= 2;
    }
    return bound;
}

int64_t
cold_blocked_until(const cold_t *cold)
{
    int64_t drain_ends_us = cold_drain_ends_us(cold);
    return drain_ends_us > cold->backoff_until_us ? drain_ends_us
                                                  : cold->backoff_until_us;
}

bool
cold_is_draining(const cold_t *cold, int64_t now_us)
{
    return now_us < cold_drain_ends_us(cold);
}

bool
cold_refuses_hedges(const cold_t *cold, int64_t now_us)
{
    return cold->cold || now_us < cold_blocked_until(cold) ||
           cold_health_applies(cold, now_us);
}

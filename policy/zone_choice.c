#include "policy/zone_choice.h"

#include <math.h>

/* Largest change of the share in the time of a typical response. */
#define STEP_OUT 0.1
#define STEP_BACK 0.01
/* A zone is left for a failure cost that is higher by this than elsewhere. */
#define FAILURE_GAP 5.0
/* Half-life of the share that is reported. */
#define SENT_HALF_LIFE_US 1000000.0
/* Bounds of the factor that one send leaves of the reported share. */
#define SENT_KEPT_MIN 0.75
#define SENT_KEPT_MAX 0.97
/* The reported share counts as back below this, so that a share near a half
   isn't reported again and again. */
#define BACK_SHARE 0.4
#define RANDOM_RANGE 4294967296.0

enum {
    /* The price without a goal, as a multiple of the typical response time. */
    PRICE_TYPICAL_FACTOR = 4
};

int64_t
zone_price_us(int64_t goal_us, int64_t override_us)
{
    return override_us > 0 ? override_us : goal_us;
}

static double
zone_question_price_us(const zone_question_t *question)
{
    return (double)(question->price_us > 0
                        ? question->price_us
                        : question->typical_us * PRICE_TYPICAL_FACTOR);
}

/*
 * The share that should leave: none while the gain is below the price, all
 * once the request takes twice as long in the zone as elsewhere, the price
 * included. In between it is proportional, so that the share comes to rest
 * where the zones are loaded alike.
 */
static double
zone_target(const zone_question_t *question)
{
    double elsewhere_us =
        question->away.total_us + zone_question_price_us(question);
    double target =
        elsewhere_us > 0 ? question->own.total_us / elsewhere_us - 1 : 0;
    return target < 0 ? 0 : target > 1 ? 1 : target;
}

static void
zone_choice_move(zone_choice_t *choice, const zone_question_t *question,
                 int64_t now_us)
{
    double target = zone_target(question);
    double steps = question->typical_us > 0
                       ? (double)(now_us - choice->updated_us) /
                             (double)question->typical_us
                       : 1;
    double most = choice->share + steps * STEP_OUT;
    double least = choice->share - steps * STEP_BACK;
    choice->share = target > most ? most : target < least ? least : target;
    choice->updated_us = now_us;
}

leave_reason_t
zone_choice_decide(zone_choice_t *choice, const zone_question_t *question,
                   int64_t now_us)
{
    zone_choice_move(choice, question, now_us);
    if (question->price_us >= ZONE_PRICE_NEVER) {
        return LEAVE_NOT;
    }
    if (question->own.failure - question->away.failure > FAILURE_GAP) {
        return LEAVE_FAILURE;
    }
    double limit_us =
        question->away.total_us + zone_question_price_us(question);
    if (question->own.total_us > limit_us &&
        question->own.total_us - question->own.wait_us <= limit_us) {
        return LEAVE_CAPACITY;
    }
    if (question->own.total_us <= question->away.total_us) {
        return LEAVE_NOT;
    }
    double draw = (double)(question->random >> 32) / RANDOM_RANGE;
    return draw < choice->share ? LEAVE_SPEED : LEAVE_NOT;
}

void
zone_choice_note_sent(zone_choice_t *choice, bool left, int64_t now_us)
{
    double kept =
        exp2(-(double)(now_us - choice->sent_us) / SENT_HALF_LIFE_US);
    kept = kept > SENT_KEPT_MAX   ? SENT_KEPT_MAX
           : kept < SENT_KEPT_MIN ? SENT_KEPT_MIN
                                  : kept;
    choice->sent_share =
        choice->sent_share * kept + (left ? 1 : 0) * (1 - kept);
    choice->sent_us = now_us;
}

int
zone_choice_change(const zone_choice_t *choice)
{
    if (!choice->mostly_leaves && choice->sent_share > 0.5) {
        return 1;
    }
    return choice->mostly_leaves && choice->sent_share < BACK_SHARE ? -1 : 0;
}

void
zone_choice_report(zone_choice_t *choice)
{
    choice->mostly_leaves = !choice->mostly_leaves;
}

const char *
leave_reason_name(leave_reason_t reason)
{
    static const char *const names[LEAVE_REASONS] = {
        [LEAVE_NOT] = "none",          [LEAVE_NO_UPSTREAM] = "no_upstream",
        [LEAVE_CAPACITY] = "capacity", [LEAVE_SPEED] = "speed",
        [LEAVE_FAILURE] = "failure",
    };
    return names[reason];
}

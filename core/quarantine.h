/*
 * Which query fingerprints crash upstreams.
 *
 * A fingerprint that was running when an upstream crashed is a suspect: it
 * then runs one at a time and alone on its upstream, so that the next crash
 * tells it from the innocent. A crash it was alone in counts in full; crashes
 * in company can make it a suspect but never convict it. A good reply clears
 * what company brought up. At the limit it is refused for a while, and is a
 * suspect again afterwards.
 *
 *     switch (quarantine_status(q, fingerprint, now_us)) ...
 *     quarantine_record_crash(q, fingerprint, alone, now_us);
 *     quarantine_record_success(q, fingerprint, now_us);
 *
 * The table is of fixed size; when it is full the least suspected goes.
 */
#ifndef CORE_QUARANTINE_H
#define CORE_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    CRASH_WATCH_MAX = 8 /* lost parts remembered for one upstream */
};

typedef struct quarantine quarantine_t;

typedef enum {
    QUARANTINE_CLEAR,
    QUARANTINE_SUSPECT, /* run one, alone */
    QUARANTINE_REFUSED
} quarantine_status_t;

/*
 * limit: crashes before refusal. burst_us: crashes so close together count
 * once, since a zone or a rack that is lost takes many upstreams at a time.
 * NULL: no memory.
 */
quarantine_t *quarantine_new(uint32_t limit, int64_t quarantine_us,
                             int64_t burst_us);
void quarantine_free(quarantine_t *quarantine);

quarantine_status_t quarantine_status(const quarantine_t *quarantine,
                                      uint64_t fingerprint, int64_t now_us);

/* Time until a refused fingerprint may run again; 0: now. */
int64_t quarantine_left_us(const quarantine_t *quarantine,
                           uint64_t fingerprint, int64_t now_us);

/* An upstream crashed under it; alone: nothing else ran there meanwhile. */
void quarantine_record_crash(quarantine_t *quarantine, uint64_t fingerprint,
                             bool alone, int64_t now_us);

/* A crash counted before turned out to be none. */
void quarantine_undo_crash(quarantine_t *quarantine, uint64_t fingerprint,
                           bool alone);

/* An upstream ran it and answered. */
void quarantine_record_success(quarantine_t *quarantine, uint64_t fingerprint,
                               int64_t now_us);

/*
 * Claim the one run of a suspect; false when another has it. A claim ends
 * with quarantine_release.
 */
bool quarantine_claim(quarantine_t *quarantine, uint64_t fingerprint);
void quarantine_release(quarantine_t *quarantine, uint64_t fingerprint);

/* Refuse it from now on: another owner found it. */
void quarantine_add(quarantine_t *quarantine, uint64_t fingerprint,
                    int64_t now_us);

/* Fingerprints convicted here since the last call; returns how many. */
size_t quarantine_take_new(quarantine_t *quarantine, uint64_t *out,
                           size_t max);

/*
 * Parts lost at one upstream, until its boot id tells whether it crashed.
 * A lost part whose connection broke counts at once and is refunded when the
 * boot id proves the same; one that timed out counts when it changed.
 */
typedef struct {
    uint64_t fingerprint;
    bool alone;
    bool counted;
} crash_loss_t;

typedef struct {
    crash_loss_t losses[CRASH_WATCH_MAX];
    uint32_t count;
} crash_watch_t;

void crash_watch_record_loss(crash_watch_t *watch, quarantine_t *quarantine,
                             const crash_loss_t *loss, int64_t now_us);

/* A reply showed the boot id; changed: not the one seen before. */
void crash_watch_resolve(crash_watch_t *watch, quarantine_t *quarantine,
                         bool changed, int64_t now_us);

#endif

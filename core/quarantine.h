/*
 * Quarantine of crash-inducing requests by their query fingerprints.
 *
 * A fingerprint that was running when an upstream crashed is a suspect. The
 * parts of a suspect then run one at a time and alone on their upstream, so
 * that the next crash shows whether the suspect causes it. A fingerprint whose
 * crashes reach the limit is refused for a time and is a suspect again
 * afterwards. Shared crashes, during which other parts ran too, make it a
 * suspect but are never enough to refuse it: at least one crash alone is
 * needed. A good reply clears the shared crashes and takes back one of the
 * others.
 *
 *     switch (quarantine_status(q, fingerprint, now_us)) ...
 *     quarantine_record_crash(q, fingerprint, alone, now_us);
 *     quarantine_record_success(q, fingerprint, now_us);
 *
 * The table has a fixed size. When there is no room for a new entry, it
 * replaces one that was never refused if there is one, first the one with the
 * fewest crashes alone and then the one updated longest ago. Fingerprint 0 is
 * never recorded. All times are in microseconds of one monotonic clock.
 */
#ifndef CORE_QUARANTINE_H
#define CORE_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    CRASH_WATCH_MAX = 8 /* lost parts recorded for one upstream */
};

typedef struct quarantine quarantine_t;

typedef enum {
    QUARANTINE_CLEAR,
    QUARANTINE_SUSPECT, /* run one part at a time, alone */
    QUARANTINE_REFUSED
} quarantine_status_t;

/*
 * limit: crashes until a fingerprint is refused, for quarantine_us. Crashes
 * within burst_us count once, since the loss of a zone or a rack takes down
 * many upstreams at a time. Returns NULL if out of memory; the caller frees
 * the quarantine with quarantine_free.
 */
quarantine_t *quarantine_new(uint32_t limit, int64_t quarantine_us,
                             int64_t burst_us);
void quarantine_free(quarantine_t *quarantine);

quarantine_status_t quarantine_status(const quarantine_t *quarantine,
                                      uint64_t fingerprint, int64_t now_us);

/* Time until the fingerprint is no longer refused; 0: it is not refused. */
int64_t quarantine_left_us(const quarantine_t *quarantine,
                           uint64_t fingerprint, int64_t now_us);

/*
 * Records that an upstream crashed while the fingerprint ran there. alone: no
 * other part ran on the upstream at any time during its run.
 */
void quarantine_record_crash(quarantine_t *quarantine, uint64_t fingerprint,
                             bool alone, int64_t now_us);

/* Takes back a recorded crash: the upstream turned out not to have crashed. */
void quarantine_undo_crash(quarantine_t *quarantine, uint64_t fingerprint,
                           bool alone);

/* Records that an upstream ran the fingerprint and replied. */
void quarantine_record_success(quarantine_t *quarantine, uint64_t fingerprint,
                               int64_t now_us);

/*
 * Claims a suspect for one part; false if another part has the claim. The
 * caller ends the claim with quarantine_release.
 */
bool quarantine_claim(quarantine_t *quarantine, uint64_t fingerprint);
void quarantine_release(quarantine_t *quarantine, uint64_t fingerprint);

/* Refuses a fingerprint that another gate put in quarantine. */
void quarantine_add(quarantine_t *quarantine, uint64_t fingerprint,
                    int64_t now_us);

/*
 * Moves to out the fingerprints that quarantine_record_crash put in
 * quarantine, at most max of them; returns how many. At most 64 are kept for
 * this call.
 */
size_t quarantine_take_new(quarantine_t *quarantine, uint64_t *out,
                           size_t max);

/*
 * Parts lost at one upstream, kept until its boot id shows whether it crashed.
 * A lost part whose connection broke is counted as a crash at once; this is
 * taken back if the boot id turns out unchanged. A lost part that timed out is
 * counted if the boot id turns out changed.
 */
typedef struct {
    uint64_t fingerprint;
    bool alone;   /* no other part ran on the upstream during its run */
    bool counted; /* already counted as a crash */
} crash_loss_t;

typedef struct {
    crash_loss_t losses[CRASH_WATCH_MAX];
    uint32_t count;
} crash_watch_t;

/* Records a lost part, and its crash if loss->counted is set. */
void crash_watch_record_loss(crash_watch_t *watch, quarantine_t *quarantine,
                             const crash_loss_t *loss, int64_t now_us);

/*
 * Settles the recorded losses when a reply has shown the upstream's boot id.
 * changed: the id differs from the last one seen.
 */
void crash_watch_resolve(crash_watch_t *watch, quarantine_t *quarantine,
                         bool changed, int64_t now_us);

#endif

#include "tier/follow.h"

#include <string.h>

void
follow_init(follow_t *follow, const follow_settings_t *settings)
{
    *follow = (follow_t){.settings = *settings};
}

bool
follow_next_call(follow_t *follow, kv_call_t *call, int64_t now_us)
{
    if (follow->busy || now_us < follow->due_us ||
        now_us < follow->paused_until_us ||
        (follow->watching &&
         (follow->settings.list_only ||
          (follow->settings.covered && follow->caught_up)))) {
        return false;
    }
    bool built =
        follow->watching
            ? kv_call_watch(
                  call,
                  follow->settings.all_prefixes ? "" : follow->settings.prefix,
                  follow->revision, follow->settings.long_poll_us)
            : kv_call_range(call, follow->settings.prefix,
                            follow->page[0] != '\0' ? follow->page : NULL);
    if (!built) {
        follow_restart(follow, now_us + FOLLOW_RETRY_US);
        return false;
    }
    follow->busy = true;
    return true;
}

static follow_step_t
follow_list_page(follow_t *follow, const kv_response_t *response,
                 int64_t now_us)
{
    bool first = follow->page[0] == '\0';
    if (first) {
        follow->list_revision = response->revision;
    }
    memcpy(follow->page, response->next_page, sizeof(follow->page));
    if (follow->page[0] != '\0') {
        follow->due_us = now_us;
        return first ? FOLLOW_LIST_FIRST : FOLLOW_LIST_MORE;
    }
    follow->watching = true;
    /* The pages are not one snapshot: watch from the revision of the first. */
    follow->revision = follow->list_revision;
    follow->due_us =
        now_us + (follow->settings.first_pause_us > follow->settings.pause_us
                      ? follow->settings.first_pause_us
                      : follow->settings.pause_us);
    return first ? FOLLOW_LIST_WHOLE : FOLLOW_LIST_LAST;
}

follow_step_t
follow_response(follow_t *follow, const kv_response_t *response,
                int64_t now_us)
{
    follow->busy = false;
    follow->failures = 0;
    if (!follow->watching) {
        return follow_list_page(follow, response, now_us);
    }
    if (response->revision > follow->revision) {
        follow->revision = response->revision;
    }
    follow->due_us =
        now_us +
        (response->count < FOLLOW_BATCH_FULL ? follow->settings.pause_us : 0);
    return FOLLOW_CHANGES;
}

void
follow_failed(follow_t *follow, bool compacted, int64_t now_us)
{
    follow->busy = false;
    if (compacted) {
        follow_restart(follow, now_us);
        return;
    }
    follow->failures++;
    follow->due_us =
        now_us + (follow->settings.retry_us > 0 ? follow->settings.retry_us
                                                : FOLLOW_RETRY_US);
}

void
follow_advance(follow_t *follow, uint64_t from, uint64_t to)
{
    if (!follow->watching || follow->revision < from) {
        return;
    }
    follow->caught_up = true;
    if (follow->revision < to) {
        follow->revision = to;
    }
}

void
follow_pause_until(follow_t *follow, int64_t until_us)
{
    follow->paused_until_us = until_us;
}

void
follow_restart(follow_t *follow, int64_t now_us)
{
    follow->watching = false;
    follow->caught_up = false;
    follow->busy = false;
    follow->page[0] = '\0';
    follow->due_us = now_us;
}

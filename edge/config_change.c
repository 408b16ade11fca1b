#include "edge/config_change.h"

#include <time.h>

static int64_t
clock_now_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * INT64_C(1000000) + now.tv_nsec / 1000;
}

static void
sleep_until(int64_t until_us)
{
    struct timespec until = {
        .tv_sec = until_us / 1000000,
        .tv_nsec = until_us % 1000000 * 1000,
    };
    clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &until, NULL);
}

static void
change_read(change_t *change, const store_client_t *store)
{
    store_value_t value;
    status_t status = store_get(store, STORE_KEY_CONFIG, &value, NULL);
    change_read_result(change, status, value.modify_index, value.text,
                       value.size, clock_now_us());
    store_value_release(&value);
}

static void
change_write(change_t *change, const store_client_t *store,
             const change_request_t *request)
{
    status_t status = store_cas_put(store, STORE_KEY_CONFIG, request->text,
                                    request->size, request->index, NULL);
    change_write_result(change, status, clock_now_us());
}

change_t *
config_change_run(const store_client_t *store,
                  const change_settings_t *settings, const change_edit_t *edit,
                  config_t *known, error_t *err)
{
    change_t *change = change_new(settings, edit, known, clock_now_us(), err);
    if (change == NULL) {
        return NULL;
    }
    for (;;) {
        change_request_t request;
        switch (change_next(change, clock_now_us(), &request)) {
        case CHANGE_READ:
            change_read(change, store);
            break;
        case CHANGE_WRITE:
            change_write(change, store, &request);
            break;
        case CHANGE_WAIT:
            sleep_until(change_wakeup(change));
            break;
        case CHANGE_DONE:
            return change;
        }
    }
}

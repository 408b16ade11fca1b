#include "core/status.h"

#include <stdarg.h>
#include <stdio.h>

static const char *const status_names[] = {
    [STATUS_OK] = "ok",
    [STATUS_INVALID] = "invalid",
    [STATUS_NOT_FOUND] = "not found",
    [STATUS_CONFLICT] = "conflict",
    [STATUS_UNAVAILABLE] = "unavailable",
    [STATUS_TIMEOUT] = "timeout",
    [STATUS_UNKNOWN] = "unknown",
    [STATUS_TOO_LARGE] = "too large",
    [STATUS_DENIED] = "denied",
    [STATUS_NO_MEMORY] = "no memory",
    [STATUS_INTERNAL] = "internal",
};

const char *
status_name(status_t status)
{
    return status_names[status];
}

status_t
error_set(error_t *err, status_t status, const char *step, const char *peer,
          const char *format, ...)
{
    if (err == NULL) {
        return status;
    }
    err->status = status;
    snprintf(err->step, sizeof(err->step), "%s", step);
    snprintf(err->peer, sizeof(err->peer), "%s", peer);
    va_list args;
    va_start(args, format);
    vsnprintf(err->message, sizeof(err->message), format, args);
    va_end(args);
    return status;
}

const char *
error_text(error_t *err)
{
    snprintf(err->text, sizeof(err->text), "%s: %s: %s (%s)", err->step,
             err->peer, err->message, status_name(err->status));
    return err->text;
}

#include "core/outcome.h"

static const char *const outcome_names[OUTCOME_COUNT] = {
    [OUTCOME_WHOLE] = "whole",
    [OUTCOME_PARTIAL] = "partial",
    [OUTCOME_NOT_RUN] = "not_run",
    [OUTCOME_UNKNOWN] = "unknown",
};

static const char *const reason_names[REASON_COUNT] = {
    [REASON_NONE] = "none",
    [REASON_DEADLINE] = "deadline",
    [REASON_OVERLOAD] = "overload",
    [REASON_NO_UPSTREAM] = "no_upstream",
    [REASON_NO_SNAPSHOT] = "no_snapshot",
    [REASON_LOST] = "lost",
    [REASON_QUARANTINED] = "quarantined",
    [REASON_CANCELLED] = "cancelled",
    [REASON_NO_CONFIG] = "no_config",
    [REASON_LEAVING] = "leaving",
    [REASON_BAD_REQUEST] = "bad_request",
    [REASON_TICKET] = "ticket",
    [REASON_RUNNING] = "running",
    [REASON_STORE] = "store",
};

const char *
outcome_name(outcome_t outcome)
{
    return outcome_names[outcome];
}

const char *
reason_name(reason_t reason)
{
    return reason_names[reason];
}

#include "core/part.h"

#include <string.h>

static const char *const part_status_names[PART_STATUS_COUNT] = {
    [PART_OK] = "ok",
    [PART_SHED] = "shed",
    [PART_LIMITED] = "limited",
    [PART_EXPIRED] = "expired",
    [PART_COLD] = "cold",
    [PART_GONE] = "gone",
    [PART_NOT_OWNER] = "not_owner",
    [PART_QUARANTINED] = "quarantined",
    [PART_NO_VERSION] = "no_version",
    [PART_MOVED] = "moved",
    [PART_LOST] = "lost",
    [PART_BAD_REPLY] = "bad_reply",
    [PART_CANCELLED] = "cancelled",
    [PART_FAILED] = "failed",
};

static const char *const class_names[CLASS_COUNT] = {
    [CLASS_DESK] = "desk",
    [CLASS_ONLINE] = "online",
    [CLASS_BATCH] = "batch",
};

const char *
part_status_name(part_status_t status)
{
    return part_status_names[status];
}

const char *
class_name(class_t class)
{
    return class_names[class];
}

class_t
class_parse(const char *name)
{
    for (class_t class = 0; class < CLASS_COUNT; class ++) {
        if (strcmp(name, class_names[class]) == 0) {
            return class;
        }
    }
    return CLASS_COUNT;
}

bool
attempt_id_equal(attempt_id_t a, attempt_id_t b)
{
    return a.incarnation == b.incarnation && a.sequence == b.sequence &&
           a.attempt == b.attempt;
}

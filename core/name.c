#include "core/name.h"

#include <string.h>

bool
name_valid(const char *name)
{
    static const char allowed[] = "abcdefghijklmnopqrstuvwxyz0123456789.-";
    size_t length = strspn(name, allowed);
    return length > 0 && length < NAME_SIZE && name[length] == '\0';
}

void
name_print(char *out, size_t size, const char *text)
{
    size_t i = 0;
    for (; i + 1 < size && text[i] != '\0'; i++) {
        out[i] = text[i] >= ' ' && text[i] <= '~' ? text[i] : '?';
    }
    out[i] = '\0';
}

#include "core/name.h"

#include <string.h>

bool
label_valid(const char *text, size_t size)
{
    static const char allowed[] = "abcdefghijklmnopqrstuvwxyz0123456789.-";
    size_t length = strspn(text, allowed);
    return length < size && text[length] == '\0';
}

bool
name_valid(const char *name)
{
    return name[0] != '\0' && label_valid(name, NAME_SIZE);
}

void
printable_copy(char *out, size_t size, const char *text)
{
    size_t i = 0;
    for (; i + 1 < size && text[i] != '\0'; i++) {
        out[i] = text[i] >= ' ' && text[i] <= '~' ? text[i] : '?';
    }
    out[i] = '\0';
}

#include "core/text.h"

#include <string.h>

bool
text_copy(char *out, size_t size, const char *text)
{
    size_t length = strlen(text);
    if (length >= size) {
        if (size > 0) {
            out[0] = '\0';
        }
        return false;
    }
    memcpy(out, text, length + 1);
    return true;
}

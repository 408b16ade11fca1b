#include "edge/secret.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char read_step[] = "read secret";

static size_t
secret_trim(const char *text, size_t size)
{
    while (size > 0 && (text[size - 1] == '\n' || text[size - 1] == '\r')) {
        size--;
    }
    return size;
}

static status_t
secret_read_stream(FILE *stream, const char *path, size_t min, size_t max,
                   char *out, size_t *size, error_t *err)
{
    /* Two more for "\r\n" and one more to detect a secret that is too long. */
    char *text = malloc(max + 3);
    if (text == NULL) {
        return error_set(err, STATUS_NO_MEMORY, read_step, path,
                         "out of memory");
    }
    size_t bytes_read = fread(text, 1, max + 3, stream);
    size_t length = secret_trim(text, bytes_read);
    status_t status = STATUS_OK;
    if (ferror(stream)) {
        status = error_set(err, STATUS_UNAVAILABLE, read_step, path, "%s",
                           strerror(errno));
    }
    else if (length < min || length > max) {
        status = error_set(err, STATUS_INVALID, read_step, path,
                           "found %s%zu bytes, expected %zu to %zu",
                           length > max ? "at least " : "", length, min, max);
    }
    else {
        memcpy(out, text, length);
        *size = length;
    }
    explicit_bzero(text, max + 3);
    free(text);
    return status;
}

status_t
secret_read(const char *path, size_t min, size_t max, char *out, size_t *size,
            error_t *err)
{
    *size = 0;
    FILE *stream = fopen(path, "rbe");
    if (stream == NULL) {
        return error_set(err, STATUS_NOT_FOUND, read_step, path, "%s",
                         strerror(errno));
    }
    setvbuf(stream, NULL, _IONBF, 0);
    status_t status =
        secret_read_stream(stream, path, min, max, out, size, err);
    fclose(stream);
    return status;
}

bool
secret_equal(const char *a, size_t a_size, const char *b, size_t b_size)
{
    volatile unsigned char difference = a_size != b_size;
    for (size_t i = 0; i < a_size; i++) {
        char b_byte = b_size > 0 ? b[i % b_size] : 0;
        difference = (unsigned char)(difference | (a[i] ^ b_byte));
    }
    return difference == 0;
}

#include "edge/line_sink.h"

#include "net/buffer.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

struct line_sink {
    int fd;
    buffer_t lines;
    int64_t second_start_us; /* start of the interval of lines_in_second */
    uint32_t lines_in_second;
    uint64_t dropped;
    uint64_t dropped_reported; /* value of dropped at the last report */
};

line_sink_t *
line_sink_new(int fd)
{
    line_sink_t *sink = calloc(1, sizeof(*sink));
    if (sink == NULL) {
        return NULL;
    }
    sink->fd = fd;
    int flags = fcntl(fd, F_GETFL);
    if (flags >= 0) {
        (void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    }
    return sink;
}

static void
sink_append(line_sink_t *sink, const char *line, size_t size)
{
    uint8_t *space = NULL;
    if (buffer_size(&sink->lines) + size + 1 <= LINE_SINK_BUFFER_MAX_BYTES) {
        space = buffer_reserve(&sink->lines, size + 1);
    }
    if (space == NULL) {
        sink->dropped++;
        return;
    }
    memcpy(space, line, size);
    space[size] = '\n';
    buffer_commit(&sink->lines, size + 1);
}

static void
sink_report_dropped(line_sink_t *sink)
{
    char line[96];
    int size =
        snprintf(line, sizeof(line), "E1 log_lines_left_out count=%" PRIu64,
                 sink->dropped - sink->dropped_reported);
    sink->dropped_reported = sink->dropped;
    sink_append(sink, line, (size_t)size);
}

void
line_sink_put(void *context, const char *line, size_t size, int64_t now_us)
{
    line_sink_t *sink = context;
    if (now_us - sink->second_start_us >= 1000000) {
        sink->second_start_us = now_us;
        sink->lines_in_second = 0;
        if (sink->dropped > sink->dropped_reported) {
            sink_report_dropped(sink);
        }
    }
    if (sink->lines_in_second >= LINE_SINK_LINES_PER_S) {
        sink->dropped++;
        return;
    }
    sink->lines_in_second++;
    sink_append(sink, line, size);
    if (buffer_size(&sink->lines) >= LINE_SINK_BATCH_BYTES) {
        line_sink_flush(sink);
    }
}

void
line_sink_flush(line_sink_t *sink)
{
    while (buffer_size(&sink->lines) > 0) {
        ssize_t size = write(sink->fd, buffer_data(&sink->lines),
                             buffer_size(&sink->lines));
        if (size < 0) {
            if (errno == EINTR) {
                continue;
            }
            if (errno != EAGAIN) {
                /* The descriptor is no longer writable: drop the lines. */
                buffer_consume(&sink->lines, buffer_size(&sink->lines));
            }
            return;
        }
        buffer_consume(&sink->lines, (size_t)size);
    }
}

uint64_t
line_sink_dropped(const line_sink_t *sink)
{
    return sink->dropped;
}

void
line_sink_free(line_sink_t *sink)
{
    if (sink != NULL) {
        line_sink_flush(sink);
        buffer_release(&sink->lines);
        free(sink);
    }
}

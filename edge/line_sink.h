/*
 * Log lines to a descriptor, without ever waiting for it.
 *
 * Lines are kept in memory and written in batches. What does not fit, or
 * comes faster than the bound, is left out and counted; a line says how many
 * once there is room again.
 *
 *     line_sink_t *sink = line_sink_new(STDOUT_FILENO);
 *     line_sink_put(sink, line, size, now_us);
 *     line_sink_flush(sink);
 */
#ifndef EDGE_LINE_SINK_H
#define EDGE_LINE_SINK_H

#include <stddef.h>
#include <stdint.h>

enum {
    LINE_SINK_BUFFER_MAX_BYTES =
        256 << 10,                /* kept while the descriptor takes nothing */
    LINE_SINK_LINES_PER_S = 2000, /* over a second; the rest is left out */
    LINE_SINK_BATCH_BYTES = 8 << 10 /* written at once when there is as much */
};

typedef struct line_sink line_sink_t;

/* Makes the descriptor non-blocking; NULL: no memory. */
line_sink_t *line_sink_new(int fd);
void line_sink_free(line_sink_t *sink);

/* One line without its end; owner is the sink. */
void line_sink_put(void *owner, const char *line, size_t size, int64_t now_us);

/* Write what the descriptor takes. */
void line_sink_flush(line_sink_t *sink);

/* Lines left out so far. */
uint64_t line_sink_dropped(const line_sink_t *sink);

#endif

/*
 * Writes log lines to a file descriptor without blocking.
 *
 * Lines are buffered and written in batches. Lines that do not fit in the
 * buffer or exceed the rate limit are dropped and counted. The first line
 * of the next second is preceded by a line with the number of dropped lines.
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
    LINE_SINK_BUFFER_MAX_BYTES = 256 << 10, /* unwritten lines */
    LINE_SINK_LINES_PER_S = 2000,           /* rate limit */
    LINE_SINK_BATCH_BYTES = 8 << 10         /* flush from this size on */
};

typedef struct line_sink line_sink_t;

/*
 * Creates a sink and makes the descriptor non-blocking; the descriptor stays
 * the caller's. Returns NULL if out of memory.
 */
line_sink_t *line_sink_new(int fd);

/* Flushes and frees the sink; NULL ok. */
void line_sink_free(line_sink_t *sink);

/*
 * Adds a line, which has no newline. context is the line_sink_t, so that the
 * function is an event_sink_fn_t. now_us is the monotonic time.
 */
void line_sink_put(void *context, const char *line, size_t size,
                   int64_t now_us);

/* Writes buffered lines until the descriptor would block. */
void line_sink_flush(line_sink_t *sink);

/* Returns how many lines the buffer and rate limits have dropped so far. */
uint64_t line_sink_dropped(const line_sink_t *sink);

#endif

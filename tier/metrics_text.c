#include "tier/metrics_text.h"

#include "edge/event.h"
#include "tier/node_state.h"

#include <inttypes.h>
#include <stdio.h>

static void
print_events(FILE *out)
{
    fprintf(out, "# TYPE yuccarun_events_total counter\n");
    for (int event = 0; event < EVENT_COUNT; event++) {
        uint64_t count = event_count((event_t)event);
        if (count > 0) {
            fprintf(out, "yuccarun_events_total{event=\"%s\"} %" PRIu64 "\n",
                    event_name((event_t)event), count);
        }
    }
}

static void
print_answers(FILE *out, const front_t *front)
{
    fprintf(out, "# TYPE yuccarun_answers_total counter\n");
    for (int i = 1; i < 6; i++) {
        fprintf(out, "yuccarun_answers_total{status=\"%dxx\"} %" PRIu64 "\n",
                i, front->answers[i]);
    }
}

char *
metrics_text(const node_t *node, size_t *size)
{
    char *text = NULL;
    FILE *out = open_memstream(&text, size);
    if (out == NULL) {
        return NULL;
    }
    const upstream_links_stats_t *links = upstream_links_stats(node->links);
    const store_link_stats_t *store = store_link_stats(node->store);
    const http_server_stats_t *callers = http_server_stats(node->callers);
    print_events(out);
    print_answers(out, &node->front);
    fprintf(out, "yuccarun_requests %u\n", engine_requests(node->engine));
    fprintf(out, "yuccarun_caller_connections %u\n", callers->open);
    fprintf(out, "yuccarun_upstream_connections %u\n", links->open);
    fprintf(out, "yuccarun_upstream_connects_total %" PRIu64 "\n",
            links->opened);
    fprintf(out, "yuccarun_upstream_reuses_total %" PRIu64 "\n",
            links->reused);
    fprintf(out, "yuccarun_store_calls_total %" PRIu64 "\n", store->calls);
    fprintf(out, "yuccarun_store_failures_total %" PRIu64 "\n",
            store->failures);
    fprintf(out, "yuccarun_store_reachable %d\n", store->reachable);
    fprintf(out, "yuccarun_fleet %u\n", node->fleet);
    if (fclose(out) != 0) {
        return NULL;
    }
    return text;
}

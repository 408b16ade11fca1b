/*
 * Cost of the protocol between daemons: bytes per message and per part, and
 * processor time to encode, decode and sign a message; cost of the transport
 * over loopback; and cost of a mesh of transports that send each other one
 * heartbeat per second.
 *
 *     bench-proto [SECONDS-PER-LINE]
 */
#include "net/peer.h"
#include "proto/frame.h"
#include "proto/message.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
    BATCH_MAX = 400,
    LOOPBACK_MESSAGES = 20000,
    MESH_MAX = 64,
    MESH_HEARTBEATS = 3
};

static double
clock_s(clockid_t clock)
{
    struct timespec now;
    clock_gettime(clock, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

/* Parts of one query for one owner, each with its own upstream and range. */
static void
make_requests(part_request_t *requests, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        requests[i] = (part_request_t){
            .id = {.incarnation = 0x7f3a5c9e12345678, .sequence = 1000000 + i},
            .service = "ledger-desk",
            .tenant = "kiosk-7",
            .class = CLASS_DESK,
            .query = 0x1122334455667788,
            .fingerprint = 0x8877665544332211,
            .version = 17,
            .generation = 3,
            .range = {.lo = i << 20, .hi = (i + 1) << 20},
            .deadline_us = 300000,
            .body = "balance of 20551",
            .body_size = 16,
        };
        snprintf(requests[i].upstream, NAME_SIZE, "ledger-desk-g%zu-r1", i);
    }
}

static void
make_replies(part_reply_t *replies, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        replies[i] = (part_reply_t){
            .id = {.incarnation = 0x7f3a5c9e12345678, .sequence = 1000000 + i},
            .version = 17,
            .generation = 3,
            .range = {.lo = i << 20, .hi = (i + 1) << 20},
            .count = 390,
            .sum = UINT64_C(0x123456789abcdef0) + i,
            .held = {17, 16},
            .service_us = 2400,
            .queue_us = 120,
        };
    }
}

static void
fail(const char *operation, error_t *err)
{
    fprintf(stderr, "bench-proto: %s: %s\n", operation, error_text(err));
    exit(1);
}

/*
 * Prints one line: bytes, and microseconds to encode, decode and sign. The
 * time per part includes two MACs, the sender's and the receiver's.
 */
static void
measure(const char *name, const message_t *message, size_t parts,
        double span_s)
{
    error_t err = ERROR_INIT;
    uint8_t *bytes;
    size_t size = 0;
    uint8_t key[PROOF_BYTES] = {1};
    uint8_t mac[FRAME_MAC_BYTES];
    auth_stream_t *stream = auth_stream_new(key);
    double spent[3] = {0};
    double end_s = clock_s(CLOCK_MONOTONIC) + span_s;
    uint64_t rounds = 0;
    for (; clock_s(CLOCK_MONOTONIC) < end_s; rounds++) {
        message_t out;
        double t0 = clock_s(CLOCK_THREAD_CPUTIME_ID);
        if (message_encode(message, 0, &bytes, &size, &err) != STATUS_OK) {
            fail("encode", &err);
        }
        double t1 = clock_s(CLOCK_THREAD_CPUTIME_ID);
        if (message_decode((uint8_t)message->type, bytes, size, 0, &out,
                           &err) != STATUS_OK) {
            fail("decode", &err);
        }
        message_release(&out);
        double t2 = clock_s(CLOCK_THREAD_CPUTIME_ID);
        (void)auth_stream_sign(stream, bytes, size, mac);
        double t3 = clock_s(CLOCK_THREAD_CPUTIME_ID);
        spent[0] += t1 - t0;
        spent[1] += t2 - t1;
        spent[2] += t3 - t2;
        free(bytes);
    }
    auth_stream_free(stream);
    size_t wire = frame_size(size, FRAME_MAC_BYTES);
    double us_per_round = 1e6 / (double)rounds;
    printf("%-22s %8zu %8.1f %10.2f %10.2f %8.2f %10.3f\n", name, wire,
           (double)wire / (double)parts, spent[0] * us_per_round,
           spent[1] * us_per_round, spent[2] * us_per_round,
           (spent[0] + spent[1] + 2 * spent[2]) * us_per_round /
               (double)parts);
}

static void
measure_messages(double span_s)
{
    static part_request_t requests[BATCH_MAX];
    static part_reply_t replies[BATCH_MAX];
    static const size_t counts[] = {1, 10, 40, BATCH_MAX};
    make_requests(requests, BATCH_MAX);
    make_replies(replies, BATCH_MAX);
    printf("%-22s %8s %8s %10s %10s %8s %10s\n", "message", "bytes", "/part",
           "encode us", "decode us", "MAC us", "us/part");
    for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
        char name[32];
        message_t m = {.type = MESSAGE_PARTS,
                       .parts = {.requests = requests, .count = counts[i]}};
        snprintf(name, sizeof(name), "parts of %zu", counts[i]);
        measure(name, &m, counts[i], span_s);
        m = (message_t){.type = MESSAGE_REPLIES,
                        .replies = {.replies = replies, .count = counts[i]}};
        snprintf(name, sizeof(name), "replies of %zu", counts[i]);
        measure(name, &m, counts[i], span_s);
    }
    static const uint8_t heard[163] = {0xff};
    static const uint64_t quarantined[2] = {1, 2};
    message_t m = {
        .type = MESSAGE_HEARTBEAT,
        .heartbeat = {.roster_version = 900,
                      .config_version = 12,
                      .load_permille = 345,
                      .heard = heard,
                      .heard_size = 1},
    };
    measure("heartbeat, 8 members", &m, 1, span_s);
    m.heartbeat.heard_size = sizeof(heard);
    m.heartbeat.quarantined = quarantined;
    m.heartbeat.quarantined_count = 2;
    measure("heartbeat, 1300", &m, 1, span_s);
}

static atomic_uint received_count;
static atomic_uint connected_count;

static void
on_message(void *ctx, const char *peer, uint64_t incarnation,
           message_t *message)
{
    (void)ctx;
    (void)peer;
    (void)incarnation;
    (void)message;
    atomic_fetch_add(&received_count, 1);
}

static void
on_up(void *ctx, const char *peer, uint64_t incarnation)
{
    (void)ctx;
    (void)peer;
    (void)incarnation;
    atomic_fetch_add(&connected_count, 1);
}

static void
on_down(void *ctx, const char *peer, uint64_t incarnation, bool reachable,
        const error_t *err)
{
    (void)ctx;
    (void)peer;
    (void)incarnation;
    (void)reachable;
    (void)err;
}

static void
on_refused(void *ctx, const error_t *err)
{
    (void)ctx;
    (void)err;
}

static peer_net_t *
open_net(const char *name, uint64_t incarnation)
{
    static const peer_ops_t ops = {on_message, on_up, on_down, on_refused};
    static const uint8_t key[] = "0123456789abcdef";
    peer_net_settings_t settings = {
        .self = {.zone = "north-1", .incarnation = incarnation},
        .address = "127.0.0.1",
        .key = {.bytes = key, .size = 16},
    };
    snprintf(settings.self.name, NAME_SIZE, "%s", name);
    error_t err = ERROR_INIT;
    peer_net_t *net = peer_net_new(&settings, &ops, NULL, &err);
    if (net == NULL) {
        fail("transport", &err);
    }
    return net;
}

static void
pause_us(long us)
{
    struct timespec span = {.tv_nsec = us * 1000};
    nanosleep(&span, NULL);
}

/*
 * Sends as fast as the queue accepts; prints the message rate and the
 * processor time of each side's transport thread.
 */
static void
measure_loopback(size_t parts)
{
    static part_request_t requests[BATCH_MAX];
    make_requests(requests, parts);
    peer_net_t *a = open_net("a1", 1);
    peer_net_t *b = open_net("b1", 2);
    peer_address_t to = {.name = "b1",
                         .incarnation = 2,
                         .address = "127.0.0.1",
                         .port = peer_net_port(b)};
    atomic_store(&received_count, 0);
    atomic_store(&connected_count, 0);
    (void)peer_net_set_peers(a, &to, 1, NULL);
    while (atomic_load(&connected_count) < 2) {
        pause_us(1000);
    }
    message_t m = {.type = MESSAGE_PARTS,
                   .parts = {.requests = requests, .count = parts}};
    double start = clock_s(CLOCK_MONOTONIC);
    for (unsigned sent = 0; sent < LOOPBACK_MESSAGES;) {
        if (peer_net_send(a, "b1", 2, &m, NULL) == STATUS_OK) {
            sent++;
        }
        else {
            pause_us(100);
        }
    }
    while (atomic_load(&received_count) < LOOPBACK_MESSAGES) {
        pause_us(100);
    }
    double took = clock_s(CLOCK_MONOTONIC) - start;
    peer_counters_t from = peer_net_counters(a);
    peer_counters_t at = peer_net_counters(b);
    printf("loopback, parts of %zu: %.0f messages/s, transport thread %.2f us "
           "a message sent, %.2f us received\n",
           parts, LOOPBACK_MESSAGES / took,
           (double)from.cpu_us / LOOPBACK_MESSAGES,
           (double)at.cpu_us / LOOPBACK_MESSAGES);
    peer_net_free(a);
    peer_net_free(b);
}

static void
mesh_connect(peer_net_t **nets, const peer_address_t *peers, unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        (void)peer_net_set_peers(nets[i], peers, count, NULL);
    }
}

static void
mesh_send_heartbeats(peer_net_t **nets, const peer_address_t *peers,
                     unsigned count)
{
    static const uint8_t heard[MESH_MAX / 8] = {0xff};
    message_t m = {.type = MESSAGE_HEARTBEAT,
                   .heartbeat = {.roster_version = 900,
                                 .config_version = 12,
                                 .heard = heard,
                                 .heard_size = (count + 7) / 8}};
    for (unsigned i = 0; i < count; i++) {
        for (unsigned j = 0; j < count; j++) {
            if (i != j) {
                (void)peer_net_send(nets[i], peers[j].name,
                                    peers[j].incarnation, &m, NULL);
            }
        }
    }
}

static int64_t
mesh_cpu_us(peer_net_t **nets, unsigned count)
{
    int64_t sum_us = 0;
    for (unsigned i = 0; i < count; i++) {
        sum_us += peer_net_counters(nets[i]).cpu_us;
    }
    return sum_us;
}

/* Full mesh: time to connect all pairs, and cost of a heartbeat per second. */
static void
measure_mesh(unsigned count)
{
    peer_net_t *nets[MESH_MAX];
    peer_address_t peers[MESH_MAX] = {0};
    atomic_store(&connected_count, 0);
    atomic_store(&received_count, 0);
    for (unsigned i = 0; i < count; i++) {
        peers[i].incarnation = i + 1;
        snprintf(peers[i].name, NAME_SIZE, "a%u", i);
        snprintf(peers[i].address, ADDRESS_SIZE, "127.0.0.1");
        nets[i] = open_net(peers[i].name, peers[i].incarnation);
        peers[i].port = peer_net_port(nets[i]);
    }
    double start = clock_s(CLOCK_MONOTONIC);
    mesh_connect(nets, peers, count);
    while (atomic_load(&connected_count) < count * (count - 1)) {
        pause_us(100);
    }
    double connected = clock_s(CLOCK_MONOTONIC);
    int64_t connect_us = mesh_cpu_us(nets, count);
    for (unsigned round = 1; round <= MESH_HEARTBEATS; round++) {
        mesh_send_heartbeats(nets, peers, count);
        while (atomic_load(&received_count) < round * count * (count - 1)) {
            pause_us(100);
        }
        sleep(1);
    }
    int64_t heartbeat_us = mesh_cpu_us(nets, count) - connect_us;
    uint64_t dials = 0;
    for (unsigned i = 0; i < count; i++) {
        dials += peer_net_counters(nets[i]).dials;
    }
    printf("mesh of %u: connected after %.0f ms, %" PRIu64 " dials for %u "
           "pairs, transport thread time per daemon %.1f ms to connect, %.2f "
           "ms per second of heartbeats\n",
           count, (connected - start) * 1000, dials, count * (count - 1) / 2,
           (double)connect_us / count / 1000,
           (double)heartbeat_us / count / MESH_HEARTBEATS / 1000);
    for (unsigned i = 0; i < count; i++) {
        peer_net_free(nets[i]);
    }
}

int
main(int argc, char **argv)
{
    double span_s = argc > 1 ? strtod(argv[1], NULL) : 0.5;
    measure_messages(span_s);
    measure_loopback(1);
    measure_loopback(40);
    measure_mesh(8);
    measure_mesh(32);
    measure_mesh(MESH_MAX);
    return 0;
}

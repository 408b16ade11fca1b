/*
 * The handshake of a connection, as a pure state machine.
 *
 *     acceptor                         dialer
 *        | --- challenge (nonce) --------> |
 *        | <-- hello, proof of the key --- |
 *        | --- hello, proof of the key --> |
 *
 * The acceptor names itself only after the dialer has proved the key. Feed
 * each arriving message in and send what comes out:
 *
 *     handshake_t hs;
 *     handshake_accept(&hs, &self, key, nonce, &out);
 *     switch (handshake_process(&hs, &in, &out)) {
 *     case HANDSHAKE_CONTINUE: case HANDSHAKE_DONE: send out, if any
 *     default: close, send nothing
 *     }
 *     handshake_streams(&hs, &sender, &receiver);
 */
#ifndef PROTO_HANDSHAKE_H
#define PROTO_HANDSHAKE_H

#include "proto/auth.h"

typedef enum {
    HANDSHAKE_CONTINUE,
    HANDSHAKE_DONE,
    HANDSHAKE_UNEXPECTED_MESSAGE, /* not the message that comes next */
    HANDSHAKE_NO_COMMON_VERSION,  /* no protocol version in common */
    HANDSHAKE_WRONG_PROOF,        /* the peer does not hold the key */
    HANDSHAKE_WRONG_DAEMON,       /* not the daemon that was meant */
    HANDSHAKE_CRYPTO_FAILED       /* the crypto library failed */
} handshake_result_t;

/* Who this daemon is. */
typedef struct {
    char name[NAME_SIZE];
    char zone[NAME_SIZE];
    uint64_t incarnation;
    uint32_t version; /* 0: PROTOCOL_VERSION */
    uint32_t oldest;  /* 0: PROTOCOL_OLDEST */
} identity_t;

typedef struct {
    bool dialer;
    bool done;
    identity_t self;
    auth_key_t key;
    uint8_t nonce[NONCE_BYTES];
    char expected_name[NAME_SIZE];
    uint64_t expected_incarnation;
    uint32_t agreed_version;
    auth_transcript_t transcript;
} handshake_t;

/* Begin as acceptor: *out is the challenge to send. nonce must be random. */
void handshake_accept(handshake_t *hs, const identity_t *self, auth_key_t key,
                      const uint8_t nonce[NONCE_BYTES], message_t *out);

/*
 * Begin as dialer towards the daemon named; an empty name and incarnation 0
 * take any. Nothing is sent until the challenge arrives.
 */
void handshake_dial(handshake_t *hs, const identity_t *self, auth_key_t key,
                    const uint8_t nonce[NONCE_BYTES], const char *name,
                    uint64_t incarnation);

/* Take a message; *out is MESSAGE_NONE when there is nothing to send. */
handshake_result_t handshake_process(handshake_t *hs, const message_t *in,
                                     message_t *out);

/* After HANDSHAKE_DONE: the other daemon's hello. */
const hello_t *handshake_peer(const handshake_t *hs);

/* After HANDSHAKE_DONE: streams of frames, or false without memory. */
bool handshake_streams(const handshake_t *hs, auth_stream_t **sender,
                       auth_stream_t **receiver);

/* The version both speak; 0 when there is none. */
uint32_t handshake_common_version(uint32_t version, uint32_t oldest,
                                  uint32_t peer_version, uint32_t peer_oldest);

/* Name for logs: "wrong proof". */
const char *handshake_result_name(handshake_result_t result);

#endif

/*
 * The handshake of a connection, as a state machine without I/O.
 *
 *     acceptor                         dialer
 *        | --- challenge (nonce) --------> |
 *        | <-- hello, proof of the key --- |
 *        | --- hello, proof of the key --> |
 *
 * The acceptor identifies itself only after the dialer has proved that it has
 * the key. The caller passes in each message that arrives and sends the
 * message that handshake_process returns:
 *
 *     handshake_t hs;
 *     handshake_accept(&hs, &self, key, nonce, &out);
 *     switch (handshake_process(&hs, &in, &out)) {
 *     case HANDSHAKE_CONTINUE: case HANDSHAKE_DONE: send out, if any
 *     default: close the connection without a reply
 *     }
 *     handshake_streams(&hs, &sender, &receiver);
 */
#ifndef PROTO_HANDSHAKE_H
#define PROTO_HANDSHAKE_H

#include "proto/auth.h"

typedef enum {
    HANDSHAKE_CONTINUE,
    HANDSHAKE_DONE,
    HANDSHAKE_UNEXPECTED_MESSAGE, /* not the next expected message */
    HANDSHAKE_NO_COMMON_VERSION,  /* no protocol version in common */
    HANDSHAKE_WRONG_PROOF,        /* different key, or altered message */
    /* Unexpected name or incarnation, or this daemon's own name. */
    HANDSHAKE_WRONG_DAEMON,
    HANDSHAKE_CRYPTO_FAILED /* the crypto library failed */
} handshake_result_t;

/* The identity of this daemon. */
typedef struct {
    char name[NAME_SIZE];
    char zone[NAME_SIZE];
    uint64_t incarnation;
    uint32_t version; /* 0: PROTOCOL_VERSION and PROTOCOL_OLDEST */
    uint32_t oldest;  /* oldest supported version */
} identity_t;

typedef struct {
    bool dialer;
    bool done;
    identity_t self;
    auth_key_t key;
    uint8_t nonce[NONCE_BYTES];
    char expected_name[NAME_SIZE]; /* dialer only; empty: any */
    uint64_t expected_incarnation; /* dialer only; 0: any */
    uint32_t agreed_version;
    auth_transcript_t transcript;
} handshake_t;

/*
 * Starts a handshake as acceptor and sets *out to the challenge to send. nonce
 * must be random. The bytes of key must outlive the handshake.
 */
void handshake_accept(handshake_t *hs, const identity_t *self, auth_key_t key,
                      const uint8_t nonce[NONCE_BYTES], message_t *out);

/*
 * Starts a handshake as dialer with the daemon of this name and incarnation;
 * an empty name matches any name, and 0 any incarnation. Nothing is sent until
 * the challenge arrives. nonce must be random. The bytes of key must outlive
 * the handshake.
 */
void handshake_dial(handshake_t *hs, const identity_t *self, auth_key_t key,
                    const uint8_t nonce[NONCE_BYTES], const char *name,
                    uint64_t incarnation);

/*
 * Processes a message of the peer and sets *out to the message to send, whose
 * type is MESSAGE_NONE if there is none.
 */
handshake_result_t handshake_process(handshake_t *hs, const message_t *in,
                                     message_t *out);

/* Returns the peer's hello; valid after HANDSHAKE_DONE. */
const hello_t *handshake_peer(const handshake_t *hs);

/*
 * After HANDSHAKE_DONE, creates the streams for the MACs of sent and received
 * frames, which the caller frees. Returns false if out of memory or if the
 * crypto library failed.
 */
bool handshake_streams(const handshake_t *hs, auth_stream_t **sender,
                       auth_stream_t **receiver);

/* Returns the highest version that both support; 0 if there is none. */
uint32_t handshake_common_version(uint32_t version, uint32_t oldest,
                                  uint32_t peer_version, uint32_t peer_oldest);

/* Returns a name for logs, for example "wrong proof". */
const char *handshake_result_name(handshake_result_t result);

#endif

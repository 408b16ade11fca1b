/*
 * Proof of the shared key and per-frame MACs.
 *
 * Both daemons hold the same key. Each connection has a transcript: the
 * acceptor's challenge, the dialer's hello and the acceptor's hello, with
 * both nonces, versions, names and incarnations. The proofs and the two
 * frame keys (one a direction) are HMAC-SHA256 over it with different labels.
 *
 *     auth_stream_t *sender = auth_stream_new(key);
 *     auth_stream_sign(sender, frame, size, mac);
 *     if (!auth_stream_verify(receiver, frame, size, mac)) close();
 *     auth_stream_free(sender);
 *
 * A stream counts its frames and takes the count into each MAC, so that a
 * frame repeated, left out or out of order does not verify.
 */
#ifndef PROTO_AUTH_H
#define PROTO_AUTH_H

#include "proto/frame.h"
#include "proto/message.h"

enum { AUTH_KEY_MIN_BYTES = 16, AUTH_KEY_MAX_BYTES = 512 };

/* The key from the settings; owned by the caller. */
typedef struct {
    const uint8_t *bytes;
    size_t size;
} auth_key_t;

typedef struct {
    challenge_t challenge;
    hello_t dialer;   /* proof not part of the transcript */
    hello_t acceptor; /* likewise */
} auth_transcript_t;

typedef enum {
    AUTH_DIALER_PROOF, /* over challenge and dialer only */
    AUTH_ACCEPTOR_PROOF,
    AUTH_DIALER_FRAMES, /* key of frames that the dialer sends */
    AUTH_ACCEPTOR_FRAMES
} auth_label_t;

/* HMAC of the transcript under such a label; false: the library failed. */
bool auth_derive(auth_key_t key, auth_label_t label,
                 const auth_transcript_t *transcript,
                 uint8_t out[PROOF_BYTES]);

/* Compare in a time that does not depend on the bytes. */
bool auth_equal(const uint8_t *a, const uint8_t *b, size_t size);

typedef struct auth_stream auth_stream_t;

/* A stream of frames under a derived key; NULL: no memory. */
auth_stream_t *auth_stream_new(const uint8_t key[PROOF_BYTES]);
void auth_stream_free(auth_stream_t *stream); /* NULL ok */

/* MAC of the next frame, header and payload; false: the library failed. */
bool auth_stream_sign(auth_stream_t *stream, const uint8_t *frame, size_t size,
                      uint8_t mac[FRAME_MAC_BYTES]);

/* Whether mac is that of the next frame; counts it only then. */
bool auth_stream_verify(auth_stream_t *stream, const uint8_t *frame,
                        size_t size, const uint8_t *mac);

#endif

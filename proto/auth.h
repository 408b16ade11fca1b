/*
 * Proofs that a peer has the shared key, and the MACs of frames.
 *
 * Both daemons have the same key. Each connection has a transcript: the
 * acceptor's challenge, the dialer's hello and the acceptor's hello, with both
 * nonces, versions, names and incarnations. The two proofs and the two frame
 * keys (one per direction) are each an HMAC-SHA256 of the transcript with its
 * own label.
 *
 *     auth_stream_t *sender = auth_stream_new(key);
 *     auth_stream_sign(sender, frame, size, mac);
 *     if (!auth_stream_verify(receiver, frame, size, mac)) close();
 *     auth_stream_free(sender);
 *
 * A stream counts its frames, and each MAC covers the count, so that a frame
 * that is repeated, dropped or reordered is not accepted.
 */
#ifndef PROTO_AUTH_H
#define PROTO_AUTH_H

#include "proto/frame.h"
#include "proto/message.h"

/* Allowed sizes of the shared key. */
enum { AUTH_KEY_MIN_BYTES = 16, AUTH_KEY_MAX_BYTES = 512 };

/* The shared key from the settings; the caller owns the bytes. */
typedef struct {
    const uint8_t *bytes;
    size_t size;
} auth_key_t;

typedef struct {
    challenge_t challenge;
    hello_t dialer;   /* its proof is not part of the transcript */
    hello_t acceptor; /* its proof is not part of the transcript */
} auth_transcript_t;

typedef enum {
    AUTH_DIALER_PROOF, /* covers only challenge and dialer */
    AUTH_ACCEPTOR_PROOF,
    AUTH_DIALER_FRAMES,  /* key of the frames that the dialer sends */
    AUTH_ACCEPTOR_FRAMES /* key of the frames that the acceptor sends */
} auth_label_t;

/*
 * Writes the HMAC of the transcript with this label to out. Returns false if
 * the crypto library failed.
 */
bool auth_derive(auth_key_t key, auth_label_t label,
                 const auth_transcript_t *transcript,
                 uint8_t out[PROOF_BYTES]);

/* Whether the bytes are equal, compared in constant time. */
bool auth_equal(const uint8_t *a, const uint8_t *b, size_t size);

typedef struct auth_stream auth_stream_t;

/*
 * Returns a stream that computes the MACs of one direction with a key from
 * auth_derive, or NULL if out of memory or if the crypto library failed.
 */
auth_stream_t *auth_stream_new(const uint8_t key[PROOF_BYTES]);
void auth_stream_free(auth_stream_t *stream); /* stream may be NULL */

/*
 * Computes the MAC of the next frame, which covers header and payload. Returns
 * false if the crypto library failed.
 */
bool auth_stream_sign(auth_stream_t *stream, const uint8_t *frame, size_t size,
                      uint8_t mac[FRAME_MAC_BYTES]);

/* Whether mac is the MAC of the next frame; counts the frame only if so. */
bool auth_stream_verify(auth_stream_t *stream, const uint8_t *frame,
                        size_t size, const uint8_t *mac);

#endif

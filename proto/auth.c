#include "proto/auth.h"

#include <gnutls/crypto.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* version, oldest, name, incarnation, zone, nonce, peer */
    HELLO_TRANSCRIPT_BYTES =
        4 + 4 + NAME_SIZE + 8 + NAME_SIZE + NONCE_BYTES + NAME_SIZE,
    CHALLENGE_TRANSCRIPT_BYTES = 4 + 4 + NONCE_BYTES,
    LABEL_BYTES = 32,
    TRANSCRIPT_MAX_BYTES = LABEL_BYTES + CHALLENGE_TRANSCRIPT_BYTES +
                           HELLO_TRANSCRIPT_BYTES + HELLO_TRANSCRIPT_BYTES
};

static const char auth_labels[][LABEL_BYTES] = {
    [AUTH_DIALER_PROOF] = "yuccarun dialer proof",
    [AUTH_ACCEPTOR_PROOF] = "yuccarun acceptor proof",
    [AUTH_DIALER_FRAMES] = "yuccarun dialer frames",
    [AUTH_ACCEPTOR_FRAMES] = "yuccarun acceptor frames",
};

struct auth_stream {
    gnutls_hmac_hd_t hmac;
    uint64_t sequence;
};

static uint8_t *
write_bytes(uint8_t *out, const void *bytes, size_t size)
{
    memcpy(out, bytes, size);
    return out + size;
}

/*
 * Pads the name to a fixed size, so that different transcripts never have
 * equal encodings.
 */
static uint8_t *
write_name(uint8_t *out, const char *name)
{
    memset(out, 0, NAME_SIZE);
    memcpy(out, name, strnlen(name, NAME_SIZE));
    return out + NAME_SIZE;
}

static uint8_t *
write_versions(uint8_t *out, uint32_t version, uint32_t oldest)
{
    wire_put_u32(out, version);
    wire_put_u32(out + 4, oldest);
    return out + 8;
}

static uint8_t *
write_hello(uint8_t *out, const hello_t *hello)
{
    out = write_versions(out, hello->version, hello->oldest);
    out = write_name(out, hello->name);
    wire_put_u64(out, hello->incarnation);
    out = write_name(out + 8, hello->zone);
    out = write_bytes(out, hello->nonce, NONCE_BYTES);
    return write_name(out, hello->peer);
}

bool
auth_derive(auth_key_t key, auth_label_t label,
            const auth_transcript_t *transcript, uint8_t out[PROOF_BYTES])
{
    uint8_t text[TRANSCRIPT_MAX_BYTES];
    const challenge_t *challenge = &transcript->challenge;
    uint8_t *end = write_bytes(text, auth_labels[label], LABEL_BYTES);
    end = write_versions(end, challenge->version, challenge->oldest);
    end = write_bytes(end, challenge->nonce, NONCE_BYTES);
    end = write_hello(end, &transcript->dialer);
    if (label != AUTH_DIALER_PROOF) {
        end = write_hello(end, &transcript->acceptor);
    }
    return gnutls_hmac_fast(GNUTLS_MAC_SHA256, key.bytes, key.size, text,
                            (size_t)(end - text), out) == 0;
}

bool
auth_equal(const uint8_t *a, const uint8_t *b, size_t size)
{
    return gnutls_memcmp(a, b, size) == 0;
}

auth_stream_t *
auth_stream_new(const uint8_t key[PROOF_BYTES])
{
    auth_stream_t *stream = calloc(1, sizeof(*stream));
    if (stream == NULL) {
        return NULL;
    }
    if (gnutls_hmac_init(&stream->hmac, GNUTLS_MAC_SHA256, key, PROOF_BYTES) !=
        0) {
        free(stream);
        return NULL;
    }
    return stream;
}

void
auth_stream_free(auth_stream_t *stream)
{
    if (stream != NULL) {
        gnutls_hmac_deinit(stream->hmac, NULL);
        free(stream);
    }
}

static bool
stream_mac(auth_stream_t *stream, const uint8_t *frame, size_t size,
           uint8_t mac[FRAME_MAC_BYTES])
{
    uint8_t sequence[8];
    uint8_t digest[PROOF_BYTES];
    wire_put_u64(sequence, stream->sequence);
    int failed = gnutls_hmac(stream->hmac, sequence, sizeof(sequence));
    failed |= gnutls_hmac(stream->hmac, frame, size);
    gnutls_hmac_output(stream->hmac, digest);
    memcpy(mac, digest, FRAME_MAC_BYTES);
    return failed == 0;
}

bool
auth_stream_sign(auth_stream_t *stream, const uint8_t *frame, size_t size,
                 uint8_t mac[FRAME_MAC_BYTES])
{
    if (!stream_mac(stream, frame, size, mac)) {
        return false;
    }
    stream->sequence++;
    return true;
}

bool
auth_stream_verify(auth_stream_t *stream, const uint8_t *frame, size_t size,
                   const uint8_t *mac)
{
    uint8_t expected[FRAME_MAC_BYTES];
    if (!stream_mac(stream, frame, size, expected) ||
        !auth_equal(expected, mac, FRAME_MAC_BYTES)) {
        return false;
    }
    stream->sequence++;
    return true;
}

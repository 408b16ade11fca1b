#include "proto/handshake.h"

#include <string.h>

static const char *const handshake_result_names[] = {
    [HANDSHAKE_CONTINUE] = "continue",
    [HANDSHAKE_DONE] = "done",
    [HANDSHAKE_UNEXPECTED_MESSAGE] = "unexpected handshake message",
    [HANDSHAKE_NO_COMMON_VERSION] = "no protocol version in common",
    [HANDSHAKE_WRONG_PROOF] = "wrong proof",
    [HANDSHAKE_WRONG_DAEMON] = "not the expected daemon",
    [HANDSHAKE_CRYPTO_FAILED] = "crypto library failure",
};

const char *
handshake_result_name(handshake_result_t result)
{
    return handshake_result_names[result];
}

uint32_t
handshake_common_version(uint32_t version, uint32_t oldest,
                         uint32_t peer_version, uint32_t peer_oldest)
{
    uint32_t agreed = version < peer_version ? version : peer_version;
    return agreed >= oldest && agreed >= peer_oldest ? agreed : 0;
}

static void
handshake_begin(handshake_t *hs, const identity_t *self, auth_key_t key,
                const uint8_t nonce[NONCE_BYTES])
{
    *hs = (handshake_t){.self = *self, .key = key};
    if (hs->self.version == 0) {
        hs->self.version = PROTOCOL_VERSION;
        hs->self.oldest = PROTOCOL_OLDEST;
    }
    memcpy(hs->nonce, nonce, NONCE_BYTES);
}

void
handshake_accept(handshake_t *hs, const identity_t *self, auth_key_t key,
                 const uint8_t nonce[NONCE_BYTES], message_t *out)
{
    handshake_begin(hs, self, key, nonce);
    challenge_t *challenge = &hs->transcript.challenge;
    challenge->version = hs->self.version;
    challenge->oldest = hs->self.oldest;
    memcpy(challenge->nonce, nonce, NONCE_BYTES);
    *out = (message_t){.type = MESSAGE_CHALLENGE, .challenge = *challenge};
}

void
handshake_dial(handshake_t *hs, const identity_t *self, auth_key_t key,
               const uint8_t nonce[NONCE_BYTES], const char *name,
               uint64_t incarnation)
{
    handshake_begin(hs, self, key, nonce);
    hs->dialer = true;
    hs->expected_incarnation = incarnation;
    strncpy(hs->expected_name, name, NAME_SIZE - 1);
}

static hello_t
handshake_hello(const handshake_t *hs, const char *peer)
{
    hello_t hello = {
        .version = hs->self.version,
        .oldest = hs->self.oldest,
        .incarnation = hs->self.incarnation,
    };
    memcpy(hello.name, hs->self.name, NAME_SIZE);
    memcpy(hello.zone, hs->self.zone, NAME_SIZE);
    memcpy(hello.nonce, hs->nonce, NONCE_BYTES);
    memcpy(hello.peer, peer, NAME_SIZE);
    return hello;
}

static bool
handshake_negotiate(handshake_t *hs, uint32_t version, uint32_t oldest)
{
    hs->agreed_version = handshake_common_version(
        hs->self.version, hs->self.oldest, version, oldest);
    return hs->agreed_version != 0;
}

static handshake_result_t
handshake_verify_proof(const handshake_t *hs, auth_label_t label,
                       const hello_t *hello)
{
    uint8_t proof[PROOF_BYTES];
    if (!auth_derive(hs->key, label, &hs->transcript, proof)) {
        return HANDSHAKE_CRYPTO_FAILED;
    }
    return auth_equal(proof, hello->proof, PROOF_BYTES)
               ? HANDSHAKE_CONTINUE
               : HANDSHAKE_WRONG_PROOF;
}

static handshake_result_t
process_challenge(handshake_t *hs, const challenge_t *challenge,
                  message_t *out)
{
    auth_transcript_t *transcript = &hs->transcript;
    if (transcript->challenge.version != 0) {
        return HANDSHAKE_UNEXPECTED_MESSAGE;
    }
    if (!handshake_negotiate(hs, challenge->version, challenge->oldest)) {
        return HANDSHAKE_NO_COMMON_VERSION;
    }
    transcript->challenge = *challenge;
    transcript->dialer = handshake_hello(hs, hs->expected_name);
    if (!auth_derive(hs->key, AUTH_DIALER_PROOF, transcript,
                     transcript->dialer.proof)) {
        return HANDSHAKE_CRYPTO_FAILED;
    }
    *out = (message_t){.type = MESSAGE_HELLO, .hello = transcript->dialer};
    return HANDSHAKE_CONTINUE;
}

static handshake_result_t
process_dialer_hello(handshake_t *hs, const hello_t *hello, message_t *out)
{
    auth_transcript_t *transcript = &hs->transcript;
    transcript->dialer = *hello;
    handshake_result_t result =
        handshake_verify_proof(hs, AUTH_DIALER_PROOF, hello);
    if (result != HANDSHAKE_CONTINUE) {
        return result;
    }
    if (!handshake_negotiate(hs, hello->version, hello->oldest)) {
        return HANDSHAKE_NO_COMMON_VERSION;
    }
    bool for_self =
        hello->peer[0] == '\0' || strcmp(hello->peer, hs->self.name) == 0;
    if (!for_self || strcmp(hello->name, hs->self.name) == 0) {
        return HANDSHAKE_WRONG_DAEMON;
    }
    transcript->acceptor = handshake_hello(hs, hello->name);
    if (!auth_derive(hs->key, AUTH_ACCEPTOR_PROOF, transcript,
                     transcript->acceptor.proof)) {
        return HANDSHAKE_CRYPTO_FAILED;
    }
    *out = (message_t){.type = MESSAGE_HELLO, .hello = transcript->acceptor};
    hs->done = true;
    return HANDSHAKE_DONE;
}

static handshake_result_t
process_acceptor_hello(handshake_t *hs, const hello_t *hello)
{
    if (hs->transcript.challenge.version == 0) {
        return HANDSHAKE_UNEXPECTED_MESSAGE;
    }
    hs->transcript.acceptor = *hello;
    handshake_result_t result =
        handshake_verify_proof(hs, AUTH_ACCEPTOR_PROOF, hello);
    if (result != HANDSHAKE_CONTINUE) {
        return result;
    }
    if (!handshake_negotiate(hs, hello->version, hello->oldest)) {
        return HANDSHAKE_NO_COMMON_VERSION;
    }
    bool same_name = hs->expected_name[0] == '\0' ||
                     strcmp(hello->name, hs->expected_name) == 0;
    bool same_incarnation = hs->expected_incarnation == 0 ||
                            hs->expected_incarnation == hello->incarnation;
    if (!same_name || !same_incarnation) {
        return HANDSHAKE_WRONG_DAEMON;
    }
    hs->done = true;
    return HANDSHAKE_DONE;
}

handshake_result_t
handshake_process(handshake_t *hs, const message_t *in, message_t *out)
{
    *out = (message_t){.type = MESSAGE_NONE};
    if (hs->done) {
        return HANDSHAKE_UNEXPECTED_MESSAGE;
    }
    if (hs->dialer && in->type == MESSAGE_CHALLENGE) {
        return process_challenge(hs, &in->challenge, out);
    }
    if (in->type != MESSAGE_HELLO) {
        return HANDSHAKE_UNEXPECTED_MESSAGE;
    }
    return hs->dialer ? process_acceptor_hello(hs, &in->hello)
                      : process_dialer_hello(hs, &in->hello, out);
}

const hello_t *
handshake_peer(const handshake_t *hs)
{
    return hs->dialer ? &hs->transcript.acceptor : &hs->transcript.dialer;
}

static auth_stream_t *
handshake_stream(const handshake_t *hs, auth_label_t label)
{
    uint8_t key[PROOF_BYTES];
    if (!auth_derive(hs->key, label, &hs->transcript, key)) {
        return NULL;
    }
    return auth_stream_new(key);
}

bool
handshake_streams(const handshake_t *hs, auth_stream_t **sender,
                  auth_stream_t **receiver)
{
    auth_stream_t *dialer = handshake_stream(hs, AUTH_DIALER_FRAMES);
    auth_stream_t *acceptor = handshake_stream(hs, AUTH_ACCEPTOR_FRAMES);
    if (dialer == NULL || acceptor == NULL) {
        auth_stream_free(dialer);
        auth_stream_free(acceptor);
        return false;
    }
    *sender = hs->dialer ? dialer : acceptor;
    *receiver = hs->dialer ? acceptor : dialer;
    return true;
}

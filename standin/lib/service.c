#include "standin/lib/service.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>

int64_t
service_now_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static void
stop_signals(sigset_t *set)
{
    sigemptyset(set);
    sigaddset(set, SIGTERM);
    sigaddset(set, SIGINT);
}

void
service_block_signals(void)
{
    sigset_t set;
    stop_signals(&set);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    // NOLINTNEXTLINE(bugprone-signal-handler)
    (void)signal(SIGPIPE, SIG_IGN);
}

void
service_wait_signal(void)
{
    sigset_t set;
    int received = 0;
    stop_signals(&set);
    (void)sigwait(&set, &received);
}

bool
service_init(struct _u_instance *http, struct sockaddr_in *address,
             uint16_t port)
{
    *address =
        (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons(port)};
    address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return ulfius_init_instance(http, port, address, NULL) == U_OK;
}

bool
service_start(struct _u_instance *http)
{
    /* ulfius_start_framework() uses select(), which fails with more than 1024
       open files. */
    unsigned flags = MHD_USE_THREAD_PER_CONNECTION |
                     MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
    struct MHD_OptionItem options[] = {
        {.option = MHD_OPTION_NOTIFY_COMPLETED,
         .value = (intptr_t)mhd_request_completed},
        {.option = MHD_OPTION_URI_LOG_CALLBACK,
         .value = (intptr_t)ulfius_uri_logger},
        {.option = MHD_OPTION_SOCK_ADDR, .ptr_value = http->bind_address},
        {.option = MHD_OPTION_END},
    };
    return ulfius_start_framework_with_mhd_options(http, flags, options) ==
           U_OK;
}

int
service_run(struct _u_instance *http)
{
    bool started = service_start(http);
    if (started) {
        service_wait_signal();
        ulfius_stop_framework(http);
    }
    else {
        (void)fprintf(stderr, "cannot listen on port %u\n", http->port);
    }
    ulfius_clean_instance(http);
    return started ? 0 : 1;
}

void
service_reply(struct _u_response *response, unsigned status, json_t *body)
{
    ulfius_set_json_body_response(response, status, body);
    json_decref(body);
}

json_t *
service_request_json(const struct _u_request *request)
{
    json_t *body =
        json_loadb(request->binary_body, request->binary_body_length, 0, NULL);
    if (!json_is_object(body)) {
        json_decref(body);
        return NULL;
    }
    return body;
}

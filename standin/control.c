/*
 * standin-control: sends one HTTP request to a stand-in or a daemon, for
 * scripts.
 *
 *     standin-control [--wait] METHOD URL [BODY]
 *
 * Prints the reply and exits with 0 if its status is 2xx. With --wait, repeats
 * the request until the status is 2xx, up to 200 times with 0.1 s between
 * them, and prints nothing.
 */
#include <curl/curl.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum { WAIT_TRIES = 200 };

#define TIMEOUT_MS 10000L
#define WAIT_STEP_NS 100000000L

static size_t
on_data(char *data, size_t size, size_t count, void *user)
{
    FILE *out = user;
    return fwrite(data, size, count, out);
}

static bool
call(char **arguments, FILE *out)
{
    CURL *curl = curl_easy_init();
    long status = 0;
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, arguments[0]);
    curl_easy_setopt(curl, CURLOPT_URL, arguments[1]);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, out);
    if (arguments[2] != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, arguments[2]);
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    }
    curl_easy_cleanup(curl);
    return status >= 200 && status < 300;
}

static bool
call_until_ok(char **arguments)
{
    struct timespec pause = {.tv_nsec = WAIT_STEP_NS};
    FILE *discard = fopen("/dev/null", "we");
    bool ok = false;
    for (int i = 0; discard != NULL && !ok && i < WAIT_TRIES; i++) {
        ok = call(arguments, discard);
        if (!ok) {
            (void)nanosleep(&pause, NULL);
        }
    }
    if (discard != NULL) {
        (void)fclose(discard);
    }
    return ok;
}

int
main(int argc, char **argv)
{
    bool wait = argc > 1 && strcmp(argv[1], "--wait") == 0;
    int first = wait ? 2 : 1;
    if (argc < first + 2 || argc > first + 3) {
        (void)fprintf(stderr,
                      "usage: standin-control [--wait] METHOD URL [BODY]\n");
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    bool ok = wait ? call_until_ok(argv + first) : call(argv + first, stdout);
    curl_global_cleanup();
    return ok ? 0 : 1;
}

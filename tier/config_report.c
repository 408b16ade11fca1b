#include "tier/config_report.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

static char *
format_text(const char *format, va_list arguments)
{
    char *text = NULL;
    return vasprintf(&text, format, arguments) >= 0 ? text : NULL;
}

/* Append an item, which takes the texts; a text that is NULL means that memory
   has run out. */
static void
items_take(config_report_t *report, config_items_t *items, char *object,
           char *value, const char *rule)
{
    config_item_t item = {object, value, strdup(rule)};
    config_item_t *grown =
        realloc(items->items, (items->count + 1) * sizeof(*grown));
    if (grown != NULL) {
        items->items = grown;
    }
    if (grown == NULL || object == NULL || value == NULL ||
        item.rule == NULL) {
        free(object);
        free(value);
        free(item.rule);
        report->unreadable = "out of memory";
        return;
    }
    items->items[items->count++] = item;
}

void
config_report_find(config_report_t *report, const char *kind, const char *name,
                   const char *rule, const char *format, ...)
{
    va_list arguments;
    char *object = NULL;
    if (asprintf(&object, "%s%s%s", kind, name[0] != '\0' ? " " : "", name) <
        0) {
        object = NULL;
    }
    va_start(arguments, format);
    items_take(report, &report->findings, object,
               format_text(format, arguments), rule);
    va_end(arguments);
}

void
config_report_differ(config_report_t *report, const char *kind,
                     const char *name, const char *change, const char *format,
                     ...)
{
    va_list arguments;
    char *object = NULL;
    if (asprintf(&object, "%s%s%s", kind, name[0] != '\0' ? " " : "", name) <
        0) {
        object = NULL;
    }
    va_start(arguments, format);
    items_take(report, &report->differences, object,
               format_text(format, arguments), change);
    va_end(arguments);
}

config_status_t
config_report_status(const config_report_t *report)
{
    return report->unreadable != NULL   ? CONFIG_UNREADABLE
           : report->findings.count > 0 ? CONFIG_FINDINGS
                                        : CONFIG_CLEAN;
}

/* Write a text with its control characters replaced: names come from the
   configuration and must not control the terminal. */
static void
write_text(const char *text, FILE *file)
{
    for (; *text != '\0'; text++) {
        unsigned char byte = (unsigned char)*text;
        fputc(byte < ' ' || byte == 0x7f ? '?' : byte, file);
    }
}

static void
write_items(const config_items_t *items, const char *kind, FILE *file)
{
    for (uint32_t i = 0; i < items->count; i++) {
        fprintf(file, "%s: ", kind);
        write_text(items->items[i].object, file);
        fprintf(file, ": %s (", items->items[i].rule);
        write_text(items->items[i].value, file);
        fprintf(file, ")\n");
    }
}

static json_t *
items_json(const config_items_t *items, const char *rule)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < items->count; i++) {
        const config_item_t *item = &items->items[i];
        json_array_append_new(list, json_pack("{s:s, s:s, s:s}", "object",
                                              item->object, "value",
                                              item->value, rule, item->rule));
    }
    return list;
}

void
config_report_write(const config_report_t *report, FILE *file, bool as_json)
{
    static const char *const statuses[] = {
        [CONFIG_CLEAN] = "clean",
        [CONFIG_FINDINGS] = "findings",
        [CONFIG_UNREADABLE] = "unreadable",
    };
    const char *status = statuses[config_report_status(report)];
    if (!as_json) {
        write_items(&report->findings, "finding", file);
        write_items(&report->differences, "difference", file);
        if (report->unreadable != NULL) {
            fprintf(file, "unreadable: %s\n", report->unreadable);
        }
        fprintf(file, "%s: %u findings, %u differences\n", status,
                report->findings.count, report->differences.count);
        return;
    }
    json_t *root = json_pack(
        "{s:s, s:s?, s:o, s:o}", "status", status, "error", report->unreadable,
        "findings", items_json(&report->findings, "rule"), "differences",
        items_json(&report->differences, "change"));
    json_dumpf(root, file, JSON_INDENT(2));
    fputc('\n', file);
    json_decref(root);
}

static void
items_release(config_items_t *items)
{
    for (uint32_t i = 0; i < items->count; i++) {
        free(items->items[i].object);
        free(items->items[i].value);
        free(items->items[i].rule);
    }
    free(items->items);
}

void
config_report_release(config_report_t *report)
{
    items_release(&report->findings);
    items_release(&report->differences);
    *report = (config_report_t){0};
}

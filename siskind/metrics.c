/* /metrics: formats counters and histograms as Prometheus text. */
#include "siskind/siskind.h"

#include <stdio.h>
#include <stdlib.h>

static void
counter(FILE *f, const char *name, const char *label, const char *value,
        uint64_t n)
{
    fprintf(f, "siskin_%s{%s=\"%s\"} %llu\n", name, label, value,
            (unsigned long long)n);
}

static void
instance_metrics(FILE *f, const daemon_t *d, const view_t *v)
{
    const counters_t *c = &d->count;

    metric_print(f, "gauge", "siskin_version", v->version);
    metric_print(f, "gauge", "siskin_version_age_milliseconds",
                 (uint64_t)v->version_age);
    metric_print(f, "gauge", "siskin_flows", v->flows);
    metric_print(f, "gauge", "siskin_hints", v->hints);
    metric_print(f, "gauge", "siskin_exchanges", v->exchanges);
    metric_print(f, "gauge", "siskin_peers", v->n_peers);
    metric_print(f, "counter", "siskin_datagrams_received_total",
                 counter_read(&c->received));
    metric_print(f, "counter", "siskin_datagrams_sent_total",
                 counter_read(&c->sent));
    metric_print(f, "counter", "siskin_stale_received_total",
                 counter_read(&c->stale_in));
    metric_print(f, "counter", "siskin_stale_sent_total",
                 counter_read(&c->stale_out));
    metric_print(f, "counter", "siskin_too_long_total",
                 counter_read(&c->too_long));
    metric_print(f, "counter", "siskin_peer_refused_total",
                 counter_read(&c->peer_refused));
    metric_print(f, "counter", "siskin_send_full_total",
                 counter_read(&c->send_full));
    metric_print(f, "counter", "siskin_send_failed_total",
                 counter_read(&c->send_failed));
    metric_print(f, "counter", "siskin_no_socket_total",
                 counter_read(&c->no_socket));
    metric_print(f, "counter", "siskin_control_bytes_total",
                 counter_read(&c->control_bytes));
    metric_print(f, "counter", "siskin_platform_calls_total",
                 counter_read(&c->watch_calls) +
                     counter_read(&c->roster_calls));
    metric_print(f, "counter", "siskin_bulk_served_total",
                 counter_read(&c->bulk_served));
    metric_print(f, "counter", "siskin_bulk_fetched_total",
                 counter_read(&c->bulk_fetched));
    metric_print(f, "counter", "siskin_bulk_refused_total",
                 counter_read(&c->bulk_refused));
    metric_print(f, "counter", "siskin_bulk_bytes_total",
                 counter_read(&c->bulk_bytes));
}

static void
inbox_metrics(FILE *f, const daemon_t *d)
{
    static const char *const sock[] = {[SOCK_SERVICE] = "service",
                                       [SOCK_RETURN] = "return",
                                       [SOCK_OWN] = "own",
                                       [SOCK_PEER] = "peer"};
    static const char *const duty[] = {"receive", "decide", "send",
                                       "roster",  "bulk",   "main"};

    fprintf(f, "# TYPE siskin_shed_total counter\n");
    for (int i = 0; i < 4; i++) {
        counter(f, "shed_total", "socket", sock[i],
                counter_read(&d->count.shed[i]));
    }
    fprintf(f, "# TYPE siskin_inbox_full_total counter\n");
    for (size_t i = 0; i < sizeof(duty) / sizeof(duty[0]); i++) {
        counter(f, "inbox_full_total", "duty", duty[i],
                duty_refused_count(kern_find(d->kern, duty[i])));
    }
}

static void
wait_histogram(FILE *f, const char *service, const char *class,
               const hist_t *h)
{
    char labels[256];

    snprintf(labels, sizeof(labels), "service=\"%s\",class=\"%s\"", service,
             class);
    hist_print(f, "siskin_wait_milliseconds", labels, h);
}

/* Unlabelled counters of a service.  The field's name is the metric's name. */
static const struct {
    const char *name;
    size_t offset;
} service_counters[] = {
#define FIELD(x)                                                              \
    {                                                                         \
#x "_total", offsetof(core_stats_t, x)                                \
    }
    FIELD(datagrams_in), FIELD(datagrams_out), FIELD(malformed),
    FIELD(steered),      FIELD(steered_in),    FIELD(steer_loops),
    FIELD(hinted),       FIELD(misdirected),   FIELD(retries),
    FIELD(duplicates),   FIELD(fenced),        FIELD(late_answers),
    FIELD(silent_flows), FIELD(sync_sent),     FIELD(sync_bytes),
    FIELD(flow_evicted), FIELD(untrusted),
#undef FIELD
};

static void
service_metrics(FILE *f, const view_t *v)
{
    size_t n = sizeof(service_counters) / sizeof(service_counters[0]);

    for (size_t k = 0; k < n; k++) {
        fprintf(f, "# TYPE siskin_%s counter\n", service_counters[k].name);
        for (size_t i = 0; i < v->n_services; i++) {
            const char *stats = (const char *)&v->services[i].stats;
            counter(f, service_counters[k].name, "service",
                    v->services[i].name,
                    *(const uint64_t *)(stats + service_counters[k].offset));
        }
    }
}

static void
service_counter(FILE *f, const char *name, const char *service,
                const char *label, const char *value, uint64_t n)
{
    fprintf(f, "siskin_%s{service=\"%s\",%s=\"%s\"} %llu\n", name, service,
            label, value, (unsigned long long)n);
}

static void
class_metrics(FILE *f, const view_t *v)
{
    fprintf(f, "# TYPE siskin_requests_total counter\n");
    for (size_t i = 0; i < v->n_services; i++) {
        const service_view_t *s = &v->services[i];
        for (int k = 0; k < CLASS_COUNT; k++) {
            service_counter(f, "requests_total", s->name, "class",
                            class_name((class_t)k), s->stats.requests[k]);
        }
    }
    fprintf(f, "# TYPE siskin_refused_total counter\n");
    for (size_t i = 0; i < v->n_services; i++) {
        const service_view_t *s = &v->services[i];
        for (int k = 0; k < REFUSE_COUNT; k++) {
            service_counter(f, "refused_total", s->name, "reason",
                            refuse_name((refuse_t)k), s->stats.refused[k]);
        }
    }
    fprintf(f, "# TYPE siskin_wait_milliseconds histogram\n");
    for (size_t i = 0; i < v->n_services; i++) {
        const service_view_t *s = &v->services[i];
        for (int k = 0; k < CLASS_COUNT; k++) {
            wait_histogram(f, s->name, class_name((class_t)k),
                           &s->stats.wait_ms[k]);
        }
    }
}

char *
report_metrics(const daemon_t *d, const view_t *v)
{
    char *text = NULL;
    size_t len = 0;
    FILE *f = open_memstream(&text, &len);

    if (f == NULL) {
        return NULL;
    }
    instance_metrics(f, d, v);
    inbox_metrics(f, d);
    service_metrics(f, v);
    class_metrics(f, v);
    fclose(f);
    return text;
}

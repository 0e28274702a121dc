/* Metrics and status of a tagged instance. */
#include "tagged/tagged.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

static void
line(FILE *f, const char *type, const char *name, uint64_t n)
{
    fprintf(f, "# TYPE siskin_%s %s\nsiskin_%s %llu\n", name, type, name,
            (unsigned long long)n);
}

static void
histogram(FILE *f, const char *name, const hist_t *h)
{
    fprintf(f, "# TYPE %s histogram\n", name);
    hist_print(f, name, "", h);
}

static const char *const probe_names[PROBE_RESULTS] = {
    [PROBE_ANSWERED] = "answered",
    [PROBE_REFUSED] = "refused",
    [PROBE_SILENT] = "silent",
    [PROBE_NONE] = "not-made",
};

static void
flow_metrics(FILE *f, const flow_stats_t *s)
{
    line(f, "gauge", "version", s->version);
    line(f, "gauge", "routes", s->routes);
    line(f, "gauge", "upstreams", s->upstreams);
    line(f, "gauge", "upstreams_usable", s->usable);
    line(f, "gauge", "flows", s->records);
    line(f, "counter", "flows_reset_total", s->resets);
    line(f, "counter", "flows_forgotten_total", s->forgotten);
    fprintf(f, "# TYPE siskin_packets_total counter\n");
    for (int i = 0; i < FLOW_REASONS; i++) {
        fprintf(f, "siskin_packets_total{reason=\"%s\"} %llu\n",
                flow_reason_name((flow_reason_t)i),
                (unsigned long long)s->packets[i]);
    }
    fprintf(f, "# TYPE siskin_probes_total counter\n");
    for (int i = 0; i < PROBE_RESULTS; i++) {
        fprintf(f, "siskin_probes_total{result=\"%s\"} %llu\n", probe_names[i],
                (unsigned long long)s->probes[i]);
    }
    histogram(f, "siskin_answer_milliseconds", &s->answer_ms);
    histogram(f, "siskin_open_milliseconds", &s->open_ms);
}

static flow_stats_t
copy_stats(tagged_t *t)
{
    flow_stats_t s;

    pthread_mutex_lock(&t->stats_lock);
    s = t->stats;
    pthread_mutex_unlock(&t->stats_lock);
    return s;
}

char *
tagged_metrics(tagged_t *t)
{
    const tagged_counters_t *c = &t->count;
    const flow_stats_t s = copy_stats(t);
    char *text = NULL;
    size_t len = 0;
    FILE *f = open_memstream(&text, &len);

    if (f == NULL) {
        return NULL;
    }
    flow_metrics(f, &s);
    line(f, "counter", "received_total", counter_read(&c->received));
    line(f, "counter", "sent_total", counter_read(&c->sent));
    line(f, "counter", "unreadable_total", counter_read(&c->unreadable));
    line(f, "counter", "send_failed_total", counter_read(&c->send_failed));
    line(f, "counter", "pauses_total", counter_read(&c->pauses));
    line(f, "gauge", "store_up", SHARED(t, store_up));
    line(f, "gauge", "store_revision", replica_revision(t->replica));
    line(f, "gauge", "replica_age_milliseconds",
         (uint64_t)(clock_now() - replica_current_at(t->replica)));
    line(f, "counter", "store_calls_total",
         store_calls(t->store) + store_calls(t->writer));
    line(f, "counter", "store_failures_total",
         counter_read(&c->store_failures));
    line(f, "counter", "store_items_refused_total",
         counter_read(&c->refused_items));
    line(f, "counter", "peer_calls_total", counter_read(&c->peer_calls));
    line(f, "counter", "peer_failures_total", counter_read(&c->peer_failures));
    line(f, "counter", "news_from_check_total",
         counter_read(&c->news_from_check));
    line(f, "counter", "log_lines_limited_total",
         counter_read(&c->lines_limited));
    line(f, "counter", "log_lines_left_out_total", log_left_out());
    fclose(f);
    return text;
}

char *
tagged_status(tagged_t *t)
{
    const flow_stats_t s = copy_stats(t);
    json_t *o = json_pack(
        "{ss ss sb sb sb sI sI sI sI sI sI}", "instance", t->settings.name,
        "data_centre", t->settings.data_centre, "ready", SHARED(t, ready),
        "leaving", SHARED(t, leaving), "store_up", SHARED(t, store_up),
        "version", (json_int_t)s.version, "revision",
        (json_int_t)replica_revision(t->replica), "replica_age_ms",
        (json_int_t)(clock_now() - replica_current_at(t->replica)),
        "upstreams", (json_int_t)s.upstreams, "usable", (json_int_t)s.usable,
        "flows", (json_int_t)s.records);
    char *text = json_dumps(o, JSON_INDENT(2));

    json_decref(o);
    return text;
}

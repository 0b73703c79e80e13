#include "forward.h"

#include <ctype.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "guard.h"
#include "sas/metrics.h"

#define RETRY_AFTER_S 1
#define OWN_HEADERS 2
#define PACE_SAMPLES 32

enum call_state {
    CALL_CLAIMING, /* the store is asked for the claim */
    CALL_WAITING,  /* for a free slot */
    CALL_RUNNING,  /* an attempt is on its way */
    CALL_KEEPING,  /* the store is keeping the outcome */
    CALL_OVER
};

/* How fast this node gets requests of a service done. */
struct pace {
    int running;
    double elapsed_ms; /* of an attempt, a moving average */
};

struct sas_forward {
    struct sas_forward_parts parts;
    GQueue *waiting; /* of struct sas_forward_call, one queue a service */
    int active;
    struct sas_retry *retries; /* by service */
    int *candidates;           /* backend servers, those of a service side
                                  by side */
    int *candidate_starts;     /* by service, and one more */
    struct pace *paces;        /* by service */
    uint64_t next_id;
};

struct sas_forward_call {
    struct sas_upstream_call attempt; /* first: upstream's vtable */
    struct sas_claims_user claims_user;
    struct sas_forward *forward;
    struct sas_forward_reply *reply; /* NULL once the caller has gone */
    struct sas_forward_request request;
    enum call_state state;
    uv_timer_t timer; /* the deadline, or the end of waiting */
    int64_t deadline_at;
    GStringChunk *texts;
    GArray *headers; /* of struct sas_http_header, as sent on */
    char *own_body;  /* a copy that outlives the caller's, or NULL */
    bool once;
    bool idempotent;
    struct sas_claims_claim *claim;
    struct sas_fingerprint fingerprint;
    struct sas_steer_query query;
    struct sas_steer_grant grant;
    int64_t attempt_at;
    int64_t waiting_since;
    int64_t answer_bytes;
    int attempts;
    bool in_trial;     /* it runs alone as a suspect */
    bool may_have_run; /* an earlier attempt was sent and lost */
    bool stalled;      /* an earlier attempt met a silent connection */

    /* the answer */
    int status;
    GArray *answer_headers; /* of struct sas_http_header */
    int64_t answer_length;
    GString *held; /* body bytes that were not passed on yet */
    bool streaming;
    bool shed;
};

static const struct sas_upstream_vtable attempt_vtable;
static const struct sas_claims_vtable claims_vtable;
static void acquire(struct sas_forward_call *call);
static void refuse(struct sas_forward_call *call, enum sas_refusal reason,
                   enum sas_outcome outcome, int retry_after_s);
static void finish(struct sas_forward_call *call);
static void on_timer(uv_timer_t *timer);
static void copy_headers(struct sas_forward_call *call,
                         const struct sas_http_header *headers, int count,
                         GArray *out);
static void check_and_start(struct sas_forward_call *call);

static void
list_candidates(struct sas_forward *forward)
{
    const struct sas_model *model = forward->parts.model;
    int count = 0;
    forward->candidates = g_new0(int, model->backend_count);
    forward->candidate_starts = g_new0(int, model->service_count + 1);
    for (int s = 0; s < model->service_count; s++) {
        for (int b = 0; b < model->backend_count; b++) {
            if (model->backends[b].service == s) {
                forward->candidates[count++] = b;
            }
        }
        forward->candidate_starts[s + 1] = count;
    }
}

struct sas_forward *
SasForward_Open(const struct sas_forward_parts *parts)
{
    struct sas_forward *forward = g_new0(struct sas_forward, 1);
    forward->parts = *parts;
    forward->waiting = g_new0(GQueue, parts->model->service_count);
    forward->retries = g_new0(struct sas_retry, parts->model->service_count);
    for (int i = 0; i < parts->model->service_count; i++) {
        g_queue_init(&forward->waiting[i]);
        SasRetry_Init(&forward->retries[i], (int64_t)uv_now(parts->loop));
        forward->retries[i].share_percent = (int)(parts->retry_share * 100);
    }
    forward->paces = g_new0(struct pace, parts->model->service_count);
    list_candidates(forward);
    return forward;
}

void
SasForward_Close(struct sas_forward *forward)
{
    g_free(forward->waiting);
    g_free(forward->retries);
    g_free(forward->paces);
    g_free(forward->candidates);
    g_free(forward->candidate_starts);
    g_free(forward);
}

static bool
is_idempotent(const char *method)
{
    static const char *const names[] = {"GET",    "HEAD",    "PUT",
                                        "DELETE", "OPTIONS", "TRACE"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(method, names[i]) == 0) {
            return true;
        }
    }
    return false;
}

struct sas_forward_call *
SasForward_Begin(struct sas_forward *forward,
                 const struct sas_forward_request *request,
                 struct sas_forward_reply *reply)
{
    const struct sas_forward_parts *parts = &forward->parts;
    struct sas_forward_call *call = g_new0(struct sas_forward_call, 1);
    forward->active++;
    SasMetrics_Add(parts->counters->metrics, parts->counters->requests, 1);
    call->forward = forward;
    call->reply = reply;
    call->claims_user.vtable = &claims_vtable;
    call->texts = g_string_chunk_new(1024);
    call->headers = g_array_new(FALSE, FALSE, sizeof(struct sas_http_header));
    call->answer_headers =
        g_array_new(FALSE, FALSE, sizeof(struct sas_http_header));
    call->held = g_string_new(NULL);
    call->request = *request;
    call->request.method = g_string_chunk_insert(call->texts, request->method);
    call->request.target = g_string_chunk_insert(call->texts, request->target);
    call->request.caller = g_string_chunk_insert(call->texts, request->caller);
    copy_headers(call, request->headers, request->header_count, call->headers);
    /* Many servers take both spellings of a path for the same. */
    call->once =
        SasModel_IsOnceRoute(parts->model, request->service,
                             request->target) ||
        SasModel_IsOnceRoute(parts->model, request->service, request->route);
    call->idempotent = !call->once && is_idempotent(request->method);
    call->query.service = request->service;
    call->query.caller_ip = request->caller_ip;
    call->query.bytes = (int64_t)request->body_size;
    uv_timer_init(parts->loop, &call->timer);
    call->timer.data = call;
    call->deadline_at = (int64_t)uv_now(parts->loop) +
                        MIN(request->deadline_ms, SasForward_MAX_DEADLINE_MS);
    call->fingerprint = SasQuarantine_GetFingerprint(
        request->method, request->target, request->body, request->body_size);
    check_and_start(call);
    return call;
}

/* Asks the guard; call->query.alone says whether it has to run alone. */
static enum sas_quarantine_verdict
ask_guard(struct sas_forward_call *call, int *retry_after_s)
{
    enum sas_quarantine_verdict verdict = SasGuard_Check(
        call->forward->parts.guard, call->fingerprint, retry_after_s);
    /* The trial that is under way is this call's own, and its first backend
     * server could not be reached. */
    if (verdict == SAS_QUARANTINE_WAIT && call->in_trial) {
        verdict = SAS_QUARANTINE_ALONE;
    }
    call->query.alone = verdict == SAS_QUARANTINE_ALONE;
    call->query.fingerprint = call->fingerprint.low;
    return verdict;
}

/* True when the request may run, else it has been refused. */
static bool
check_guard(struct sas_forward_call *call)
{
    int retry_after_s = 0;
    enum sas_quarantine_verdict verdict = ask_guard(call, &retry_after_s);
    if (verdict == SAS_QUARANTINE_WAIT) {
        refuse(call, SAS_REFUSE_SUSPECT, SAS_OUTCOME_NOT_RUN, retry_after_s);
        return false;
    }
    if (verdict == SAS_QUARANTINE_REFUSE) {
        /* An earlier sending of it ran, in part at least. */
        refuse(call, SAS_REFUSE_QUARANTINED, SAS_OUTCOME_UNKNOWN,
               retry_after_s);
        return false;
    }
    return true;
}

/* Refuses at once what must not start, claims what may not repeat. */
static void
check_and_start(struct sas_forward_call *call)
{
    const struct sas_forward_parts *parts = &call->forward->parts;
    if (call->once && call->request.key == NULL) {
        refuse(call, SAS_REFUSE_KEY_MISSING, SAS_OUTCOME_NOT_RUN, 0);
        return;
    }
    if (!check_guard(call)) {
        return;
    }
    if (!call->once) {
        acquire(call);
        return;
    }
    /* Once it is sent it runs to its end even when its caller goes, so that
     * the outcome can be kept; the caller's copy of the body goes then. */
    call->own_body = g_memdup2(call->request.body, call->request.body_size);
    call->request.body = call->own_body;
    struct sas_claims_key key = {
        .service = parts->model->services[call->request.service].name,
        .caller = call->request.caller,
        .key = g_string_chunk_insert(call->texts, call->request.key),
        .method = call->request.method,
        .target = call->request.target,
        .body = call->request.body,
        .body_size = call->request.body_size,
    };
    call->state = CALL_CLAIMING;
    call->claim = SasClaims_Begin(parts->claims, &key, &call->claims_user);
}

/* Ending. */

static void
on_timer_closed(uv_handle_t *handle)
{
    struct sas_forward_call *call = handle->data;
    g_string_chunk_free(call->texts);
    g_array_free(call->headers, TRUE);
    g_array_free(call->answer_headers, TRUE);
    g_string_free(call->held, TRUE);
    g_free(call->own_body);
    g_free(call);
}

static void
finish(struct sas_forward_call *call)
{
    call->state = CALL_OVER;
    call->reply = NULL;
    call->forward->active--;
    uv_close((uv_handle_t *)&call->timer, on_timer_closed);
}

static void
refuse(struct sas_forward_call *call, enum sas_refusal reason,
       enum sas_outcome outcome, int retry_after_s)
{
    const struct sas_counters *counters = call->forward->parts.counters;
    SasMetrics_Add(counters->metrics, counters->refusals[reason], 1);
    /* One of several attempts may have run, whatever the last one says. */
    if (outcome == SAS_OUTCOME_NOT_RUN && call->may_have_run) {
        outcome = SAS_OUTCOME_UNKNOWN;
    }
    if (call->claim != NULL) {
        struct sas_claims_claim *claim = call->claim;
        call->claim = NULL;
        if (outcome == SAS_OUTCOME_NOT_RUN) {
            SasClaims_Release(claim);
        }
        else {
            SasClaims_Lose(claim);
        }
    }
    struct sas_forward_reply *reply = call->reply;
    finish(call);
    if (reply != NULL) {
        reply->vtable->on_refuse(reply, reason, outcome, retry_after_s);
    }
}

static void
release_grant(struct sas_forward_call *call)
{
    struct sas_forward *forward = call->forward;
    struct pace *pace = &forward->paces[call->request.service];
    int64_t now = (int64_t)uv_now(forward->parts.loop);
    pace->running--;
    pace->elapsed_ms +=
        ((double)(now - call->attempt_at) - pace->elapsed_ms) / PACE_SAMPLES;
    SasSteer_Release(forward->parts.steer, call->request.service, &call->grant,
                     call->answer_bytes);
    SasForward_Wake(forward);
}

void
SasForward_Cancel(struct sas_forward_call *call)
{
    const struct sas_counters *counters = call->forward->parts.counters;
    call->reply = NULL;
    switch (call->state) {
    case CALL_CLAIMING:
    case CALL_KEEPING:
        return; /* goes on by itself and ends with nobody to tell */
    case CALL_WAITING:
        g_queue_remove(&call->forward->waiting[call->request.service], call);
        refuse(call, SAS_REFUSE_CALLER_GONE, SAS_OUTCOME_NOT_RUN, 0);
        return;
    case CALL_RUNNING:
        if (call->once) {
            return;
        }
        SasMetrics_Add(counters->metrics,
                       counters->refusals[SAS_REFUSE_CALLER_GONE], 1);
        SasUpstream_Cancel(&call->attempt);
        call->state = CALL_OVER;
        release_grant(call);
        finish(call);
        return;
    case CALL_OVER:
        return;
    }
}

void
SasForward_Pause(struct sas_forward_call *call)
{
    if (call->state == CALL_RUNNING) {
        SasUpstream_Pause(&call->attempt);
    }
}

void
SasForward_Resume(struct sas_forward_call *call)
{
    if (call->state == CALL_RUNNING) {
        SasUpstream_Resume(&call->attempt);
    }
}

int
SasForward_CountActive(const struct sas_forward *forward)
{
    return forward->active;
}

/* Waiting and starting an attempt. */

static void
arm_timer(struct sas_forward_call *call, int64_t at)
{
    int64_t now = (int64_t)uv_now(call->forward->parts.loop);
    uv_timer_start(&call->timer, on_timer, (uint64_t)MAX(at - now, 0), 0);
}

static void
start_attempt(struct sas_forward_call *call)
{
    struct sas_forward *forward = call->forward;
    const struct sas_forward_parts *parts = &forward->parts;
    int64_t now = (int64_t)uv_now(parts->loop);
    call->state = CALL_RUNNING;
    forward->paces[call->request.service].running++;
    call->attempt_at = now;
    call->waiting_since = 0;
    call->answer_bytes = 0;
    call->shed = false;
    call->attempts++;
    uv_timer_stop(&call->timer);
    if (call->attempts == 1) {
        SasRetry_NoteFirst(&forward->retries[call->request.service], now);
    }
    char left[24];
    snprintf(left, sizeof(left), "%" G_GINT64_FORMAT, call->deadline_at - now);
    snprintf(call->attempt.request_id, sizeof(call->attempt.request_id),
             "%s-%" G_GINT64_MODIFIER "x-%d", parts->id_prefix,
             forward->next_id++, call->attempts);
    guint count = call->headers->len;
    g_autofree struct sas_http_header *headers =
        g_new(struct sas_http_header, count + OWN_HEADERS);
    for (guint i = 0; i < count; i++) {
        headers[i] = g_array_index(call->headers, struct sas_http_header, i);
    }
    headers[count].name = "Sas-Deadline-Ms";
    headers[count].value = left;
    headers[count + 1].name = "Sas-Request-Id";
    headers[count + 1].value = call->attempt.request_id;
    struct sas_http_request request = {
        .method = call->request.method,
        .target = call->request.target,
        .headers = headers,
        .header_count = (int)count + OWN_HEADERS,
        .body = call->request.body,
        .body_size = call->request.body_size,
    };
    if (call->claim != NULL) {
        SasClaims_MarkSent(call->claim);
    }
    if (call->grant.cross_region) {
        SasMetrics_Add(parts->counters->metrics, parts->counters->cross_region,
                       1);
    }
    SasUpstream_Send(parts->upstream, call->grant.backend, &request,
                     call->deadline_at - now,
                     !call->idempotent || call->stalled, &attempt_vtable,
                     &call->attempt);
}

/* False when the call may run only alone and is running so elsewhere. */
static bool
begin_trial(struct sas_forward_call *call)
{
    if (call->grant.alone && !call->in_trial) {
        call->in_trial =
            SasGuard_BeginTrial(call->forward->parts.guard, call->fingerprint,
                                call->query.lasts_ms);
        return call->in_trial;
    }
    return true;
}

/* Asks for a slot; true when the call has gone on or has ended. */
static bool
try_acquire(struct sas_forward_call *call)
{
    int64_t now = (int64_t)uv_now(call->forward->parts.loop);
    call->query.lasts_ms = call->deadline_at - now;
    call->query.waited_ms =
        call->waiting_since > 0 ? now - call->waiting_since : 0;
    enum sas_refusal reason = SAS_REFUSE_NO_HEADROOM;
    enum sas_steer_answer answer = SasSteer_Acquire(
        call->forward->parts.steer, &call->query, &call->grant, &reason);
    if (answer == SAS_STEER_GRANTED && !begin_trial(call)) {
        SasSteer_Release(call->forward->parts.steer, call->request.service,
                         &call->grant, 0);
        refuse(call, SAS_REFUSE_SUSPECT, SAS_OUTCOME_NOT_RUN, RETRY_AFTER_S);
        return true;
    }
    if (answer == SAS_STEER_GRANTED) {
        start_attempt(call);
        return true;
    }
    if (answer == SAS_STEER_REFUSED) {
        refuse(call, reason, SAS_OUTCOME_NOT_RUN, RETRY_AFTER_S);
        return true;
    }
    return false;
}

/* Whoever would wait longer than is allowed, by the pace of those before it,
 * is told so at once instead of after that wait. */
static bool
is_hopeless(const struct sas_forward_call *call)
{
    const struct sas_forward *forward = call->forward;
    const struct pace *pace = &forward->paces[call->request.service];
    int ahead = (int)forward->waiting[call->request.service].length;
    double wait_ms = (ahead + 1) * pace->elapsed_ms / MAX(pace->running, 1);
    return pace->running > 0 && wait_ms > (double)forward->parts.queue_wait_ms;
}

static void
acquire(struct sas_forward_call *call)
{
    struct sas_forward *forward = call->forward;
    int64_t now = (int64_t)uv_now(forward->parts.loop);
    GQueue *queue = &forward->waiting[call->request.service];
    if (now >= call->deadline_at) {
        refuse(call, SAS_REFUSE_DEADLINE, SAS_OUTCOME_NOT_RUN, RETRY_AFTER_S);
        return;
    }
    bool others_first = !g_queue_is_empty(queue) && call->attempts == 0;
    if (!others_first && try_acquire(call)) {
        return;
    }
    if (is_hopeless(call)) {
        refuse(call, SAS_REFUSE_NO_HEADROOM, SAS_OUTCOME_NOT_RUN,
               RETRY_AFTER_S);
        return;
    }
    if (g_queue_get_length(queue) >= SasForward_MAX_WAITING) {
        refuse(call, SAS_REFUSE_QUEUE_FULL, SAS_OUTCOME_NOT_RUN,
               RETRY_AFTER_S);
        return;
    }
    call->state = CALL_WAITING;
    call->waiting_since = now;
    g_queue_push_tail(queue, call);
    arm_timer(call,
              MIN(call->deadline_at, now + forward->parts.queue_wait_ms));
}

void
SasForward_Wake(struct sas_forward *forward)
{
    for (int i = 0; i < forward->parts.model->service_count; i++) {
        GQueue *queue = &forward->waiting[i];
        while (!g_queue_is_empty(queue)) {
            struct sas_forward_call *call = g_queue_pop_head(queue);
            if (!try_acquire(call)) {
                g_queue_push_head(queue, call);
                break;
            }
        }
    }
}

static void
on_timer(uv_timer_t *timer)
{
    struct sas_forward_call *call = timer->data;
    int64_t now = (int64_t)uv_now(call->forward->parts.loop);
    if (call->state != CALL_WAITING) {
        return;
    }
    g_queue_remove(&call->forward->waiting[call->request.service], call);
    refuse(call,
           now >= call->deadline_at ? SAS_REFUSE_DEADLINE
                                    : SAS_REFUSE_QUEUE_TIMEOUT,
           SAS_OUTCOME_NOT_RUN, RETRY_AFTER_S);
}

/* Claims. */

static struct sas_forward_call *
get_call(struct sas_claims_user *user)
{
    return (struct sas_forward_call *)((char *)user -
                                       offsetof(struct sas_forward_call,
                                                claims_user));
}

static void
claims_on_proceed(struct sas_claims_user *user)
{
    struct sas_forward_call *call = get_call(user);
    if (call->reply == NULL) {
        refuse(call, SAS_REFUSE_CALLER_GONE, SAS_OUTCOME_NOT_RUN, 0);
        return;
    }
    acquire(call);
}

static void
pass_answer(struct sas_forward_call *call, const char *backend,
            const char *region)
{
    struct sas_forward_answer answer = {
        .status = call->status,
        .headers = (const struct sas_http_header *)call->answer_headers->data,
        .header_count = (int)call->answer_headers->len,
        .length = call->answer_length,
        .backend = backend,
        .region = region,
    };
    call->reply->vtable->on_head(call->reply, &answer);
    if (call->held->len > 0) {
        call->reply->vtable->on_body(call->reply, call->held->str,
                                     call->held->len);
        g_string_truncate(call->held, 0);
    }
}

static void
pass_own_answer(struct sas_forward_call *call)
{
    const struct sas_model *model = call->forward->parts.model;
    pass_answer(call, model->backends[call->grant.backend].name,
                model->regions[call->grant.region].name);
}

static void
end_whole(struct sas_forward_call *call)
{
    const struct sas_counters *counters = call->forward->parts.counters;
    SasMetrics_Add(counters->metrics, counters->answers, 1);
    struct sas_forward_reply *reply = call->reply;
    finish(call);
    if (reply != NULL) {
        reply->vtable->on_end(reply);
    }
}

static void
claims_on_replay(struct sas_claims_user *user, int status,
                 const struct sas_http_header *headers, int header_count,
                 const char *body, size_t body_size)
{
    struct sas_forward_call *call = get_call(user);
    call->claim = NULL;
    if (call->reply == NULL) {
        finish(call);
        return;
    }
    call->status = status;
    call->answer_length = (int64_t)body_size;
    copy_headers(call, headers, header_count, call->answer_headers);
    g_string_append_len(call->held, body, (gssize)body_size);
    pass_answer(call, NULL, NULL);
    end_whole(call);
}

static void
claims_on_refuse(struct sas_claims_user *user, enum sas_refusal reason,
                 enum sas_outcome outcome)
{
    struct sas_forward_call *call = get_call(user);
    call->claim = NULL;
    refuse(call, reason, outcome, RETRY_AFTER_S);
}

static void
claims_on_finished(struct sas_claims_user *user)
{
    struct sas_forward_call *call = get_call(user);
    call->claim = NULL;
    if (call->reply != NULL) {
        pass_own_answer(call);
    }
    end_whole(call);
}

static const struct sas_claims_vtable claims_vtable = {
    .on_proceed = claims_on_proceed,
    .on_replay = claims_on_replay,
    .on_refuse = claims_on_refuse,
    .on_finished = claims_on_finished,
};

/* Retrying. */

static bool
may_retry(struct sas_forward_call *call, enum sas_retry_reason reason,
          bool may_have_run)
{
    struct sas_forward *forward = call->forward;
    const struct sas_counters *counters = forward->parts.counters;
    int service = call->request.service;
    int64_t now = (int64_t)uv_now(forward->parts.loop);
    int start = forward->candidate_starts[service];
    enum sas_retry_verdict verdict =
        SasRetry_MayRetry(&forward->retries[service], reason, call->idempotent,
                          may_have_run ? SAS_RETRY_UNKNOWN : SAS_RETRY_NOT_RUN,
                          call->deadline_at - now, call->query.tried,
                          call->query.tried_count, forward->candidates + start,
                          forward->candidate_starts[service + 1] - start, now);
    bool granted =
        verdict == SAS_RETRY_YES && call->attempts < SasRetry_MAX_TRIES;
    SasMetrics_Add(counters->metrics,
                   granted ? counters->retries[reason]
                           : counters->retries_denied[verdict],
                   1);
    return granted;
}

static void
note_tried(struct sas_forward_call *call)
{
    if (call->query.tried_count < SasSteer_MAX_TRIED) {
        call->query.tried[call->query.tried_count++] = call->grant.backend;
    }
}

/* Tries again elsewhere, or refuses. The attempt has ended already. */
static void
retry_or_refuse(struct sas_forward_call *call, enum sas_retry_reason why,
                enum sas_refusal reason, enum sas_outcome outcome)
{
    bool may_have_run = outcome != SAS_OUTCOME_NOT_RUN;
    call->may_have_run |= may_have_run;
    note_tried(call);
    g_string_truncate(call->held, 0);
    g_array_set_size(call->answer_headers, 0);
    int retry_after_s = 0;
    enum sas_quarantine_verdict verdict = ask_guard(call, &retry_after_s);
    bool allowed =
        verdict == SAS_QUARANTINE_ALLOW || verdict == SAS_QUARANTINE_ALONE;
    if (call->reply == NULL || !allowed ||
        !may_retry(call, why, may_have_run)) {
        refuse(call, reason, outcome, MAX(retry_after_s, RETRY_AFTER_S));
        return;
    }
    acquire(call);
}

/* Attempts. */

static bool
is_shed(int status, const struct sas_http_header *headers, int header_count)
{
    const char *outcome =
        SasHttp_FindHeader(headers, header_count, "sas-outcome");
    return status == 503 && outcome != NULL && strcmp(outcome, "not-run") == 0;
}

static void
attempt_on_head(struct sas_upstream_call *attempt, int status,
                const struct sas_http_header *headers, int header_count)
{
    struct sas_forward_call *call = (struct sas_forward_call *)attempt;
    call->status = status;
    call->answer_length = -1;
    call->shed = is_shed(status, headers, header_count);
    const char *length =
        SasHttp_FindHeader(headers, header_count, "content-length");
    if (length != NULL) {
        call->answer_length = g_ascii_strtoll(length, NULL, 10);
    }
    copy_headers(call, headers, header_count, call->answer_headers);
}

static void
attempt_on_body(struct sas_upstream_call *attempt, const char *data,
                size_t size)
{
    struct sas_forward_call *call = (struct sas_forward_call *)attempt;
    call->answer_bytes += (int64_t)size;
    if (call->shed) {
        return;
    }
    if (call->streaming) {
        call->reply->vtable->on_body(call->reply, data, size);
        return;
    }
    /* The first bytes are held back, so that an answer which breaks early
     * can be asked for again without the caller seeing a part of it. */
    g_string_append_len(call->held, data, (gssize)size);
    size_t limit =
        call->once ? SasClaims_MAX_KEPT_BODY : SasForward_HOLD_BYTES;
    if (call->held->len > limit && call->reply != NULL) {
        call->streaming = true;
        pass_own_answer(call);
    }
}

static void
end_streaming(struct sas_forward_call *call, bool whole)
{
    const struct sas_counters *counters = call->forward->parts.counters;
    if (call->claim != NULL) {
        struct sas_claims_claim *claim = call->claim;
        call->claim = NULL;
        SasClaims_Lose(claim); /* ran, but too large to be kept */
    }
    if (whole) {
        end_whole(call);
        return;
    }
    SasMetrics_Add(counters->metrics, counters->aborted, 1);
    struct sas_forward_reply *reply = call->reply;
    finish(call);
    if (reply != NULL) {
        reply->vtable->on_abort(reply);
    }
}

static void
attempt_on_end(struct sas_upstream_call *attempt, bool whole)
{
    struct sas_forward_call *call = (struct sas_forward_call *)attempt;
    const struct sas_forward_parts *parts = &call->forward->parts;
    if (call->grant.alone && !call->shed) {
        SasGuard_NoteSurvived(parts->guard, call->fingerprint);
    }
    release_grant(call);
    if (call->shed) {
        retry_or_refuse(call, SAS_RETRY_SHED, SAS_REFUSE_SHED,
                        SAS_OUTCOME_NOT_RUN);
        return;
    }
    if (call->streaming) {
        end_streaming(call, whole);
        return;
    }
    if (!whole) {
        refuse(call, SAS_REFUSE_ANSWER_UNFRAMED, SAS_OUTCOME_RAN,
               RETRY_AFTER_S);
        return;
    }
    if (call->answer_length < 0) {
        call->answer_length = (int64_t)call->held->len;
    }
    if (call->claim != NULL) {
        call->state = CALL_KEEPING;
        SasClaims_Finish(
            call->claim, call->status,
            (const struct sas_http_header *)call->answer_headers->data,
            (int)call->answer_headers->len, call->held->str, call->held->len);
        return;
    }
    pass_own_answer(call);
    end_whole(call);
}

static void
attempt_on_fail(struct sas_upstream_call *attempt,
                const struct sas_http_failure *failure)
{
    struct sas_forward_call *call = (struct sas_forward_call *)attempt;
    const struct sas_forward_parts *parts = &call->forward->parts;
    bool lost = failure->sent && failure->error.code == SAS_EIO;
    if (lost && !SasSteer_IsLeaving(parts->steer, call->grant.backend)) {
        SasGuard_NoteLost(parts->guard, call->fingerprint, call->grant.backend,
                          call->grant.alone);
    }
    release_grant(call);
    if (call->streaming) {
        end_streaming(call, false);
    }
    else if (!failure->sent) {
        retry_or_refuse(call, SAS_RETRY_CONNECT, SAS_REFUSE_NO_BACKEND,
                        SAS_OUTCOME_NOT_RUN);
    }
    else if (!lost) {
        refuse(call, SAS_REFUSE_DEADLINE, SAS_OUTCOME_UNKNOWN, RETRY_AFTER_S);
    }
    else if (failure->begun) {
        retry_or_refuse(call, SAS_RETRY_CUT, SAS_REFUSE_ANSWER_CUT,
                        SAS_OUTCOME_UNKNOWN);
    }
    else {
        retry_or_refuse(call, SAS_RETRY_CUT, SAS_REFUSE_LOST,
                        SAS_OUTCOME_UNKNOWN);
    }
}

/* The connection seems to have gone silent. What may repeat is tried over
 * another one; without the backend server's own word that the request is
 * missing, only after half of the time is gone. What may not repeat waits
 * for its deadline: a second run would be worse than a late "unknown". */
static void
attempt_on_stall(struct sas_upstream_call *attempt, bool missing)
{
    struct sas_forward_call *call = (struct sas_forward_call *)attempt;
    const struct sas_forward_parts *parts = &call->forward->parts;
    int64_t now = (int64_t)uv_now(parts->loop);
    bool half_gone = now - call->attempt_at > call->deadline_at - now;
    if (!call->idempotent || !(missing || half_gone) || call->reply == NULL ||
        !may_retry(call, SAS_RETRY_STALL, true)) {
        return;
    }
    SasUpstream_Cancel(attempt);
    call->may_have_run = true;
    call->stalled = true;
    release_grant(call);
    /* A silent connection is not the fault of its backend server, which may
     * be asked again over a new one; a slow one is not asked twice. */
    if (!missing) {
        note_tried(call);
    }
    acquire(call);
}

static const struct sas_upstream_vtable attempt_vtable = {
    .on_head = attempt_on_head,
    .on_body = attempt_on_body,
    .on_end = attempt_on_end,
    .on_fail = attempt_on_fail,
    .on_stall = attempt_on_stall,
};

/* Headers. */

static bool
is_hop_by_hop(const char *name)
{
    static const char *const names[] = {
        "connection", "keep-alive",          "proxy-authenticate",
        "te",         "proxy-authorization", "trailer",
        "upgrade",    "transfer-encoding",   "proxy-connection",
        "host",       "content-length",      "expect",
        "sas-load",   "sas-deadline-ms",     "sas-request-id",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcasecmp(name, names[i]) == 0) {
            return true;
        }
    }
    return false;
}

/* True when the Connection header names this one as its own. */
static bool
is_named_by_connection(const char *connection, const char *name)
{
    if (connection == NULL) {
        return false;
    }
    g_auto(GStrv) words = g_strsplit(connection, ",", -1);
    for (int i = 0; words[i] != NULL; i++) {
        if (strcasecmp(g_strstrip(words[i]), name) == 0) {
            return true;
        }
    }
    return false;
}

static void
copy_headers(struct sas_forward_call *call,
             const struct sas_http_header *headers, int count, GArray *out)
{
    const char *connection = SasHttp_FindHeader(headers, count, "connection");
    g_array_set_size(out, 0);
    for (int i = 0; i < count; i++) {
        if (is_hop_by_hop(headers[i].name) ||
            is_named_by_connection(connection, headers[i].name)) {
            continue;
        }
        struct sas_http_header copy = {
            .name = g_string_chunk_insert(call->texts, headers[i].name),
            .value = g_string_chunk_insert(call->texts, headers[i].value),
        };
        g_array_append_val(out, copy);
    }
}

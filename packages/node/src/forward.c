#include "forward.h"

#include <string.h>

#include "forward_call.h"
#include "sas/metrics.h"

static const struct sas_claims_vtable claims_vtable;
static void check_and_start(struct sas_forward_call *call);

static void
list_candidates(struct sas_forward *forward)
{
    const struct sas_model *model = forward->options.model;
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
SasForward_Open(const struct sas_forward_options *options)
{
    struct sas_forward *forward = g_new0(struct sas_forward, 1);
    forward->options = *options;
    forward->waiting = g_new0(GQueue, options->model->service_count);
    forward->retries = g_new0(struct sas_retry, options->model->service_count);
    for (int i = 0; i < options->model->service_count; i++) {
        g_queue_init(&forward->waiting[i]);
        SasRetry_Init(&forward->retries[i], (int64_t)uv_now(options->loop));
        forward->retries[i].share_percent = (int)(options->retry_share * 100);
    }
    forward->service_times =
        g_new0(struct service_time, options->model->service_count);
    list_candidates(forward);
    return forward;
}

void
SasForward_Close(struct sas_forward *forward)
{
    g_free(forward->waiting);
    g_free(forward->retries);
    g_free(forward->service_times);
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
    const struct sas_forward_options *options = &forward->options;
    struct sas_forward_call *call = g_new0(struct sas_forward_call, 1);
    forward->active++;
    SasMetrics_Add(options->counters->metrics, options->counters->requests, 1);
    call->forward = forward;
    call->reply = reply;
    call->claims_listener.vtable = &claims_vtable;
    call->texts = g_string_chunk_new(1024);
    call->headers = g_array_new(FALSE, FALSE, sizeof(struct sas_http_header));
    call->answer_headers =
        g_array_new(FALSE, FALSE, sizeof(struct sas_http_header));
    call->buffered = g_string_new(NULL);
    call->request = *request;
    call->request.method = g_string_chunk_insert(call->texts, request->method);
    call->request.target = g_string_chunk_insert(call->texts, request->target);
    call->request.caller = g_string_chunk_insert(call->texts, request->caller);
    SasForwardCall_CopyHeaders(call, request->headers, request->header_count,
                               call->headers);
    /* Many servers treat the raw and the normalized path alike, so either may
     * match. */
    call->at_most_once =
        SasModel_IsAtMostOnceRoute(options->model, request->service,
                                   request->target) ||
        SasModel_IsAtMostOnceRoute(options->model, request->service,
                                   request->route);
    call->idempotent = !call->at_most_once && is_idempotent(request->method);
    call->query.service = request->service;
    call->query.caller_ip = request->caller_ip;
    call->query.bytes = (int64_t)request->body_size;
    uv_timer_init(options->loop, &call->timer);
    call->timer.data = call;
    call->deadline_at = (int64_t)uv_now(options->loop) +
                        MIN(request->deadline_ms, SasForward_MAX_DEADLINE_MS);
    call->fingerprint = SasQuarantine_HashRequest(
        request->method, request->target, request->body, request->body_size);
    check_and_start(call);
    return call;
}

enum sas_quarantine_decision
SasForwardCall_CheckPoison(struct sas_forward_call *call, int *retry_after_s)
{
    enum sas_quarantine_decision decision = SasPoisonGuard_Check(
        call->forward->options.poison_guard, call->fingerprint, retry_after_s);
    /* The isolated run in progress is this call's own: its first backend
     * server could not be reached. */
    if (decision == SAS_QUARANTINE_WAIT && call->isolated_run) {
        decision = SAS_QUARANTINE_ISOLATE;
    }
    call->query.isolated = decision == SAS_QUARANTINE_ISOLATE;
    call->query.fingerprint = call->fingerprint.low;
    return decision;
}

/* True when the request may run; else it was refused. */
static bool
pass_poison_check(struct sas_forward_call *call)
{
    int retry_after_s = 0;
    enum sas_quarantine_decision decision =
        SasForwardCall_CheckPoison(call, &retry_after_s);
    if (decision == SAS_QUARANTINE_WAIT) {
        SasForwardCall_Refuse(call, SAS_REFUSE_SUSPECT, SAS_OUTCOME_NOT_RUN,
                              retry_after_s);
        return false;
    }
    if (decision == SAS_QUARANTINE_REFUSE) {
        /* The same request ran before, at least in part. */
        SasForwardCall_Refuse(call, SAS_REFUSE_QUARANTINED,
                              SAS_OUTCOME_UNKNOWN, retry_after_s);
        return false;
    }
    return true;
}

/* Refuses the call, claims it when it may run at most once, or asks for a
 * slot. */
static void
check_and_start(struct sas_forward_call *call)
{
    const struct sas_forward_options *options = &call->forward->options;
    if (call->at_most_once && call->request.key == NULL) {
        SasForwardCall_Refuse(call, SAS_REFUSE_KEY_MISSING,
                              SAS_OUTCOME_NOT_RUN, 0);
        return;
    }
    if (!pass_poison_check(call)) {
        return;
    }
    if (!call->at_most_once) {
        SasForwardCall_Acquire(call);
        return;
    }
    /* Once sent, the attempt continues after its caller disconnects, so that
     * the outcome can be stored. The caller task's copy of the body is freed
     * then. */
    call->body_copy = g_memdup2(call->request.body, call->request.body_size);
    call->request.body = call->body_copy;
    struct sas_claims_key key = {
        .service = options->model->services[call->request.service].name,
        .caller = call->request.caller,
        .key = g_string_chunk_insert(call->texts, call->request.key),
        .method = call->request.method,
        .target = call->request.target,
        .body = call->request.body,
        .body_size = call->request.body_size,
    };
    call->state = CALL_CLAIMING;
    call->claim =
        SasClaims_Begin(options->claims, &key, &call->claims_listener);
}

/* Ending. */

static void
on_timer_closed(uv_handle_t *handle)
{
    struct sas_forward_call *call = handle->data;
    g_string_chunk_free(call->texts);
    g_array_free(call->headers, TRUE);
    g_array_free(call->answer_headers, TRUE);
    g_string_free(call->buffered, TRUE);
    g_free(call->body_copy);
    g_free(call);
}

void
SasForwardCall_Finish(struct sas_forward_call *call)
{
    call->state = CALL_ENDED;
    call->reply = NULL;
    call->forward->active--;
    uv_close((uv_handle_t *)&call->timer, on_timer_closed);
}

void
SasForwardCall_Refuse(struct sas_forward_call *call, enum sas_refusal reason,
                      enum sas_outcome outcome, int retry_after_s)
{
    const struct sas_counters *counters = call->forward->options.counters;
    SasMetrics_Add(counters->metrics, counters->refusals[reason], 1);
    if (retry_after_s == SasForwardCall_RETRY_AFTER_S) {
        retry_after_s = SasRetry_ChooseRetryAfter(
            retry_after_s, call->forward->options.random);
    }
    /* An earlier attempt may have run, whatever the last outcome. */
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
            SasClaims_LeaveHeld(claim);
        }
    }
    struct sas_forward_reply *reply = call->reply;
    SasForwardCall_Finish(call);
    if (reply != NULL) {
        reply->vtable->on_refuse(reply, reason, outcome, retry_after_s);
    }
}

void
SasForwardCall_LeaveClaimHeld(struct sas_forward_call *call)
{
    struct sas_claims_claim *claim = call->claim;
    call->claim = NULL;
    if (claim != NULL) {
        SasClaims_LeaveHeld(claim);
    }
}

void
SasForwardCall_Abandon(struct sas_forward_call *call)
{
    const struct sas_counters *counters = call->forward->options.counters;
    SasMetrics_Add(counters->metrics,
                   counters->refusals[SAS_REFUSE_CALLER_GONE], 1);
    SasForwardCall_LeaveClaimHeld(call);
    SasUpstream_Cancel(&call->attempt);
    call->state = CALL_ENDED;
    SasForwardCall_ReleaseGrant(call);
    SasForwardCall_Finish(call);
}

void
SasForward_Cancel(struct sas_forward_call *call)
{
    call->reply = NULL;
    switch (call->state) {
    case CALL_CLAIMING:
    case CALL_SAVING:
        return; /* continues without a caller */
    case CALL_WAITING:
        g_queue_remove(&call->forward->waiting[call->request.service], call);
        SasForwardCall_Refuse(call, SAS_REFUSE_CALLER_GONE,
                              SAS_OUTCOME_NOT_RUN, 0);
        return;
    case CALL_RUNNING:
        /* An answer that can be stored is waited for. One that is sent on as
         * it comes is too large for that. */
        if (!call->at_most_once || call->streaming) {
            SasForwardCall_Abandon(call);
        }
        return;
    case CALL_ENDED:
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

/* Claims. */

static struct sas_forward_call *
get_call(struct sas_claims_listener *listener)
{
    return (struct sas_forward_call *)((char *)listener -
                                       offsetof(struct sas_forward_call,
                                                claims_listener));
}

static void
claims_on_proceed(struct sas_claims_listener *listener)
{
    struct sas_forward_call *call = get_call(listener);
    if (call->reply == NULL) {
        SasForwardCall_Refuse(call, SAS_REFUSE_CALLER_GONE,
                              SAS_OUTCOME_NOT_RUN, 0);
        return;
    }
    SasForwardCall_Acquire(call);
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
    if (call->buffered->len > 0) {
        call->reply->vtable->on_body(call->reply, call->buffered->str,
                                     call->buffered->len);
        g_string_truncate(call->buffered, 0);
    }
}

void
SasForwardCall_PassAnswer(struct sas_forward_call *call)
{
    const struct sas_model *model = call->forward->options.model;
    pass_answer(call, model->backends[call->grant.backend].name,
                model->regions[call->grant.region].name);
}

void
SasForwardCall_Complete(struct sas_forward_call *call)
{
    const struct sas_counters *counters = call->forward->options.counters;
    SasMetrics_Add(counters->metrics, counters->answers, 1);
    struct sas_forward_reply *reply = call->reply;
    SasForwardCall_Finish(call);
    if (reply != NULL) {
        reply->vtable->on_end(reply);
    }
}

static void
claims_on_replay(struct sas_claims_listener *listener, int status,
                 const struct sas_http_header *headers, int header_count,
                 const char *body, size_t body_size)
{
    struct sas_forward_call *call = get_call(listener);
    call->claim = NULL;
    if (call->reply == NULL) {
        SasForwardCall_Finish(call);
        return;
    }
    call->status = status;
    call->answer_length = (int64_t)body_size;
    SasForwardCall_CopyHeaders(call, headers, header_count,
                               call->answer_headers);
    g_string_append_len(call->buffered, body, (gssize)body_size);
    pass_answer(call, NULL, NULL);
    SasForwardCall_Complete(call);
}

static void
claims_on_refuse(struct sas_claims_listener *listener, enum sas_refusal reason,
                 enum sas_outcome outcome)
{
    struct sas_forward_call *call = get_call(listener);
    call->claim = NULL;
    SasForwardCall_Refuse(call, reason, outcome, SasForwardCall_RETRY_AFTER_S);
}

static void
claims_on_finished(struct sas_claims_listener *listener)
{
    struct sas_forward_call *call = get_call(listener);
    call->claim = NULL;
    if (call->reply != NULL) {
        SasForwardCall_PassAnswer(call);
    }
    SasForwardCall_Complete(call);
}

static const struct sas_claims_vtable claims_vtable = {
    .on_proceed = claims_on_proceed,
    .on_replay = claims_on_replay,
    .on_refuse = claims_on_refuse,
    .on_finished = claims_on_finished,
};

/* Functions without structs over budget, claim and quarantine, which the
 * property tests call through ctypes. */
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "sas/budget.h"
#include "sas/claim.h"
#include "sas/quarantine.h"

struct sas_budget *SasShim_NewBudget(int kind, int member_count, int own_id,
                                     uint32_t incarnation, int64_t loan_ms,
                                     int64_t quantum, const int64_t *floors,
                                     int64_t epoch, int64_t now_ms);
uint64_t SasShim_FindRenewal(struct sas_budget *b, int64_t now_ms);
uint64_t SasShim_FindSurplus(struct sas_budget *b, int64_t now_ms);
int SasShim_GetLoanMember(const struct sas_budget *b, uint64_t id);
int64_t SasShim_GetLoanGranted(const struct sas_budget *b, uint64_t id);
int64_t SasShim_PeekAllowance(const struct sas_budget *b, int64_t now_ms);
int64_t SasShim_PeekAnnounced(const struct sas_budget *b, int64_t now_ms);
int64_t SasShim_PeekNextEnd(const struct sas_budget *b, int64_t now_ms);
struct sas_claim *SasShim_NewClaim(const char *caller, const char *key,
                                   const char *digest, const char *token);
void SasShim_FreeClaim(struct sas_claim *c);
int SasShim_HandleClaim(struct sas_claim *c, int event, const char *row,
                        const char *etag);
const char *SasShim_GetClaimEtag(const struct sas_claim *c);
char *SasShim_EncodeClaim(const struct sas_claim *c);
struct sas_quarantine *SasShim_NewQuarantine(void);
void SasShim_Suspect(struct sas_quarantine *q, uint64_t fingerprint,
                     uint64_t crash, bool isolated, int64_t now_ms);
void SasShim_Clear(struct sas_quarantine *q, uint64_t fingerprint,
                   int64_t now_ms);
int SasShim_Check(struct sas_quarantine *q, uint64_t fingerprint,
                  int64_t now_ms);
bool SasShim_BeginIsolatedRun(struct sas_quarantine *q, uint64_t fingerprint,
                              int64_t max_run_ms, int64_t now_ms);
void SasShim_MergeAll(struct sas_quarantine *to, struct sas_quarantine *from,
                      int64_t now_ms);
char *SasShim_PrintQuarantine(struct sas_quarantine *q, int64_t now_ms);
void SasShim_Free(void *memory);

struct sas_budget *
SasShim_NewBudget(int kind, int member_count, int own_id, uint32_t incarnation,
                  int64_t loan_ms, int64_t quantum, const int64_t *floors,
                  int64_t epoch, int64_t now_ms)
{
    struct sas_budget_settings settings = {
        .kind = kind == 0 ? SAS_BUDGET_CONCURRENT : SAS_BUDGET_RATE,
        .members = member_count,
        .own_id = own_id,
        .incarnation = incarnation,
        .loan_ms = loan_ms,
        .quantum = quantum,
    };
    struct sas_budget *b = g_new0(struct sas_budget, 1);
    SasBudget_Init(b, &settings, floors, epoch, now_ms);
    return b;
}

uint64_t
SasShim_FindRenewal(struct sas_budget *b, int64_t now_ms)
{
    const struct sas_loan *loan = SasBudget_FindRenewal(b, now_ms);
    return loan == NULL ? 0 : loan->id;
}

uint64_t
SasShim_FindSurplus(struct sas_budget *b, int64_t now_ms)
{
    const struct sas_loan *loan = SasBudget_FindSurplus(b, now_ms);
    return loan == NULL ? 0 : loan->id;
}

int
SasShim_GetLoanMember(const struct sas_budget *b, uint64_t id)
{
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        if (b->borrowed[i].id == id) {
            return b->borrowed[i].member_id;
        }
    }
    return -1;
}

int64_t
SasShim_GetLoanGranted(const struct sas_budget *b, uint64_t id)
{
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        if (b->borrowed[i].id == id) {
            return b->borrowed[i].granted;
        }
    }
    return 0;
}

void
SasShim_Free(void *memory)
{
    g_free(memory);
}

/* The usable units, read from a copy so that a paused member's state doesn't
 * advance. */
int64_t
SasShim_PeekAllowance(const struct sas_budget *b, int64_t now_ms)
{
    struct sas_budget copy = *b;
    return SasBudget_GetAllowance(&copy, now_ms);
}

int64_t
SasShim_PeekAnnounced(const struct sas_budget *b, int64_t now_ms)
{
    struct sas_budget copy = *b;
    return SasBudget_GetAnnounced(&copy, now_ms);
}

/* When the next loan or the recovery ends, -1: neither is under way. */
int64_t
SasShim_PeekNextEnd(const struct sas_budget *b, int64_t now_ms)
{
    int64_t next = INT64_MAX;
    for (int i = 0; i < SasBudget_MAX_LOANS; i++) {
        int64_t lent = b->lent[i].until_ms;
        int64_t borrowed = b->borrowed[i].until_ms;
        next = lent > now_ms && lent < next ? lent : next;
        next = borrowed > now_ms && borrowed < next ? borrowed : next;
    }
    if (b->recovering && b->recover_until_ms > now_ms) {
        next = MIN(next, b->recover_until_ms);
    }
    return next == INT64_MAX ? -1 : next;
}

struct sas_claim *
SasShim_NewClaim(const char *caller, const char *key, const char *digest,
                 const char *token)
{
    struct sas_claim *c = g_new0(struct sas_claim, 1);
    SasClaim_Init(c, "filing-desk", caller, key, digest, token, NULL);
    return c;
}

void
SasShim_FreeClaim(struct sas_claim *c)
{
    SasClaim_Free(c);
    g_free(c);
}

/* Returns action * 100 + answer, or -1 for a bad row. row: JSON or NULL. */
int
SasShim_HandleClaim(struct sas_claim *c, int event, const char *row,
                    const char *etag)
{
    struct sas_claim_row found = {0};
    if (row != NULL && SasClaim_DecodeRow(row, &found, NULL) < 0) {
        return -1;
    }
    struct sas_claim_step next = SasClaim_Handle(
        c, (enum sas_claim_event)event, row == NULL ? NULL : &found, etag);
    SasClaim_FreeRow(&found);
    return (int)next.action * 100 + (int)next.answer;
}

const char *
SasShim_GetClaimEtag(const struct sas_claim *c)
{
    return c->etag;
}

/* JSON of the row to write now; free with SasShim_Free. */
char *
SasShim_EncodeClaim(const struct sas_claim *c)
{
    return SasClaim_EncodeRow(&c->row);
}

struct sas_quarantine *
SasShim_NewQuarantine(void)
{
    return g_new0(struct sas_quarantine, 1);
}

uint64_t
SasShim_ChooseCrash(struct sas_quarantine *q, int server, int incarnation,
                    int64_t now_ms)
{
    char name[16];
    char start[16];
    g_snprintf(name, sizeof(name), "d%d", server);
    g_snprintf(start, sizeof(start), "%d", incarnation);
    return SasQuarantine_ChooseCrash(q, name, start, now_ms);
}

void
SasShim_Suspect(struct sas_quarantine *q, uint64_t fingerprint, uint64_t crash,
                bool isolated, int64_t now_ms)
{
    struct sas_fingerprint full = {0, fingerprint};
    SasQuarantine_Suspect(q, full, crash, isolated, now_ms);
}

void
SasShim_Clear(struct sas_quarantine *q, uint64_t fingerprint, int64_t now_ms)
{
    struct sas_fingerprint full = {0, fingerprint};
    SasQuarantine_Clear(q, full, now_ms);
}

int
SasShim_Check(struct sas_quarantine *q, uint64_t fingerprint, int64_t now_ms)
{
    struct sas_fingerprint full = {0, fingerprint};
    int retry_after_s;
    return (int)SasQuarantine_Check(q, full, now_ms, &retry_after_s);
}

bool
SasShim_BeginIsolatedRun(struct sas_quarantine *q, uint64_t fingerprint,
                         int64_t max_run_ms, int64_t now_ms)
{
    struct sas_fingerprint full = {0, fingerprint};
    return SasQuarantine_BeginIsolatedRun(q, full, max_run_ms, now_ms);
}

void
SasShim_MergeAll(struct sas_quarantine *to, struct sas_quarantine *from,
                 int64_t now_ms)
{
    struct sas_quarantine_entry entry;
    for (int i = 0; SasQuarantine_Export(from, i, now_ms, &entry); i++) {
        SasQuarantine_Merge(to, &entry, now_ms);
    }
}

/* Text with all that a merge can change, one line per entry; free with
 * SasShim_Free. */
char *
SasShim_PrintQuarantine(struct sas_quarantine *q, int64_t now_ms)
{
    struct sas_quarantine_entry entry;
    GString *text = g_string_new("");
    for (int i = 0; SasQuarantine_Export(q, i, now_ms, &entry); i++) {
        g_string_append_printf(text, "%d %d %d", (int)entry.fingerprint.low,
                               (int)entry.left_ms, (int)entry.isolated_ms);
        for (int j = 0; j < entry.crash_count; j++) {
            g_string_append_printf(text, " %d%c%c", (int)entry.crashes[j].id,
                                   entry.crashes[j].isolated ? 'a' : '-',
                                   entry.crashes[j].cleared ? 'c' : '-');
        }
        g_string_append_c(text, '\n');
    }
    return g_string_free(text, FALSE);
}

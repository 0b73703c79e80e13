/* lending - this node's budgets, and the loans between it and its peers.
 *
 * Glue between the core's budgets (sas/budget.h), the steering, which takes
 * units from them, and the peer task, which carries questions and answers.
 * One budget for each: a region's slots of a service, a link's Mbit/s, and
 * the cap of a shift that the sheet names.
 *
 * The clock is SasPeer_GetNow, read afresh at each use: the loop's own time
 * stands still while the process is paused, and a loan that has lapsed
 * meanwhile would be used.
 */
#ifndef SAS_LENDING_H
#define SAS_LENDING_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "sas/peer.h"
#include "sas/plan.h"

struct sas_lending;

/* Told when units may have come free; embedded as first member. */
struct sas_lending_listener {
    void (*on_units)(struct sas_lending_listener *listener);
};

struct sas_lending_options {
    uv_loop_t *loop;
    const struct sas_model *model;
    int own_vm;
    int server_queue; /* requests sent to a server beyond its slots */
    GRand *random;
    uint32_t incarnation;
};

/* NULL with an error when there are more seats than budgets can have. */
struct sas_lending *SasLending_Open(const struct sas_lending_options *options,
                                    struct sas_error *error);
void SasLending_Close(struct sas_lending *lending);
void SasLending_SetListener(struct sas_lending *lending,
                            struct sas_lending_listener *listener);
void SasLending_SetPeer(struct sas_lending *lending, struct sas_peer *peer);

/* The caps that the plan has in force now; called after each Advance. */
void SasLending_SetCaps(struct sas_lending *lending,
                        const struct sas_plan *plan);

/* Handles of budgets; SasModel_NONE: there is no such limit. */
int SasLending_FindSlots(const struct sas_lending *lending, int service,
                         int region);
int SasLending_FindLink(const struct sas_lending *lending, int from, int to);
int SasLending_FindCap(const struct sas_lending *lending,
                       const struct sas_shift *shift);

/* After a start, until the peers have said that they hold no loan of an
 * earlier process of this seat: only reserves can be used. */
bool SasLending_IsRecovering(const struct sas_lending *lending);

/* From now on nothing is granted: the seat belongs to another process. */
void SasLending_Stop(struct sas_lending *lending);

/* Using. A handle of SasModel_NONE always has room. Take returns the pot to
 * give the units back to, or -1; a refusal asks peers for a loan. */
int SasLending_Acquire(struct sas_lending *lending, int budget, int64_t units,
                       int64_t max_run_ms);
void SasLending_Release(struct sas_lending *lending, int budget, int source,
                        int64_t units);
bool SasLending_AcquireRate(struct sas_lending *lending, int budget,
                            int64_t amount);

/* What a request took beyond its amount, to be paid before the next one;
 * nothing for amounts of 0 and less. */
void SasLending_AddDebt(struct sas_lending *lending, int budget,
                        int64_t amount);

/* Peers. Budgets of the gossip live until the next call. */
void SasLending_FillGossip(struct sas_lending *lending,
                           struct sas_rpc_gossip *gossip);
void SasLending_ApplyGossip(struct sas_lending *lending, int member_id,
                            const struct sas_rpc_gossip *gossip);
uint64_t SasLending_AnswerBorrow(struct sas_lending *lending, int member_id,
                                 const struct sas_rpc_borrow *borrow);
void SasLending_AcceptReturn(struct sas_lending *lending, int member_id,
                             const struct sas_rpc_return *back);

/* Keeps in *rows those of which this node holds no loan of the seat. */
void SasLending_AnswerDisown(struct sas_lending *lending, int member_id,
                             struct sas_rpc_disown_list *rows);

/* [{"name":...,"floor":...,"lent":...,"borrowed":...,"used":...}] */
json_t *SasLending_Describe(struct sas_lending *lending);

#endif

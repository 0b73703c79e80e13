/* lending - this node's budgets, and the loans between it and its peers.
 *
 * Connects the core's budgets (sas/budget.h) with the router, which acquires
 * units, and the peer task, which carries the calls for loans. There is one
 * budget for each service's slots in a region, each link's Mbit/s and each
 * capped shift of the sheet.
 *
 * Times are SasPeer_GetNow, read at each use: with the loop's cached time,
 * which stands still while the process is paused, a loan that expired
 * meanwhile would still be used.
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

/* Called when units may have come free; embedded in the owner's struct. */
struct sas_lending_listener {
    void (*on_units)(struct sas_lending_listener *listener);
};

struct sas_lending_options {
    uv_loop_t *loop;
    const struct sas_model *model;
    int own_vm;
    int server_queue; /* requests that may queue at each backend server */
    GRand *random;
    uint32_t incarnation;
};

/* NULL with an error when there are more entry VMs than a budget supports. */
struct sas_lending *SasLending_Open(const struct sas_lending_options *options,
                                    struct sas_error *error);
void SasLending_Close(struct sas_lending *lending);
void SasLending_SetListener(struct sas_lending *lending,
                            struct sas_lending_listener *listener);
void SasLending_SetPeer(struct sas_lending *lending, struct sas_peer *peer);

/* Applies the caps that the plan has in force; called after each Advance. */
void SasLending_SetCaps(struct sas_lending *lending,
                        const struct sas_plan *plan);

/* Handles of budgets; SasModel_NONE: no such limit exists. */
int SasLending_FindSlots(const struct sas_lending *lending, int service,
                         int region);
int SasLending_FindLink(const struct sas_lending *lending, int from, int to);
int SasLending_FindCap(const struct sas_lending *lending,
                       const struct sas_shift *shift);

/* True after a start while the slots or link budgets may use no more than
 * their reserves: until each peer has confirmed that it holds no loan of an
 * earlier process of this entry VM, or all such loans have expired. */
bool SasLending_IsRecovering(const struct sas_lending *lending);

/* Grants and lends nothing any more: another process has replaced this one. */
void SasLending_Stop(struct sas_lending *lending);

/* Using. A handle of SasModel_NONE has no limit. Acquire returns the source
 * that the units are released to, or -1. A refusal requests a loan from a
 * peer. Units of rates are milli-requests or milli-Mbit. */
int SasLending_Acquire(struct sas_lending *lending, int budget, int64_t units,
                       int64_t max_run_ms);
void SasLending_Release(struct sas_lending *lending, int budget, int source,
                        int64_t units);
bool SasLending_AcquireRate(struct sas_lending *lending, int budget,
                            int64_t amount);

/* Adds what a request used beyond the amount it acquired; paid before the next
 * request passes. Amounts of 0 and less are ignored. */
void SasLending_AddDebt(struct sas_lending *lending, int budget,
                        int64_t amount);

/* Exchange with peers. The budgets that Fill puts into the gossip are valid
 * until its next call. */
void SasLending_FillGossip(struct sas_lending *lending,
                           struct sas_rpc_gossip *gossip);
void SasLending_ApplyGossip(struct sas_lending *lending, int member_id,
                            const struct sas_rpc_gossip *gossip);
uint64_t SasLending_AnswerBorrow(struct sas_lending *lending, int member_id,
                                 const struct sas_rpc_borrow *borrow);
void SasLending_AcceptReturn(struct sas_lending *lending, int member_id,
                             const struct sas_rpc_loan_return *back);

/* Keeps in *rows the budgets of which this node holds no loan from that
 * member. */
void SasLending_AnswerDisown(struct sas_lending *lending, int member_id,
                             struct sas_rpc_disown_list *rows);

/* [{"name":...,"floor":...,"lent":...,"borrowed":...,"used":...,
 *   "allowance":...,"recovering":...}] */
json_t *SasLending_Describe(struct sas_lending *lending);

#endif

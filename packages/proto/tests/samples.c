#include "samples.h"

static struct sas_rpc_budget budgets[] = {{1, 20, 3},
                                          {0xffffffffffffffff, 0, -1}};
static struct sas_rpc_load loads[] = {{3, 2, 1, 40, TRUE, 0x1234567890}};
static struct sas_rpc_share shares[] = {{0, 1, 2, 250000}};
static struct sas_rpc_crash crashes[] = {{7, TRUE, FALSE}, {8, FALSE, TRUE}};
static struct sas_rpc_quarantine quarantines[] = {
    {99, 1, {2, crashes}, 5000, 0}};
static struct sas_rpc_disown disowns[] = {{1, 4}, {2, 5}};
static struct sas_rpc_leaving_backend backends[] = {{7, 70}, {8, 80}};
static struct sas_rpc_member members[] = {
    {0, SAS_RPC_LIVE, 1000, 5, 17, 0, 0},
    {8, SAS_RPC_LEAVING, 1008, 4, 9, 9, 1500},
};

static const struct sas_rpc_gossip gossip = {
    .member_id = 0,
    .incarnation = 1000,
    .state = SAS_RPC_LIVE,
    .config_version = 5,
    .budgets = {2, budgets},
    .loads = {1, loads},
    .shares = {1, shares},
    .quarantine_digest = 12,
    .quarantines = {1, quarantines},
    .members = {2, members},
};

struct sas_proto_message
Sample_Get(int index)
{
    struct sas_proto_message sample = {
        .xid = 40 + (uint32_t)index,
        .is_reply = index % 2 == 1,
        .procedure = (uint32_t)(SAS_RPC_HELLO + index / 2),
        .status = SUCCESS,
        .identity = {0, 1000, 1, 2000},
    };
    union sas_proto_body *body = &sample.body;
    switch (sample.procedure) {
    case SAS_RPC_HELLO:
        for (int i = 0; i < SAS_RPC_NONCE_SIZE; i++) {
            body->hello.nonce[i] = (char)(i + index);
        }
        break;
    case SAS_RPC_GOSSIP:
        body->gossip = gossip;
        break;
    case SAS_RPC_FETCH_CONFIG:
        if (sample.is_reply) {
            body->config.config_version = 5;
            body->config.bytes.bytes_val = (char *)"{\"version\":5}";
            body->config.bytes.bytes_len = 13;
        }
        else {
            body->fetch.have_version = 4;
        }
        break;
    case SAS_RPC_BORROW:
        if (sample.is_reply) {
            body->grant = (struct sas_rpc_grant){11, 3};
        }
        else {
            body->borrow = (struct sas_rpc_borrow){2, 5, 11, 4, 1};
        }
        break;
    case SAS_RPC_RETURN:
        body->give_back = (struct sas_rpc_loan_return){2, 5, 11, 3};
        break;
    case SAS_RPC_QUARANTINE:
        body->quarantine.entries.entries_len = 1;
        body->quarantine.entries.entries_val = quarantines;
        break;
    case SAS_RPC_DISOWN:
        body->disown.rows.rows_len = 2;
        body->disown.rows.rows_val = disowns;
        break;
    default:
        body->leaving.member_id = SAS_RPC_NO_MEMBER;
        body->leaving.backends.backends_len = 2;
        body->leaving.backends.backends_val = backends;
        break;
    }
    return sample;
}

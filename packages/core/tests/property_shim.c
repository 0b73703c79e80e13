/* C functions that the property tests call through ctypes. They take only
 * numbers, texts and opaque pointers, no structs of the core. The model is
 * that of steering_fixture.h.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "sas/fleet.h"
#include "sas/config.h"
#include "sas/lookup.h"
#include "sas/owner.h"
#include "sas/plan.h"
#include "sas/sheet.h"
#include "steering_fixture.h"

struct sas_config *SasShim_MakeConfig(int64_t version, const char *rows,
                                      int64_t now_ms,
                                      struct sas_sheet_error *error);
int SasShim_GetRowCount(const struct sas_config *config);
void SasShim_GetRow(const struct sas_config *config, int row, int64_t *at_ms,
                    int *numbers, double *share);
char *SasShim_Encode(const struct sas_config *config);
struct sas_config *SasShim_Decode(const char *text, size_t size);
char *SasShim_EncodeDelta(const struct sas_config *base,
                          const struct sas_config *config);
struct sas_config *SasShim_ApplyDelta(const struct sas_config *base,
                                      const char *text, size_t size);
struct sas_plan *SasShim_MakePlan(void);
void SasShim_FreePlan(struct sas_plan *plan);
int SasShim_BuildPlan(struct sas_plan *plan, int64_t version, const char *rows,
                      int64_t now_ms);
void SasShim_Advance(struct sas_plan *plan, int64_t wall_ms,
                     int64_t monotonic_ms, const double *headroom,
                     const double *age_ms, const uint8_t *down);
int SasShim_GetShift(const struct sas_plan *plan, int service, int from,
                     int to, double *ordered, double *in_force);

/* Configurations. */

struct sas_config *
SasShim_MakeConfig(int64_t version, const char *rows, int64_t now_ms,
                   struct sas_sheet_error *error)
{
    struct sas_sheet sheet;
    g_autofree char *text = g_strconcat(SasSheet_HEADER "\n", rows, NULL);
    if (SasSheet_Parse(&sheet, &fixture, text, strlen(text), now_ms, 0,
                       error) < 0) {
        return NULL;
    }
    return SasConfig_New(version, "op", "amina", now_ms, &sheet, text, NULL);
}

int
SasShim_GetRowCount(const struct sas_config *config)
{
    return config->sheet.row_count;
}

/* Fills in numbers: service, from, to, drain kind, drain target, row. */
void
SasShim_GetRow(const struct sas_config *config, int row, int64_t *at_ms,
               int *numbers, double *share)
{
    const struct sas_sheet_row *sheet_row = &config->sheet.rows[row];
    *at_ms = sheet_row->at_ms;
    *share = sheet_row->share;
    numbers[0] = sheet_row->service;
    numbers[1] = sheet_row->from;
    numbers[2] = sheet_row->to;
    numbers[3] = (int)sheet_row->drain_kind;
    numbers[4] = sheet_row->drain_target;
    numbers[5] = sheet_row->row;
}

char *
SasShim_Encode(const struct sas_config *config)
{
    return SasConfig_Encode(config, &fixture);
}

struct sas_config *
SasShim_Decode(const char *text, size_t size)
{
    return SasConfig_Decode(&fixture, text, size, NULL);
}

char *
SasShim_EncodeDelta(const struct sas_config *base,
                    const struct sas_config *config)
{
    return SasConfig_EncodeDelta(base, config, &fixture);
}

struct sas_config *
SasShim_ApplyDelta(const struct sas_config *base, const char *text,
                   size_t size)
{
    return SasConfig_ApplyDelta(base, &fixture, text, size, NULL);
}

/* Plans. */

struct sas_plan *
SasShim_MakePlan(void)
{
    return g_new0(struct sas_plan, 1);
}

void
SasShim_FreePlan(struct sas_plan *plan)
{
    SasPlan_Free(plan);
    g_free(plan);
}

int
SasShim_BuildPlan(struct sas_plan *plan, int64_t version, const char *rows,
                  int64_t now_ms)
{
    struct sas_sheet_error error;
    struct sas_config *config =
        SasShim_MakeConfig(version, rows, now_ms, &error);
    if (config == NULL) {
        return -1;
    }
    SasPlan_Build(plan, &fixture, config);
    SasConfig_Unref(config);
    return 0;
}

void
SasShim_Advance(struct sas_plan *plan, int64_t wall_ms, int64_t monotonic_ms,
                const double *headroom, const double *age_ms,
                const uint8_t *down)
{
    struct sas_plan_signal table[6];
    bool is_down[3];
    struct sas_plan_signals signals = {table, is_down};
    for (int i = 0; i < 6; i++) {
        table[i] = (struct sas_plan_signal){headroom[i], age_ms[i]};
    }
    for (int i = 0; i < 3; i++) {
        is_down[i] = down[i] != 0;
    }
    SasPlan_Advance(plan, wall_ms, monotonic_ms, &signals);
}

/* Returns the enum sas_hold of the shift, -1 when there is no such shift. */
int
SasShim_GetShift(const struct sas_plan *plan, int service, int from, int to,
                 double *ordered, double *in_force)
{
    const struct sas_shift *shift = SasPlan_FindShift(plan, service, from, to);
    *ordered = shift != NULL ? shift->ordered : 0;
    *in_force = shift != NULL ? shift->in_force : 0;
    return shift != NULL ? (int)shift->holding : -1;
}

/* The fleet. */

int
SasShim_PutServer(struct sas_fleet *fleet, const char *id, const char *service,
                  const char *zone, int port, int64_t born_at, int draining)
{
    struct sas_server_facts facts = {
        .slots = 3,
        .started_at = born_at,
        .draining = draining != 0,
    };
    g_strlcpy(facts.id, id, sizeof(facts.id));
    g_strlcpy(facts.service, service, sizeof(facts.service));
    g_strlcpy(facts.zone, zone, sizeof(facts.zone));
    g_strlcpy(facts.address.ip, "127.0.0.1", sizeof(facts.address.ip));
    facts.address.port = port;
    return SasFleet_PutServer(fleet, &facts);
}

/* Calls SasOwner_Rank. numbers: service, the caller's zone, prefer zone,
 * steered, steered region. */
int
SasShim_Rank(const struct sas_fleet *fleet, const int *numbers,
             double zone_share, uint64_t key, uint64_t allowed_regions,
             int *slots)
{
    struct sas_owner_query query = {
        .service = numbers[0],
        .zone = numbers[1],
        .prefer_zone = numbers[2] != 0,
        .steered = numbers[3] != 0,
        .steered_region = numbers[4],
        .zone_share = zone_share,
        .key = key,
        .allowed_regions = allowed_regions,
    };
    return SasOwner_Rank(fleet, &query, 0, slots, SasOwner_MAX_CANDIDATES);
}

uint32_t
SasShim_GetGeneration(const struct sas_fleet *fleet, int slot)
{
    return SasFleet_GetRef(fleet, slot).generation;
}

/* Returns the id of the referenced server, "" when the reference is stale. */
const char *
SasShim_GetId(const struct sas_fleet *fleet, int slot, uint32_t generation)
{
    struct sas_server_ref ref = {.slot = slot, .generation = generation};
    const struct sas_fleet_server *server = SasFleet_GetServer(fleet, ref);
    return server != NULL ? server->facts.id : "";
}

/* Returns the number of servers that a service lists, -1 when one of them does
 * not exist or belongs to another service. */
int
SasShim_CountListed(const struct sas_fleet *fleet, const char *service)
{
    int handle = SasFleet_FindService(fleet, service);
    if (handle == SasModel_NONE) {
        return 0;
    }
    const GArray *slots = SasFleet_GetService(fleet, handle)->servers;
    for (guint i = 0; i < slots->len; i++) {
        const struct sas_fleet_server *server =
            SasFleet_At(fleet, g_array_index(slots, int, i));
        if (server == NULL || server->service != handle) {
            return -1;
        }
    }
    return (int)slots->len;
}

/* lookup - from a caller's address to a region and to entry VMs.
 *
 * The address's block is the longest prefix of the model's blocks that holds
 * it; an address outside all of them is its own /24 with the default home.
 * A block goes to the target with the lowest score -ln(u) / weight, u in
 * (0, 1) being the xxhash of block and target (weighted rendezvous hashing):
 * every node gives the same answer from the same weights, and a target whose
 * weight rises only takes blocks, one whose weight falls only loses some.
 *
 * Answers are kept by service and block and worked out again by
 * SasLookup_Rebuild, which touches only the homes whose weights changed, and
 * of their blocks only those that can change owner.
 */
#ifndef SAS_LOOKUP_H
#define SAS_LOOKUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "sas/model.h"
#include "sas/plan.h"

#define SasLookup_LIFETIME_MS 20000
#define SasLookup_SHIFTING_LIFETIME_MS 5000
#define SasLookup_JITTER 0.25 /* of the lifetime, either way */
#define SasLookup_MAX_LIFETIME_MS 25000

/* A region, or a site where there are more; at most 65536 in an array. */
struct sas_target {
    uint64_t id; /* the same on all nodes */
    double weight;
};

/* Answers of one service. */
struct sas_lookup_answers {
    uint16_t *owners;           /* region by block; NULL before the first */
    struct sas_target *targets; /* [home * region_count + region] */
};

/* Blocks are renumbered by home, so that a home's are side by side. */
struct sas_lookup {
    uint32_t *starts; /* disjoint ranges of addresses, sorted */
    int32_t *blocks;  /* their block, or SasModel_NONE */
    int range_count;
    uint32_t *first_ranges; /* by the address's upper 16 bits, 65537 of them */
    uint64_t *keys;         /* what is hashed, by block */
    int block_count;
    int *home_starts; /* first block by home, region_count + 1 of them */

    int region_count;
    int default_home;
    struct sas_lookup_answers *answers; /* by service */
    int service_count;
};

/* What is heard of an entry VM. Both sources lag. */
enum sas_vm_word {
    SAS_VM_UNKNOWN, /* never heard */
    SAS_VM_LIVE,
    SAS_VM_DEAD /* silent, or absent from the list */
};

struct sas_vm_view {
    enum sas_vm_word peers;
    enum sas_vm_word platform;
    bool leaving; /* by sheet, list or its own word */
};

/* Indexes the model's blocks; no service has answers yet. */
void SasLookup_Init(struct sas_lookup *lookup, const struct sas_model *model);
void SasLookup_Close(struct sas_lookup *lookup);

/* Works out a service's answers after the plan changed. Returns how many
 * blocks moved (all of them on the first call). */
int SasLookup_Rebuild(struct sas_lookup *lookup, const struct sas_model *model,
                      const struct sas_plan *plan, int service);

/* The region for a caller (host byte order); SasModel_NONE before the first
 * Rebuild of the service. */
int SasLookup_Find(const struct sas_lookup *lookup, int service,
                   uint32_t ipv4);

/* The home region of the caller's block. */
int SasLookup_FindHome(const struct sas_lookup *lookup, uint32_t ipv4);

/* Entry VMs for a caller of a region, best first, at most max of them;
 * views by VM. VMs nobody doubts come first, within them the region's own,
 * spread by block. A VM that both sources doubt, or that is leaving, is out,
 * unless nothing else is left. Returns their number, 0 without any VM. */
int SasLookup_OrderVms(const struct sas_lookup *lookup,
                       const struct sas_model *model, int region,
                       uint32_t ipv4, const struct sas_vm_view *views,
                       int *vms, int max);

/* How long a caller may keep an answer, in ms, never over
 * SasLookup_MAX_LIFETIME_MS; random is in [0, 1). */
int64_t SasLookup_ChooseLifetime(const struct sas_plan *plan, int service,
                                 int home, double random);

/* The owner of a key among targets, of which one has a weight over 0. */
int SasLookup_Choose(uint64_t key, const struct sas_target *targets,
                     int target_count);

/* The same for many keys. */
void SasLookup_Assign(const uint64_t *keys, int count,
                      const struct sas_target *targets, int target_count,
                      uint16_t *owners);

/* Turns the owners by old_targets into those by targets (same ids in the same
 * order), exactly as Assign would, hashing little. Returns how many moved. */
int SasLookup_Reassign(const uint64_t *keys, int count,
                       const struct sas_target *old_targets,
                       const struct sas_target *targets, int target_count,
                       uint16_t *owners);

#endif

/* Model of a deployment with three regions, for the tests of sheet, config,
 * plan, lookup and measure.
 */
#ifndef SAS_STEERING_FIXTURE_H
#define SAS_STEERING_FIXTURE_H

#include "sas/model.h"

enum {
    MONTREAL,
    QUEBEC,
    SAGUENAY
};
enum {
    DOSSIERS,
    GALERIE
};

static struct sas_region fixture_regions[] = {
    {"montreal"}, {"quebec"}, {"saguenay"}};
static struct sas_domain fixture_domains[] = {
    {"montreal-a", MONTREAL}, {"montreal-b", MONTREAL}, {"quebec-a", QUEBEC},
    {"quebec-b", QUEBEC},     {"saguenay-a", SAGUENAY}, {"saguenay-b", 2}};
static struct sas_link fixture_links[] = {
    {MONTREAL, QUEBEC, 4000}, {MONTREAL, SAGUENAY, 4000},
    {QUEBEC, MONTREAL, 4000}, {QUEBEC, SAGUENAY, 4000},
    {SAGUENAY, MONTREAL, 40}, {SAGUENAY, QUEBEC, 4000}};
static struct sas_vm fixture_vms[] = {
    {.name = "mtl-a-1", .domain = 0}, {.name = "mtl-b-1", .domain = 1},
    {.name = "qbc-a-1", .domain = 2}, {.name = "qbc-b-1", .domain = 3},
    {.name = "sag-a-1", .domain = 4}, {.name = "sag-b-1", .domain = 5}};
static struct sas_service fixture_services[] = {{.name = "dossiers"},
                                                {.name = "galerie"}};
static struct sas_backend fixture_backends[] = {
    {.name = "dossiers-01", .service = DOSSIERS, .domain = 0, .slots = 3},
    {.name = "dossiers-02", .service = DOSSIERS, .domain = 1, .slots = 3},
    {.name = "dossiers-03", .service = DOSSIERS, .domain = 2, .slots = 3},
    {.name = "dossiers-04", .service = DOSSIERS, .domain = 3, .slots = 3},
    {.name = "dossiers-05", .service = DOSSIERS, .domain = 4, .slots = 3},
    {.name = "galerie-01", .service = GALERIE, .domain = 0, .slots = 3},
    {.name = "galerie-02", .service = GALERIE, .domain = 2, .slots = 3}};
/* 10.0.0.0/8 with 10.1.0.0/16 and 10.1.2.0/24 nested in it. */
static struct sas_block fixture_blocks[] = {{0x0a000000, 8, MONTREAL},
                                            {0x0a010000, 16, QUEBEC},
                                            {0x0a010200, 24, SAGUENAY},
                                            {0xc0a80000, 16, QUEBEC}};

static const struct sas_model fixture = {
    .regions = fixture_regions,
    .region_count = 3,
    .domains = fixture_domains,
    .domain_count = 6,
    .links = fixture_links,
    .link_count = 6,
    .vms = fixture_vms,
    .vm_count = 6,
    .services = fixture_services,
    .service_count = 2,
    .backends = fixture_backends,
    .backend_count = 7,
    .blocks = fixture_blocks,
    .block_count = 4,
    .default_home = MONTREAL,
};

#endif

/* limits - every fixed size, time and share of the system, in one place.
 *
 * Times are milliseconds unless the name says otherwise.
 */
#ifndef SAS_LIMITS_H
#define SAS_LIMITS_H

/* Sizes of names and tables. */
#define SasModel_NAME_SIZE 48
#define SasModel_IP_SIZE 46
#define SasModel_MAX_REGIONS 16
#define SasModel_MAX_DOMAINS 32
#define SasModel_MAX_SERVICES 32
#define SasModel_NONE (-1)

#endif

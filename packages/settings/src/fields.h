/* fields - reads TOML tables into structs by a list of their fields, and
 * collects what is wrong with them.
 *
 * A section states its keys once, as an array of struct sas_field; unknown
 * and missing keys, wrong types and values out of range follow from it. The
 * caller fills the struct with the defaults first.
 */
#ifndef SAS_FIELDS_H
#define SAS_FIELDS_H

#include <glib.h>

#include "sas/model.h"
#include "toml.h"

enum sas_field_type {
    SasField_NAME,      /* char[SasModel_NAME_SIZE] */
    SasField_IP,        /* char[SasModel_IP_SIZE], in its canonical form */
    SasField_TEXT,      /* char *, replaced by a copy */
    SasField_INTEGER,   /* int */
    SasField_MS,        /* int64_t, milliseconds */
    SasField_MEGABYTES, /* size_t in bytes; MB of 10^6 bytes in the file */
    SasField_REAL,      /* double */
    SasField_BOOLEAN,   /* bool */
    SasField_REFERENCE, /* int: the handle of the row with this name */
    SasField_TREE       /* const struct sas_toml *, an array */
};

struct sas_field {
    const char *key;
    enum sas_field_type type;
    size_t offset;
    bool required; /* for a reference: unless the struct holds a handle */
    double least;  /* of numbers; both ends are allowed */
    double most;
    int (*find)(const struct sas_model *model, const char *name);
    const char *what; /* what a reference refers to */
};

struct sas_problem {
    int line;
    char *text; /* "KEY: reason" */
};

struct sas_reader {
    const struct sas_model *model; /* where references lead */
    GArray *problems;              /* struct sas_problem */
};

void SasReader_Init(struct sas_reader *reader, const struct sas_model *model);
void SasReader_Clear(struct sas_reader *reader);

/* Notes a problem of section.key; a NULL key is the section itself. */
void SasReader_Complain(struct sas_reader *reader, int line,
                        const char *section, const char *key,
                        const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/* The problems in the order of their lines. */
void SasReader_SortProblems(struct sas_reader *reader);

/* Reads the table into the struct at target. */
void SasReader_ReadTable(struct sas_reader *reader, const char *section,
                         const struct sas_toml *table,
                         const struct sas_field *fields, int field_count,
                         void *target);

#endif

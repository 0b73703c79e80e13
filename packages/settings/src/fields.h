/* fields - reads TOML tables into structs, driven by lists of their fields,
 * and collects the problems found.
 *
 * Each section describes its keys in an array of struct sas_field. From it
 * follow the checks for unknown and missing keys, wrong types and values out
 * of range. The caller fills the struct with the defaults first.
 */
#ifndef SAS_FIELDS_H
#define SAS_FIELDS_H

#include <glib.h>

#include "sas/model.h"
#include "toml.h"

/* The type of the struct member and how its value is converted. */
enum sas_field_type {
    SasField_NAME,      /* char[SasModel_NAME_SIZE] */
    SasField_IP,        /* char[SasModel_IP_SIZE], in its canonical form */
    SasField_TEXT,      /* char *, freed and replaced by a copy */
    SasField_INTEGER,   /* int */
    SasField_MS,        /* int64_t, milliseconds */
    SasField_MEGABYTES, /* size_t in bytes; MB of 10^6 bytes in the file */
    SasField_REAL,      /* double */
    SasField_BOOLEAN,   /* bool */
    SasField_REFERENCE, /* int: the handle of the row with this name */
    SasField_ARRAY      /* const struct sas_toml *, left unconverted */
};

struct sas_field {
    const char *key;
    enum sas_field_type type;
    size_t offset; /* of the member in the struct */
    bool required; /* for a reference: unless the default is a handle */
    double min;    /* of numbers, inclusive */
    double max;
    int (*find)(const struct sas_model *model, const char *name);
    const char *refers_to; /* kind of row that a reference names */
};

struct sas_problem {
    int line;
    char *text; /* "KEY: reason" */
};

struct sas_reader {
    const struct sas_model *model; /* resolves references */
    GArray *problems;              /* struct sas_problem */
};

void SasReader_Init(struct sas_reader *reader, const struct sas_model *model);
void SasReader_Clear(struct sas_reader *reader);

/* Adds a problem of section.key, or of the section itself if key is NULL. */
void SasReader_AddProblem(struct sas_reader *reader, int line,
                          const char *section, const char *key,
                          const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/* Sorts the problems by line; those of one line keep their order. */
void SasReader_SortProblems(struct sas_reader *reader);

/* Reads the table into the struct at target. */
void SasReader_ReadTable(struct sas_reader *reader, const char *section,
                         const struct sas_toml *table,
                         const struct sas_field *fields, int field_count,
                         void *target);

#endif

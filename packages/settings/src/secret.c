#include "sas/secret.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define STEP "secret.load"

static int check_file(int fd, const char *path, struct sas_error *error);
static char *read_line(int fd, const char *path, struct sas_error *error);

char *
SasSecret_Load(const char *path, struct sas_error *error)
{
    int fd = open(path, O_RDONLY | O_CLOEXEC | O_NONBLOCK);
    if (fd < 0) {
        SasError_Set(error, SAS_EIO, STEP, "", "%s: %s", path,
                     g_strerror(errno));
        return NULL;
    }
    char *secret = NULL;
    if (check_file(fd, path, error) == 0) {
        secret = read_line(fd, path, error);
    }
    close(fd);
    return secret;
}

void
SasSecret_Free(char *secret)
{
    if (secret != NULL) {
        explicit_bzero(secret, strlen(secret));
        g_free(secret);
    }
}

static int
check_file(int fd, const char *path, struct sas_error *error)
{
    struct stat status;
    if (fstat(fd, &status) != 0 || !S_ISREG(status.st_mode)) {
        SasError_Set(error, SAS_EIO, STEP, "", "%s: not a regular file", path);
        return -1;
    }
    if ((status.st_mode & S_IROTH) != 0) {
        SasError_Set(error, SAS_EAUTH, STEP, "",
                     "%s: everybody may read it (chmod o-r)", path);
        return -1;
    }
    return 0;
}

static char *
read_line(int fd, const char *path, struct sas_error *error)
{
    char text[SasSecret_MAX_SIZE + 2];
    ssize_t size = read(fd, text, sizeof(text) - 1);
    if (size < 0) {
        SasError_Set(error, SAS_EIO, STEP, "", "%s: %s", path,
                     g_strerror(errno));
        return NULL;
    }
    text[size] = '\0';
    g_strchomp(text);
    size_t length = strlen(text);
    char *secret = NULL;
    if (length < SasSecret_MIN_SIZE || length > SasSecret_MAX_SIZE) {
        SasError_Set(error, SAS_EINVAL, STEP, "",
                     "%s: must hold %d to %d characters", path,
                     SasSecret_MIN_SIZE, SasSecret_MAX_SIZE);
    }
    else if (strpbrk(text, "\r\n") != NULL) {
        SasError_Set(error, SAS_EINVAL, STEP, "",
                     "%s: must hold one line only", path);
    }
    else {
        secret = g_strdup(text);
    }
    explicit_bzero(text, sizeof(text));
    return secret;
}

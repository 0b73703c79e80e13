/* cut_links - preloaded into an entry VM by tests: cuts its links to some
 * ports of 127.0.0.1, while all others keep theirs.
 *
 * The file named by SAS_CUT_LINKS holds one line, "MODE HOLE PORT...", read at
 * each call; a missing file cuts nothing. The modes:
 *
 *   silent   connects go to HOLE, a port that completes none; bytes written to
 *            open connections vanish
 *   reset    connects are refused, and open connections end
 *   refuse   connects are refused; open connections live on
 *   stale    bytes written to connections that are open now vanish for good,
 *            also once the file is gone; new ones work. Their number is
 *            written to the file with ".stale" after its name
 *   hold     a second write on a connection waits until the peer has reset it,
 *            as if the process had not run meanwhile: the write, and no read,
 *            meets the reset. The file with ".held" after its name shows that
 *            one waits
 */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>

#define MAX_DESCRIPTORS 1024
#define HOLD_MS 30000 /* a write that no reset ends */

struct cut {
    char mode[16]; /* empty: none */
    int hole;
};

static int (*real_connect)(int, const struct sockaddr *, socklen_t);
static ssize_t (*real_write)(int, const void *, size_t);
static ssize_t (*real_writev)(int, const struct iovec *, int);
static int (*real_epoll_wait)(int, struct epoll_event *, int, int);
static int (*real_epoll_pwait)(int, struct epoll_event *, int, int,
                               const sigset_t *);

__attribute__((constructor)) static void
find_real(void)
{
    *(void **)&real_connect = dlsym(RTLD_NEXT, "connect");
    *(void **)&real_write = dlsym(RTLD_NEXT, "write");
    *(void **)&real_writev = dlsym(RTLD_NEXT, "writev");
    *(void **)&real_epoll_wait = dlsym(RTLD_NEXT, "epoll_wait");
    *(void **)&real_epoll_pwait = dlsym(RTLD_NEXT, "epoll_pwait");
}

/* The cut that an address is behind. */
static struct cut
find_cut(const struct sockaddr *address)
{
    struct cut none = {"", 0};
    struct cut cut = none;
    const struct sockaddr_in *ipv4 = (const struct sockaddr_in *)address;
    const char *path = getenv("SAS_CUT_LINKS");
    if (path == NULL || address->sa_family != AF_INET ||
        ipv4->sin_addr.s_addr != htonl(INADDR_LOOPBACK)) {
        return none;
    }
    FILE *file = fopen(path, "re");
    if (file == NULL) {
        return none;
    }
    int port = 0;
    bool found = false;
    if (fscanf(file, "%15s %d", cut.mode, &cut.hole) == 2) {
        while (!found && fscanf(file, "%d", &port) == 1) {
            found = port == ntohs(ipv4->sin_port);
        }
    }
    fclose(file);
    return found ? cut : none;
}

static struct cut
find_cut_of(int fd)
{
    struct sockaddr_storage peer = {0};
    socklen_t size = sizeof(peer);
    int saved = errno;
    struct cut cut = {"", 0};
    if (getpeername(fd, (struct sockaddr *)&peer, &size) == 0) {
        cut = find_cut((struct sockaddr *)&peer);
    }
    errno = saved;
    return cut;
}

int
connect(int fd, const struct sockaddr *address, socklen_t size)
{
    struct cut cut = find_cut(address);
    if (cut.mode[0] == '\0' || strcmp(cut.mode, "stale") == 0 ||
        strcmp(cut.mode, "hold") == 0) {
        return real_connect(fd, address, size);
    }
    if (strcmp(cut.mode, "silent") != 0) {
        errno = ECONNREFUSED;
        return -1;
    }
    struct sockaddr_in hole = {
        .sin_family = AF_INET,
        .sin_port = htons((unsigned short)cut.hole),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    return real_connect(fd, (struct sockaddr *)&hole, sizeof(hole));
}

/* Inodes of the sockets that are stale, and that were written to in the mode
 * hold; 0: none. */
static ino_t stale[MAX_DESCRIPTORS];
static ino_t written[MAX_DESCRIPTORS];

static ino_t
get_inode(int fd)
{
    struct stat status = {0};
    return fstat(fd, &status) == 0 ? status.st_ino : 0;
}

static bool
is_stale(int fd)
{
    return fd >= 0 && fd < MAX_DESCRIPTORS && stale[fd] != 0 &&
           stale[fd] == get_inode(fd);
}

static void
hold_write(int fd)
{
    if (fd < 0 || fd >= MAX_DESCRIPTORS) {
        return;
    }
    ino_t inode = get_inode(fd);
    if (written[fd] != inode) {
        written[fd] = inode; /* the first write on this connection */
        return;
    }
    char name[4096];
    snprintf(name, sizeof(name), "%s.held", getenv("SAS_CUT_LINKS"));
    FILE *file = fopen(name, "we");
    if (file != NULL) {
        fclose(file);
    }
    struct pollfd peer = {.fd = fd};
    poll(&peer, 1, HOLD_MS);
}

/* Whether bytes written to a connection vanish. */
static bool
is_swallowed(int fd)
{
    if (is_stale(fd)) {
        return true;
    }
    struct cut cut = find_cut_of(fd);
    if (strcmp(cut.mode, "hold") == 0) {
        hold_write(fd);
        return false;
    }
    if (strcmp(cut.mode, "reset") == 0) {
        shutdown(fd, SHUT_RDWR);
        return true;
    }
    return strcmp(cut.mode, "silent") == 0;
}

ssize_t
write(int fd, const void *bytes, size_t size)
{
    return is_swallowed(fd) ? (ssize_t)size : real_write(fd, bytes, size);
}

ssize_t
writev(int fd, const struct iovec *parts, int count)
{
    if (!is_swallowed(fd)) {
        return real_writev(fd, parts, count);
    }
    ssize_t size = 0;
    for (int i = 0; i < count; i++) {
        size += (ssize_t)parts[i].iov_len;
    }
    return size;
}

static void
write_count(const char *path, int count)
{
    char name[4096];
    char temporary[4096];
    snprintf(name, sizeof(name), "%s.stale", path);
    snprintf(temporary, sizeof(temporary), "%s.stale.new", path);
    FILE *file = fopen(temporary, "we");
    if (file != NULL) {
        fprintf(file, "%d\n", count);
        fclose(file);
        rename(temporary, name);
    }
}

/* Ends the open connections that a cut has reset, or makes them stale, once
 * for each file. */
static void
change_connections(void)
{
    static ino_t seen;
    const char *path = getenv("SAS_CUT_LINKS");
    struct stat file = {0};
    int saved = errno;
    if (path == NULL || stat(path, &file) != 0) {
        file.st_ino = 0;
    }
    bool changed = file.st_ino != 0 && file.st_ino != seen;
    seen = file.st_ino;
    int count = 0;
    for (int fd = 0; changed && fd < MAX_DESCRIPTORS; fd++) {
        struct cut cut = find_cut_of(fd);
        if (strcmp(cut.mode, "reset") == 0) {
            shutdown(fd, SHUT_RDWR);
        }
        if (strcmp(cut.mode, "stale") == 0) {
            stale[fd] = get_inode(fd);
            count++;
        }
    }
    if (changed) {
        write_count(path, count);
    }
    errno = saved;
}

int
epoll_wait(int fd, struct epoll_event *events, int max, int timeout_ms)
{
    change_connections();
    return real_epoll_wait(fd, events, max, timeout_ms);
}

int
epoll_pwait(int fd, struct epoll_event *events, int max, int timeout_ms,
            const sigset_t *mask)
{
    change_connections();
    return real_epoll_pwait(fd, events, max, timeout_ms, mask);
}

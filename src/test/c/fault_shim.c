/*
 * Lets system calls of a process fail on request; loaded with LD_PRELOAD by the tests (see SystemFaultShim.java). The faults in force stand
 * in a file that the test writes and this library maps: FAULT_SHIM_CONTROL names it. A call that is not to fail goes to the C library.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The order is that of SystemFaultShim.Operation. */
enum operation { OP_SOCKET, OP_CONNECT, OP_ACCEPT, OP_SOCKET_READ, OP_SOCKET_WRITE, OP_FILE_OPEN, OP_FILE_READ, OP_FILE_WRITE,
        OP_FILE_TRUNCATE, OP_FILE_RENAME, OP_FILE_CLOSE, OPERATIONS };

/* error is an errno value, or SHORT_COUNT: only a part of the bytes is read or written. */
#define SHORT_COUNT (-1)
#define NANOS_PER_SECOND 1000000000LL
#define PER_MILLE 1000

struct fault {
    int64_t error;
    int64_t per_mille; /* how many of a thousand calls fail */
};

struct control {
    int64_t wall_clock_offset_nanos;
    struct fault faults[OPERATIONS];
    char folder[1024]; /* file operations fail only below it */
};

static volatile struct control *control;
static __thread uint64_t random_state;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("FAULT_SHIM_CONTROL");
    int fd = path == NULL ? -1 : (int) open(path, O_RDONLY);
    if (fd >= 0) {
        void *mapped = mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, fd, 0);
        control = mapped == MAP_FAILED ? NULL : mapped;
        close(fd);
    }
}

static void *original(const char *name, void **cache) {
    if (*cache == NULL) {
        *cache = dlsym(RTLD_NEXT, name);
    }
    return *cache;
}

#define ORIGINAL(result, name, parameters) \
    static void *name##_cache; \
    result (*real) parameters = (result (*) parameters) original(#name, &name##_cache)

static int next_per_mille(void) {
    if (random_state == 0) {
        random_state = 0x9e3779b97f4a7c15ULL ^ (uint64_t) (uintptr_t) &random_state;
    }
    random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (int) ((random_state >> 33) % PER_MILLE);
}

/* The error that this call is to end with, or 0. */
static int64_t drawn_error(enum operation operation) {
    if (control == NULL || control->faults[operation].per_mille == 0
            || next_per_mille() >= control->faults[operation].per_mille) {
        return 0;
    }
    return control->faults[operation].error;
}

static int is_in_folder(const char *path) {
    size_t length = control == NULL ? 0 : strlen((const char *) control->folder);
    return length > 0 && strncmp(path, (const char *) control->folder, length) == 0;
}

static int is_file_in_folder(int fd) {
    char link[64];
    char target[2048];
    if (control == NULL || control->folder[0] == 0) {
        return 0;
    }
    strcpy(link, "/proc/self/fd/");
    char digits[16];
    int count = 0;
    int rest = fd;
    do {
        digits[count++] = (char) ('0' + rest % 10);
        rest /= 10;
    } while (rest > 0);
    size_t end = strlen(link);
    while (count > 0) {
        link[end++] = digits[--count];
    }
    link[end] = 0;
    ssize_t length = readlink(link, target, sizeof(target) - 1);
    if (length <= 0) {
        return 0;
    }
    target[length] = 0;
    return is_in_folder(target);
}

static int is_socket(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int active(enum operation operation) {
    return control != NULL && control->faults[operation].per_mille != 0;
}

/* The error for an operation on a descriptor, by what the descriptor is. */
static int64_t descriptor_error(int fd, enum operation on_socket, enum operation on_file) {
    int saved = errno;
    int64_t error = 0;
    if (active(on_socket) && is_socket(fd)) {
        error = drawn_error(on_socket);
    } else if (active(on_file) && is_file_in_folder(fd)) {
        error = drawn_error(on_file);
    }
    errno = saved;
    return error;
}

static int fail(int64_t error) {
    errno = (int) error;
    return -1;
}

static void add_offset(struct timespec *time) {
    int64_t nanos = time->tv_nsec + (control == NULL ? 0 : control->wall_clock_offset_nanos % NANOS_PER_SECOND);
    time->tv_sec += control == NULL ? 0 : control->wall_clock_offset_nanos / NANOS_PER_SECOND;
    if (nanos < 0) {
        nanos += NANOS_PER_SECOND;
        time->tv_sec--;
    } else if (nanos >= NANOS_PER_SECOND) {
        nanos -= NANOS_PER_SECOND;
        time->tv_sec++;
    }
    time->tv_nsec = nanos;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    ORIGINAL(int, clock_gettime, (clockid_t, struct timespec *));
    int result = real(clock, time);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        add_offset(time);
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    struct timespec now;
    (void) zone;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    return result;
}

time_t time(time_t *result) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result != NULL) {
        *result = now.tv_sec;
    }
    return now.tv_sec;
}

int socket(int domain, int type, int protocol) {
    ORIGINAL(int, socket, (int, int, int));
    int64_t error = domain == AF_UNIX ? 0 : drawn_error(OP_SOCKET);
    return error != 0 ? fail(error) : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    ORIGINAL(int, connect, (int, const struct sockaddr *, socklen_t));
    int64_t error = drawn_error(OP_CONNECT);
    if (error == EINTR) {
        real(fd, address, length); /* Linux goes on with the attempt */
    }
    return error != 0 ? fail(error) : real(fd, address, length);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    ORIGINAL(int, accept, (int, struct sockaddr *, socklen_t *));
    int64_t error = drawn_error(OP_ACCEPT);
    return error != 0 ? fail(error) : real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    ORIGINAL(int, accept4, (int, struct sockaddr *, socklen_t *, int));
    int64_t error = drawn_error(OP_ACCEPT);
    return error != 0 ? fail(error) : real(fd, address, length, flags);
}

ssize_t read(int fd, void *buffer, size_t count) {
    ORIGINAL(ssize_t, read, (int, void *, size_t));
    int64_t error = descriptor_error(fd, OP_SOCKET_READ, OP_FILE_READ);
    if (error == SHORT_COUNT) {
        return real(fd, buffer, count > 1 ? 1 : count);
    }
    return error != 0 ? fail(error) : real(fd, buffer, count);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    ORIGINAL(ssize_t, readv, (int, const struct iovec *, int));
    int64_t error = descriptor_error(fd, OP_SOCKET_READ, OP_FILE_READ);
    return error > 0 ? fail(error) : real(fd, parts, count);
}

ssize_t write(int fd, const void *buffer, size_t count) {
    ORIGINAL(ssize_t, write, (int, const void *, size_t));
    int64_t error = descriptor_error(fd, OP_SOCKET_WRITE, OP_FILE_WRITE);
    if (error == SHORT_COUNT) {
        return real(fd, buffer, count > 1 ? count / 2 : count);
    }
    if (error != 0 && count > 1 && is_file_in_folder(fd)) {
        ssize_t written = real(fd, buffer, count / 2); /* half of it reaches the file, as on a disk that fills up */
        (void) written;
        return fail(error);
    }
    return error != 0 ? fail(error) : real(fd, buffer, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    ORIGINAL(ssize_t, writev, (int, const struct iovec *, int));
    int64_t error = descriptor_error(fd, OP_SOCKET_WRITE, OP_FILE_WRITE);
    if (error == SHORT_COUNT) {
        return write(fd, parts[0].iov_base, parts[0].iov_len);
    }
    return error != 0 ? fail(error) : real(fd, parts, count);
}

static int64_t path_error(const char *path, enum operation operation) {
    return active(operation) && is_in_folder(path) ? drawn_error(operation) : 0;
}

int open64(const char *path, int flags, ...) {
    ORIGINAL(int, open64, (const char *, int, ...));
    int64_t error = path_error(path, OP_FILE_OPEN);
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    return error != 0 ? fail(error) : real(path, flags, mode);
}

int ftruncate64(int fd, off64_t length) {
    ORIGINAL(int, ftruncate64, (int, off64_t));
    int64_t error = active(OP_FILE_TRUNCATE) && is_file_in_folder(fd) ? drawn_error(OP_FILE_TRUNCATE) : 0;
    return error != 0 ? fail(error) : real(fd, length);
}

int rename(const char *from, const char *to) {
    ORIGINAL(int, rename, (const char *, const char *));
    int64_t error = path_error(from, OP_FILE_RENAME);
    return error != 0 ? fail(error) : real(from, to);
}

int close(int fd) {
    ORIGINAL(int, close, (int));
    int64_t error = active(OP_FILE_CLOSE) && is_file_in_folder(fd) ? drawn_error(OP_FILE_CLOSE) : 0;
    int result = real(fd); /* Linux frees the descriptor even where close reports an error */
    return error != 0 ? fail(error) : result;
}

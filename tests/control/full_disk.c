/* Emulates a full disk for the processes of the tests. Writes to files below FULL_DISK_DIR fail with ENOSPC if the folder
 * would then hold more bytes than the number in the file FULL_DISK_LIMIT. Without that file nothing fails. */
#define _GNU_SOURCE
#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

static int is_below(const char *dir, int fd) {
    char link[64], path[4096];
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t len = readlink(link, path, sizeof path - 1);
    return len > 0 && strncmp(path, dir, strlen(dir)) == 0 && path[strlen(dir)] == '/';
}

static long long used_bytes(const char *dir) {
    long long sum = 0;
    DIR *entries = opendir(dir);
    if (!entries) return 0;
    for (struct dirent *it; (it = readdir(entries));) {
        struct stat info;
        if (fstatat(dirfd(entries), it->d_name, &info, 0) == 0 && S_ISREG(info.st_mode)) sum += info.st_size;
    }
    closedir(entries);
    return sum;
}

static int is_refused(int fd, size_t count) {
    const char *dir = getenv("FULL_DISK_DIR"), *limit = getenv("FULL_DISK_LIMIT");
    if (!dir || !limit || access(limit, F_OK) != 0 || !is_below(dir, fd)) return 0;
    long long max = 0;
    FILE *file = fopen(limit, "r");
    if (!file) return 0;
    int parsed = fscanf(file, "%lld", &max);
    fclose(file);
    return parsed == 1 && used_bytes(dir) + (long long)count > max;
}

ssize_t write(int fd, const void *buf, size_t count) {
    static ssize_t (*next)(int, const void *, size_t);
    if (!next) *(void **)&next = dlsym(RTLD_NEXT, "write");
    if (is_refused(fd, count)) {
        errno = ENOSPC;
        return -1;
    }
    return next(fd, buf, count);
}

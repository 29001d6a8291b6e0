/* Limits the buffers of all TCP sockets of the process into which it is loaded.
 *
 * BUFFER_BYTES in the environment is the size for SO_SNDBUF and SO_RCVBUF. Accepted sockets inherit the sizes of
 * their listening socket. Small buffers show delays that the large ones of a loopback interface hide.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <stdlib.h>
#include <sys/socket.h>

int socket(int domain, int type, int protocol) {
    static int (*next_socket)(int, int, int);
    if (!next_socket) {
        next_socket = (int (*)(int, int, int))dlsym(RTLD_NEXT, "socket");
    }
    int descriptor = next_socket(domain, type, protocol);
    const char *text = getenv("BUFFER_BYTES");
    if (descriptor >= 0 && text && domain == AF_INET && (type & 0xf) == SOCK_STREAM) {
        int size = atoi(text);
        setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    }
    return descriptor;
}

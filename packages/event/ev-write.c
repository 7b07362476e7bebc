#include "event/ev-log.h"

#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

/* A pipe that polls as writable accepts this much without blocking. */
#define WRITE_MAX 4096

void ev_write_buf(int fd, struct gb_buf *buf)
{
	struct pollfd ready = { .fd = fd, .events = POLLOUT };
	size_t done = 0;

	while (done < buf->len) {
		size_t len = MIN(buf->len - done, WRITE_MAX);
		ssize_t ret;

		if (poll(&ready, 1, 0) <= 0 || !(ready.revents & POLLOUT))
			break;
		ret = write(fd, buf->ptr + done, len);
		if (ret < 0 && errno == EINTR)
			continue;
		if (ret < 0)
			break;
		done += ret;
	}
	if (!done)
		return;
	buf->len -= done;
	memmove(buf->ptr, buf->ptr + done, buf->len);
}

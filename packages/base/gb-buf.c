#include "base/gb.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static void reserve(struct gb_buf *buf, size_t more);

/* Makes room for more bytes and a final NUL. */
static void reserve(struct gb_buf *buf, size_t more)
{
	size_t need = buf->len + more + 1;

	if (need <= buf->cap)
		return;
	buf->cap = MAX(need, buf->cap * 2);
	buf->cap = MAX(buf->cap, 64);
	buf->ptr = g_realloc(buf->ptr, buf->cap);
}

void gb_buf_add(struct gb_buf *buf, struct gb_str s)
{
	reserve(buf, s.len);
	if (s.len)
		memcpy(buf->ptr + buf->len, s.ptr, s.len);
	buf->len += s.len;
	buf->ptr[buf->len] = '\0';
}

void gb_buf_addc(struct gb_buf *buf, char c)
{
	gb_buf_add(buf, (struct gb_str){ .ptr = &c, .len = 1 });
}

void gb_buf_addf(struct gb_buf *buf, const char *fmt, ...)
{
	va_list ap;
	int len;

	va_start(ap, fmt);
	len = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (len <= 0)
		return;
	reserve(buf, len);
	va_start(ap, fmt);
	vsnprintf(buf->ptr + buf->len, len + 1, fmt, ap);
	va_end(ap);
	buf->len += len;
}

/* Empties the buffer and keeps its memory. */
void gb_buf_reset(struct gb_buf *buf)
{
	buf->len = 0;
	if (buf->ptr)
		buf->ptr[0] = '\0';
}

void gb_buf_free(struct gb_buf *buf)
{
	g_free(buf->ptr);
	*buf = GB_BUF_INIT;
}

struct gb_str gb_buf_str(const struct gb_buf *buf)
{
	return (struct gb_str){ .ptr = buf->ptr, .len = buf->len };
}

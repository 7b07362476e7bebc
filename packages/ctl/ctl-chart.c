#include "ctl/ctl-chart.h"

#include <cairo-svg.h>
#include <math.h>

/* Sizes in points. */
#define WIDTH 900
#define HEIGHT 480
#define LEFT 60
#define RIGHT 20
#define TOP 30
#define PANEL_GAP 40
#define LATENCY_HEIGHT 240
#define SHARE_HEIGHT 120
#define DOT_RADIUS 1.5
#define TEXT_SIZE 11

/* Range of the latency axis, in seconds. */
#define ELAPSED_MIN 0.001
#define ELAPSED_MAX 10.0

/* Most time intervals for which the lower panel shows a share. */
#define INTERVALS_MAX 120

struct color {
	double red, green, blue;
};

static const struct color kind_colors[CTL_KINDS] = {
	[CTL_KIND_COMPLETE] = { 0.15, 0.45, 0.75 },
	[CTL_KIND_PARTIAL] = { 0.95, 0.60, 0.10 },
	[CTL_KIND_REFUSED] = { 0.55, 0.55, 0.55 },
	[CTL_KIND_FAILED] = { 0.85, 0.15, 0.15 },
};

const struct gb_str ctl_answer_kind_names[CTL_KINDS] = {
	[CTL_KIND_COMPLETE] = GB_STR_INIT("complete"),
	[CTL_KIND_PARTIAL] = GB_STR_INIT("partial"),
	[CTL_KIND_REFUSED] = GB_STR_INIT("refused"),
	[CTL_KIND_FAILED] = GB_STR_INIT("failed"),
};

static double x_of_time(const struct ctl_chart_data *data, double time)
{
	return LEFT + (WIDTH - LEFT - RIGHT) * time / MAX(data->length, 1e-3);
}

static double y_of_elapsed(double elapsed)
{
	double clamped = CLAMP(elapsed, ELAPSED_MIN, ELAPSED_MAX);
	double share =
		log(clamped / ELAPSED_MIN) / log(ELAPSED_MAX / ELAPSED_MIN);

	return TOP + LATENCY_HEIGHT * (1 - share);
}

static double y_of_share(double share)
{
	return TOP + LATENCY_HEIGHT + PANEL_GAP + SHARE_HEIGHT * (1 - share);
}

static void set_color(cairo_t *cr, const struct color *color, double alpha)
{
	cairo_set_source_rgba(cr, color->red, color->green, color->blue, alpha);
}

static void draw_text(cairo_t *cr, double x, double y, const char *text)
{
	cairo_set_source_rgb(cr, 0, 0, 0);
	cairo_move_to(cr, x, y);
	cairo_show_text(cr, text);
}

static void draw_grid_line(cairo_t *cr, double x1, double y1, double x2,
			   double y2)
{
	cairo_set_source_rgba(cr, 0, 0, 0, 0.2);
	cairo_set_line_width(cr, 0.5);
	cairo_move_to(cr, x1, y1);
	cairo_line_to(cr, x2, y2);
	cairo_stroke(cr);
}

/* Labels alternate between two heights, as those of short faults overlap. */
static void draw_bands(cairo_t *cr, const struct ctl_chart_data *data)
{
	static const struct color shade = { 0.8, 0.2, 0.2 };

	for (guint i = 0; i < data->bands->len; i++) {
		const struct ctl_band *band =
			&g_array_index(data->bands, struct ctl_band, i);
		double from = x_of_time(data, band->begin);
		double width = MAX(x_of_time(data, band->end) - from, 1);

		set_color(cr, &shade, 0.10);
		cairo_rectangle(cr, from, TOP, width,
				LATENCY_HEIGHT + PANEL_GAP + SHARE_HEIGHT);
		cairo_fill(cr);
		draw_text(cr, from, TOP - 4 - TEXT_SIZE * (i % 2), band->label);
	}
}

static void draw_axes(cairo_t *cr, const struct ctl_chart_data *data)
{
	double interval = MAX(1, ceil(data->length / 12));
	char text[32];

	for (double at = ELAPSED_MIN; at <= ELAPSED_MAX; at *= 10) {
		g_snprintf(text, sizeof(text), "%g ms", at * 1000);
		draw_grid_line(cr, LEFT, y_of_elapsed(at), WIDTH - RIGHT,
			       y_of_elapsed(at));
		draw_text(cr, 4, y_of_elapsed(at) + 4, text);
	}
	for (double share = 0; share <= 1; share += 0.5) {
		g_snprintf(text, sizeof(text), "%g%%", share * 100);
		draw_grid_line(cr, LEFT, y_of_share(share), WIDTH - RIGHT,
			       y_of_share(share));
		draw_text(cr, 4, y_of_share(share) + 4, text);
	}
	for (double at = 0; at <= data->length; at += interval) {
		g_snprintf(text, sizeof(text), "%g s", at);
		draw_text(cr, x_of_time(data, at), y_of_share(0) + 16, text);
	}
}

static void draw_legend(cairo_t *cr)
{
	double x = LEFT;

	for (int kind = 0; kind < CTL_KINDS; kind++) {
		set_color(cr, &kind_colors[kind], 1);
		cairo_rectangle(cr, x, HEIGHT - 18, 8, 8);
		cairo_fill(cr);
		draw_text(cr, x + 12, HEIGHT - 10,
			  ctl_answer_kind_names[kind].ptr);
		x += 90;
	}
	draw_text(
		cr, x, HEIGHT - 10,
		"lower panel: share of requests answered and of parts present");
}

static void draw_answers(cairo_t *cr, const struct ctl_chart_data *data)
{
	for (guint i = 0; i < data->answers->len; i++) {
		const struct ctl_answer *answer =
			&g_array_index(data->answers, struct ctl_answer, i);

		set_color(cr, &kind_colors[answer->kind], 0.5);
		cairo_arc(cr, x_of_time(data, answer->time),
			  y_of_elapsed(answer->elapsed), DOT_RADIUS, 0,
			  2 * G_PI);
		cairo_fill(cr);
	}
}

/* Numbers of requests and parts in one time interval of the lower panel. */
struct interval {
	double answered, requests, parts_present, parts;
};

static void fill_intervals(const struct ctl_chart_data *data,
			   struct interval *intervals, uint32_t len)
{
	for (guint i = 0; i < data->answers->len; i++) {
		const struct ctl_answer *answer =
			&g_array_index(data->answers, struct ctl_answer, i);
		uint32_t at = (uint32_t)(answer->time * len / data->length);
		struct interval *interval = &intervals[MIN(at, len - 1)];
		bool answered = answer->kind == CTL_KIND_COMPLETE ||
				answer->kind == CTL_KIND_PARTIAL;

		interval->requests++;
		interval->answered += answered;
		interval->parts += answer->parts;
		if (answered)
			interval->parts_present +=
				answer->parts - answer->missing_parts;
	}
}

static void draw_shares(cairo_t *cr, const struct ctl_chart_data *data)
{
	uint32_t len = CLAMP((uint32_t)data->length, 1, INTERVALS_MAX);
	struct interval *intervals = g_new0(struct interval, len);

	fill_intervals(data, intervals, len);
	cairo_set_line_width(cr, 1.5);
	for (int parts = 0; parts < 2; parts++) {
		bool line_started = false;

		set_color(cr,
			  &kind_colors[parts ? CTL_KIND_PARTIAL
					     : CTL_KIND_COMPLETE],
			  1);
		for (uint32_t i = 0; i < len; i++) {
			double requests = parts ? intervals[i].parts
						: intervals[i].requests;
			double present = parts ? intervals[i].parts_present
					       : intervals[i].answered;
			double x =
				x_of_time(data, (i + 0.5) * data->length / len);

			if (!requests) {
				line_started = false;
				continue;
			}
			if (line_started)
				cairo_line_to(cr, x,
					      y_of_share(present / requests));
			else
				cairo_move_to(cr, x,
					      y_of_share(present / requests));
			line_started = true;
		}
		cairo_stroke(cr);
	}
	g_free(intervals);
}

static void draw_chart(cairo_surface_t *surface,
		       const struct ctl_chart_data *data)
{
	cairo_t *cr = cairo_create(surface);

	cairo_set_source_rgb(cr, 1, 1, 1);
	cairo_paint(cr);
	cairo_set_font_size(cr, TEXT_SIZE);
	draw_bands(cr, data);
	draw_axes(cr, data);
	draw_answers(cr, data);
	draw_shares(cr, data);
	draw_legend(cr);
	cairo_destroy(cr);
}

int ctl_chart_write(const struct ctl_chart_data *data, const char *path)
{
	bool is_png = g_str_has_suffix(path, ".png");
	cairo_surface_t *surface =
		is_png ? cairo_image_surface_create(CAIRO_FORMAT_RGB24, WIDTH,
						    HEIGHT)
		       : cairo_svg_surface_create(path, WIDTH, HEIGHT);
	cairo_status_t status;

	draw_chart(surface, data);
	if (is_png) {
		status = cairo_surface_write_to_png(surface, path);
	} else {
		cairo_surface_finish(surface);
		status = cairo_surface_status(surface);
	}
	cairo_surface_destroy(surface);
	return status == CAIRO_STATUS_SUCCESS ? 0 : -1;
}

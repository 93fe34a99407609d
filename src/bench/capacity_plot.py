"""Draws measured points and fitted lines as an SVG image with one panel for each measurement."""

from xml.sax.saxutils import escape

PANEL_W, PANEL_H, MARGIN, COLUMNS = 300, 190, 42, 3


def draw_panel(fit, left, top):
    """Draws the points, the fitted line and the axis ranges; both axes start at zero.

    left and top are the position of the panel in pixels."""
    max_x = max(x for x, _ in fit.points)
    max_y = max(max(y for _, y in fit.points), fit.on_line(max_x), 1e-9)
    width, height = PANEL_W - 2 * MARGIN, PANEL_H - 2 * MARGIN

    def to_pixels(x, y):
        return (left + MARGIN + width * x / max_x,
                top + MARGIN + height * (1 - max(y, 0) / max_y))

    x0, y0 = to_pixels(0, 0)
    x1, y1 = to_pixels(max_x, fit.on_line(max_x))
    _, line_y0 = to_pixels(0, fit.intercept)
    out = [f'<rect x="{left + MARGIN}" y="{top + MARGIN}" width="{width}" height="{height}" '
           'fill="none" stroke="#999"/>',
           f'<text x="{left + MARGIN}" y="{top + MARGIN - 8}">{escape(fit.name)}, '
           f'{escape(fit.unit)} (residual {100 * fit.residual:.1f}%)</text>',
           f'<line x1="{x0:.1f}" y1="{line_y0:.1f}" x2="{x1:.1f}" y2="{y1:.1f}" stroke="#06c"/>',
           f'<text x="{left + MARGIN + width}" y="{top + PANEL_H - MARGIN + 14}" '
           f'text-anchor="end">{max_x:,}</text>',
           f'<text x="{left + MARGIN - 4}" y="{top + MARGIN + 8}" text-anchor="end">'
           f'{max_y:.2g}</text>']
    for x, y in fit.points:
        cx, cy = to_pixels(x, y)
        out.append(f'<circle cx="{cx:.1f}" cy="{cy:.1f}" r="3" fill="#c30"/>')
    return out


def draw(fits):
    fits = list(fits)
    panel_rows = -(-len(fits) // COLUMNS)
    width, height = COLUMNS * PANEL_W, panel_rows * PANEL_H
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
           'font-family="sans-serif" font-size="11">',
           f'<rect width="{width}" height="{height}" fill="white"/>']
    for index, fit in enumerate(fits):
        out += draw_panel(fit, index % COLUMNS * PANEL_W, index // COLUMNS * PANEL_H)
    return "\n".join(out + ["</svg>"]) + "\n"

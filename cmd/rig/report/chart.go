package report

import (
	"fmt"
	"image/color"
	"math"
	"sort"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"stepwick/cmd/rig/history"
)

const (
	chartWidth  = 14 * vg.Inch
	chartHeight = 6 * vg.Inch

	// minLabelDistance is the minimum time between two labelled actions; labels that
	// are closer would overlap.
	minLabelDistance = 700 * time.Millisecond
)

// chart is a line chart over time with a vertical line for each action.
type chart struct {
	title     string
	unit      string
	lines     map[string]plotter.XYs // by name
	actions   []history.Action
	limitLine bool // draw a dashed line at 1
}

// serviceLines returns the attempts per second by outcome.
func serviceLines(seconds []Second) map[string]plotter.XYs {
	lines := map[string]plotter.XYs{}
	for _, second := range seconds {
		counts := map[string]int{
			"served":  second.Served,
			"refused": second.Rejected,
			"failed":  second.Failed,
		}
		for name, count := range counts {
			lines[name] = append(lines[name], plotter.XY{X: float64(second.Second), Y: float64(count)})
		}
	}
	return lines
}

// quotaLines returns the quota use by tenant.
func quotaLines(seconds []Second) map[string]plotter.XYs {
	lines := map[string]plotter.XYs{}
	for _, second := range seconds {
		for tenant, use := range second.QuotaUse {
			lines[tenant] = append(lines[tenant], plotter.XY{X: float64(second.Second), Y: use})
		}
	}
	return lines
}

// save draws the chart into a file; the extension of path selects the format.
func (c chart) save(path string) error {
	canvas := plot.New()
	canvas.Title.Text = c.title
	canvas.X.Label.Text = "seconds"
	canvas.Y.Label.Text = c.unit
	canvas.Legend.Top = true
	canvas.Legend.Left = true
	canvas.Y.Min = 0
	if err := c.addLines(canvas); err != nil {
		return errors.Wrap(err, "draw chart")
	}
	if c.limitLine {
		if err := addLimitLine(canvas); err != nil {
			return errors.Wrap(err, "draw chart")
		}
	}
	if err := c.addActions(canvas); err != nil {
		return errors.Wrap(err, "draw chart")
	}
	return errors.Wrap(canvas.Save(chartWidth, chartHeight, path), fmt.Sprint("save chart ", path))
}

func (c chart) addLines(p *plot.Plot) error {
	names := make([]string, 0, len(c.lines))
	for name := range c.lines {
		names = append(names, name)
	}
	sort.Strings(names)
	for i, name := range names {
		line, err := plotter.NewLine(c.lines[name])
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(1.2)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return nil
}

// addLimitLine draws a dashed line at 1 over the X range of the lines added so far.
func addLimitLine(p *plot.Plot) error {
	limit, err := plotter.NewLine(plotter.XYs{{X: p.X.Min, Y: 1}, {X: p.X.Max, Y: 1}})
	if err != nil {
		return err
	}
	limit.Dashes = plotutil.Dashes(1)
	p.Add(limit)
	return nil
}

// maxY returns the highest value of all lines, at least 1.
func (c chart) maxY() float64 {
	top := 1.0
	for _, line := range c.lines {
		for _, point := range line {
			top = max(top, point.Y)
		}
	}
	return top
}

// addActions draws a vertical line for each action, and labels those at least
// minLabelDistance after the last label.
func (c chart) addActions(p *plot.Plot) error {
	top := c.maxY()
	labels := plotter.XYLabels{}
	lastLabel := time.Duration(math.MinInt64 / 2)
	for _, action := range c.actions {
		xSeconds := action.At.Seconds()
		bar, err := plotter.NewLine(plotter.XYs{{X: xSeconds, Y: 0}, {X: xSeconds, Y: top}})
		if err != nil {
			return err
		}
		bar.Color = color.Gray{Y: 170}
		bar.Width = vg.Points(0.5)
		p.Add(bar)
		if action.At-lastLabel <= minLabelDistance {
			continue
		}
		labels.XYs = append(labels.XYs, plotter.XY{X: xSeconds, Y: top})
		labels.Labels = append(labels.Labels, action.Description)
		lastLabel = action.At
	}
	return addLabels(p, labels)
}

func addLabels(p *plot.Plot, labels plotter.XYLabels) error {
	if len(labels.Labels) == 0 {
		return nil
	}
	text, err := plotter.NewLabels(labels)
	if err != nil {
		return err
	}
	for i := range text.TextStyle {
		text.TextStyle[i].Rotation = -math.Pi / 2
		text.TextStyle[i].Font.Size = vg.Points(7)
	}
	p.Add(text)
	return nil
}

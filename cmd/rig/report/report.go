// Package report writes what came of a run into a folder: JSON lines by the
// second, and plots of the service with the faults marked and of each tenant's
// spend against its allowance.
package report

import (
	"encoding/json"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"stepwick/cmd/rig/checker"
	"stepwick/cmd/rig/history"
)

// Second is one line of seconds.jsonl: attempts by the second in which they
// ended, and by tenant the tokens got in the 8 s before as a share of the
// allowance.
type Second struct {
	Second  int                `json:"second"`
	Served  int                `json:"served"`
	Refused int                `json:"refused"`
	Failed  int                `json:"failed"`
	Spend   map[string]float64 `json:"spend"`
	Marks   []string           `json:"marks,omitempty"`
}

// Seconds folds a ledger into seconds.
func Seconds(l *history.Recording) []Second {
	out := make([]Second, int(math.Ceil(l.End.Seconds())))
	at := func(t history.Instant) *Second { return &out[min(max(int(t.Seconds()), 0), len(out)-1)] }
	if len(out) == 0 {
		return nil
	}
	tokens := map[string][]float64{}
	for i := range out {
		out[i].Second, out[i].Spend = i, map[string]float64{}
	}
	for name := range l.Allowances {
		tokens[name] = make([]float64, len(out))
	}
	for _, a := range l.Attempts {
		s := at(a.Done)
		switch a.Outcome {
		case history.Served, history.Abandoned:
			s.Served++
			if sums, ok := tokens[a.Tenant]; ok {
				sums[min(int(a.Sent.Seconds()), len(out)-1)] += a.Tokens
			}
		case history.Rejected:
			s.Refused++
		default:
			s.Failed++
		}
	}
	for _, m := range l.Actions {
		at(m.At).Marks = append(at(m.At).Marks, m.Description)
	}
	span := int(checker.QuotaWindow.Seconds())
	for name, sums := range tokens {
		allowance := l.Allowances[name]
		limit := allowance.Rate*checker.QuotaWindow.Seconds() + allowance.Burst
		for i := range out {
			sum := 0.0
			for j := max(0, i-span+1); j <= i; j++ {
				sum += sums[j]
			}
			out[i].Spend[name] = math.Round(sum/limit*1000) / 1000
		}
	}
	return out
}

// Write puts seconds.jsonl, violations.jsonl, service.svg and spend.svg into a folder.
func Write(folder, title string, l *history.Recording, found []checker.Violation) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "report")
	}
	seconds := Seconds(l)
	if err := lines(filepath.Join(folder, "seconds.jsonl"), seconds); err != nil {
		return err
	}
	if err := lines(filepath.Join(folder, "violations.jsonl"), found); err != nil {
		return err
	}
	service := map[string]plotter.XYs{}
	spend := map[string]plotter.XYs{}
	for _, s := range seconds {
		x := float64(s.Second)
		for name, y := range map[string]int{"served": s.Served, "refused": s.Refused, "failed": s.Failed} {
			service[name] = append(service[name], plotter.XY{X: x, Y: float64(y)})
		}
		for name, y := range s.Spend {
			spend[name] = append(spend[name], plotter.XY{X: x, Y: y})
		}
	}
	if err := draw(filepath.Join(folder, "service.svg"), title, "requests a second", service, l.Actions, false); err != nil {
		return err
	}
	return draw(filepath.Join(folder, "spend.svg"), title, "tokens got in the last 8 s / allowance", spend, l.Actions, true)
}

func lines[T any](path string, rows []T) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "report")
	}
	defer file.Close()
	out := json.NewEncoder(file)
	for _, row := range rows {
		if err := out.Encode(row); err != nil {
			return errors.Wrap(err, "report")
		}
	}
	return nil
}

func draw(path, title, unit string, rows map[string]plotter.XYs, marks []history.Action, one bool) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Min = 0
	names := make([]string, 0, len(rows))
	top := 1.0
	for name, row := range rows {
		names = append(names, name)
		for _, xy := range row {
			top = max(top, xy.Y)
		}
	}
	sort.Strings(names)
	for i, name := range names {
		line, err := plotter.NewLine(rows[name])
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.2)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	if one {
		bound, err := plotter.NewLine(plotter.XYs{{X: p.X.Min, Y: 1}, {X: p.X.Max, Y: 1}})
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		bound.Dashes = plotutil.Dashes(1)
		p.Add(bound)
	}
	labels := plotter.XYLabels{}
	last := time.Duration(-time.Hour)
	for _, m := range marks {
		x := m.At.Seconds()
		bar, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		bar.Color, bar.Width = color.Gray{170}, vg.Points(0.5)
		p.Add(bar)
		if m.At-last > 700*time.Millisecond {
			labels.XYs, labels.Labels = append(labels.XYs, plotter.XY{X: x, Y: top}), append(labels.Labels, m.Description)
			last = m.At
		}
	}
	if len(labels.Labels) > 0 {
		text, err := plotter.NewLabels(labels)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		for i := range text.TextStyle {
			text.TextStyle[i].Rotation, text.TextStyle[i].Font.Size = -math.Pi/2, vg.Points(7)
		}
		p.Add(text)
	}
	return errors.Wrap(p.Save(14*vg.Inch, 6*vg.Inch, path), fmt.Sprint("plot ", path))
}

// Package faultcase causes the faults of the brief on a running fleet and has what
// came of it judged from outside.
package faultcase

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"stepwick/cmd/rig/checker"
	"stepwick/cmd/rig/faultproxy"
	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/loadgen"
	"stepwick/cmd/rig/owner"
	"stepwick/internal/apierror"
	"stepwick/internal/clock"
)

// Options of a run.
type Options struct {
	Spec    fleet.Spec
	Tenants []loadgen.Tenant
	Binary  string
	// PreviousBinary is that of an earlier build; only a rolling upgrade uses it.
	PreviousBinary string
	Seed           uint64
	Seconds        int
	Keep           string // folder that gets the ledger and the nodes' logs; empty: none
	Out            io.Writer
	Table          bool              // a line each second
	Sheet          map[string]string // run-time settings of the first sheet
}

// Stage is a fleet that serves, with callers and operators.
type Stage struct {
	Options
	Fleet   *fleet.Fleet
	Book    *history.Recorder
	Crowd   *loadgen.Callers
	Control *loadgen.Operators
	Random  *rand.Rand

	ctx     context.Context
	cancel  context.CancelFunc
	running chan struct{}
	parts   int
	dir     string
	Began   history.Instant // traffic began

	// Rolling is the result of a rolling upgrade; nil in other cases.
	Rolling *RollingSummary
}

// Open starts a fleet, gives it a first sheet and lets callers in.
func Open(ctx context.Context, o Options) (*Stage, error) {
	dir, err := os.MkdirTemp("", "stepwick-rig-")
	if err != nil {
		return nil, errors.Wrap(err, "temp folder")
	}
	s := &Stage{Options: o, dir: dir, Book: history.NewRecorder(int64(o.Seed)), Random: rand.New(rand.NewPCG(o.Seed, 5)), running: make(chan struct{}, 8)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	if s.Fleet, err = fleet.New(o.Spec, o.Binary, dir, s.Book, o.Seed); err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	if err := s.Fleet.Start(); err != nil {
		s.abort()
		return nil, err
	}
	s.Control = loadgen.NewOperators(s.Fleet, o.Seed)
	s.Crowd = loadgen.NewCallers(s.Fleet, o.Tenants, o.Seed)
	if err := s.first(); err != nil {
		s.abort()
		return nil, err
	}
	s.Began = s.Book.Now()
	s.part(func() { s.Crowd.Run(s.ctx) })
	s.part(func() { s.Control.RunKeyChecks(s.ctx, 300*time.Millisecond) })
	if o.Table {
		s.part(s.table)
	}
	return s, nil
}

func (s *Stage) part(f func()) {
	s.parts++
	go func() { f(); s.running <- struct{}{} }()
}

// first submits the first sheet and waits until every node is ready.
func (s *Stage) first() error {
	ctx, cancel := context.WithTimeout(s.ctx, 40*time.Second)
	defer cancel()
	key := s.Control.NextKey()
	sheet := loadgen.NewSheet(s.Fleet, s.Tenants, key)
	sheet.Settings = s.Sheet
	order := s.Control.Put("ade", 0, sheet, key)
	if told := s.Control.Submit(ctx, order, s.Fleet.Nodes); !told.Acknowledged() {
		return errors.Errorf("the first sheet was not accepted: status %d code %d %s; node logs:\n%s", told.Status, told.Code, told.Detail, s.tails())
	}
	for _, n := range s.Fleet.Nodes {
		for {
			if p := s.Control.CheckKey(n, key); p.Accepted() {
				break
			} else if !owner.Sleep(ctx, 100*time.Millisecond) {
				return errors.Errorf("node %s did not serve within 40 s: probe status %d code %d %s; node logs:\n%s", n.Name, p.Status, p.Code, p.Detail, s.tails())
			}
		}
	}
	return nil
}

func (s *Stage) tails() (text string) {
	for _, n := range s.Fleet.Nodes {
		data, _ := os.ReadFile(n.LogFile())
		text += fmt.Sprintf("--- %s\n%s\n", n.Name, data[max(0, len(data)-600):])
	}
	return text
}

func (s *Stage) abort() {
	s.cancel()
	s.keep()
	s.Fleet.Close()
	s.Book.Close()
	os.RemoveAll(s.dir)
}

func (s *Stage) keep() {
	if s.Keep == "" {
		return
	}
	_ = os.MkdirAll(s.Keep, 0o755)
	for _, n := range s.Fleet.Nodes {
		if data, err := os.ReadFile(n.LogFile()); err == nil {
			_ = os.WriteFile(filepath.Join(s.Keep, n.Name+".log"), data, 0o644)
		}
	}
}

// Wait lets time pass; false when the run is cut short.
func (s *Stage) Wait(d time.Duration) bool { return owner.Sleep(s.ctx, d) }

// Seconds as a span.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// Context ends with the stage.
func (s *Stage) Context() context.Context { return s.ctx }

// Cut cuts both directions between two groups in silence.
func (s *Stage) Cut(left, right []string) {
	s.Book.AddAction(fmt.Sprintf("cut %v from the rest", left), false)
	s.Book.SetPartitioned(true)
	s.Fleet.Links.Between(left, right, faultproxy.Mode{Blocked: true})
}

// Heal lets all links pass again.
func (s *Stage) Heal() {
	s.Book.AddAction("heal", false)
	s.Fleet.Links.Heal()
	s.Book.SetPartitioned(false)
}

// Others returns the nodes that are not in a group.
func (s *Stage) Others(group []string) (names []string) {
	for _, n := range s.Fleet.Nodes {
		in := false
		for _, g := range group {
			in = in || g == n.Name
		}
		if !in {
			names = append(names, n.Name)
		}
	}
	return names
}

func (s *Stage) table() {
	ticker := clock.System().Ticker(time.Second)
	defer ticker.Stop()
	var last loadgen.Counts
	fmt.Fprintf(s.Out, "%6s %8s %9s %8s %8s %7s %8s\n", "second", "served", "refused", "failed", "unsent", "epoch", "skipped")
	for i := 1; ; i++ {
		select {
		case <-ticker.C():
		case <-s.ctx.Done():
			return
		}
		now := s.Crowd.Counts()
		_, version := s.Control.NewestKey()
		fmt.Fprintf(s.Out, "%6d %8d %9d %8d %8d %7d %8d\n", i, now.Served-last.Served, now.Rejected-last.Rejected, now.Failed-last.Failed, now.Unsent-last.Unsent, version, s.Crowd.Skipped.Load())
		last = now
	}
}

// Versions reports, by probes from outside, the newest sheet version that each
// running node serves by; 0 for one that does not serve.
func (s *Stage) Versions(within time.Duration) map[string]uint64 {
	out := map[string]uint64{}
	key, version := s.Control.NewestKey()
	until := s.Book.Now() + within
	for _, n := range s.Fleet.Nodes {
		if _, runs := n.Running(); !runs {
			continue
		}
		out[n.Name] = 0
		for {
			if p := s.Control.CheckKey(n, key); p.Accepted() {
				out[n.Name] = version
				break
			}
			if s.Book.Now() > until || !s.Wait(200*time.Millisecond) {
				break
			}
		}
	}
	return out
}

// Close ends the load, waits for late runs, ends the fleet and returns the ledger.
func (s *Stage) Close() history.Recording {
	s.cancel()
	for range s.parts {
		<-s.running
	}
	owner.Sleep(context.Background(), time.Second)
	l := s.Book.Snapshot()
	s.keep()
	if s.Keep != "" {
		if data, err := json.Marshal(l); err == nil {
			_ = os.WriteFile(filepath.Join(s.Keep, "ledger.json"), data, 0o644)
		}
	}
	s.Fleet.Close()
	s.Crowd.Close()
	s.Book.Close()
	os.RemoveAll(s.dir)
	return l
}

// Summary is what a run came to. Goodput is the attempts served a second.
type Summary struct {
	Served     int               `json:"served"`
	Refused    int               `json:"refused"`
	Failed     int               `json:"failed"`
	Unsent     int               `json:"unsent"`
	Violations int               `json:"violations"`
	Goodput    float64           `json:"goodput"`
	TTFTP50    float64           `json:"ttft_p50_ms"`
	TTFTP95    float64           `json:"ttft_p95_ms"`
	ShotP50    float64           `json:"one_shot_p50_ms"`
	ShotP95    float64           `json:"one_shot_p95_ms"`
	HitShare   float64           `json:"kv_hit_share"`
	ByCode     map[string]int    `json:"by_code,omitempty"`
	Orders     int               `json:"orders_won"`
	Versions   map[string]uint64 `json:"epochs,omitempty"`
}

// Sum sums a ledger up, from an instant on.
func Sum(l *history.Recording, from history.Instant) Summary {
	s := Summary{ByCode: map[string]int{}}
	first, shot := hdrhistogram.New(1, 120_000_000, 3), hdrhistogram.New(1, 120_000_000, 3)
	last := from
	for _, a := range l.Attempts {
		if a.Sent < from {
			continue
		}
		last = max(last, a.Sent)
		switch a.Outcome {
		case history.Served, history.Abandoned:
			s.Served++
		case history.Rejected:
			s.Refused++
		case history.Unsent:
			s.Unsent++
		default:
			s.Failed++
		}
		if a.Code != 0 {
			s.ByCode[apierror.Code(a.Code).String()]++
		} else if a.Outcome != history.Served {
			s.ByCode[string(a.Outcome)]++
		}
		if a.First > 0 && a.Outcome == history.Served {
			histogram := shot
			if a.Kind == "stream" {
				histogram = first
			}
			_ = histogram.RecordValue((a.First - a.Sent).Microseconds())
		}
	}
	asked, hits := 0, 0
	for _, r := range l.Runs {
		if r.Kind == "model" && r.Ran && r.Arrived >= from {
			asked++
			if r.CacheHit {
				hits++
			}
		}
	}
	s.HitShare = share(hits, asked)
	if last > from {
		s.Goodput = float64(int(float64(s.Served)/(last-from).Seconds()*10)) / 10
	}
	won := map[string]bool{}
	for _, o := range l.Orders {
		if o.Acknowledged() {
			won[o.ID] = true
		}
	}
	s.Orders = len(won)
	ms := func(us int64) float64 { return float64(us) / 1000 }
	s.TTFTP50, s.TTFTP95 = ms(first.ValueAtQuantile(50)), ms(first.ValueAtQuantile(95))
	s.ShotP50, s.ShotP95 = ms(shot.ValueAtQuantile(50)), ms(shot.ValueAtQuantile(95))
	return s
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part*1000/whole) / 1000
}

// Report writes violations, at most a few of each judge in full.
func Report(out io.Writer, name string, found []checker.Violation) {
	by := map[string]int{}
	for _, v := range found {
		by[v.Rule]++
		if by[v.Rule] <= 5 {
			fmt.Fprintf(out, "VIOLATION case %s seed %d [%s] %s\n    point: %s\n", name, v.Seed, v.Rule, v.Evidence, v.Point)
		}
	}
	var names []string
	for n := range by {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		if by[n] > 5 {
			fmt.Fprintf(out, "    … %d by the judge %s in all\n", by[n], n)
		}
	}
}

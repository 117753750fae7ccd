package simnode

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"

	"github.com/pkg/errors"
)

const (
	herdPoll  = 100 * time.Millisecond
	herdBound = 90 * time.Second
)

// herd stops every front, starts all of them anew at once, and measures until
// the last one rules.
func (r *run) herd(ctx context.Context, clock clock.Clock, result *Result) error {
	r.lose()
	for range r.options.Fronts {
		select {
		case <-r.ended:
		case <-clock.After(15 * time.Second):
			return errors.New("a front did not stop")
		}
	}
	fronts, lose := context.WithCancel(ctx)
	r.lose = lose
	begun, cpu := clock.Now(), r.coreCPU()
	windowAt, windowCPU := begun, cpu
	for i := range r.options.Fronts {
		if err := r.startFront(fronts, i); err != nil {
			return err
		}
	}
	n := float64(r.options.Cores)
	for last := 0; last < r.options.Fronts; {
		<-clock.After(herdPoll)
		now := clock.Now()
		if span := now.Sub(windowAt).Seconds(); span >= 0.5 {
			used := r.coreCPU()
			result.HerdCorePeak = max(result.HerdCorePeak, (used-windowCPU)/span/n)
			windowAt, windowCPU = now, used
		}
		if now.Sub(begun) > herdBound {
			return errors.Errorf("%d of %d fronts rule %s after their start", last, r.options.Fronts, herdBound)
		}
		for last < r.options.Fronts && r.rules(ctx, last) {
			last++
		}
	}
	result.HerdMS = clock.Now().Sub(begun).Seconds() * 1000
	result.HerdCoreSeconds = (r.coreCPU() - cpu) / n
	return nil
}

// rules tells whether a front rules: it takes requests, or would if there were
// a plan, which a fleet without servers has none of.
func (r *run) rules(ctx context.Context, i int) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address(100, i, 7000)+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var fault apierror.ErrorBody
	if resp.StatusCode == http.StatusOK {
		return true
	}
	return json.NewDecoder(resp.Body).Decode(&fault) == nil && fault.Code == apierror.NoPlan && r.options.Servers == 0
}

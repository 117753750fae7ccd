package simnode

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
)

const (
	restartPollInterval = 100 * time.Millisecond
	restartTimeout      = 90 * time.Second
	readyTimeout        = time.Second
	peakWindowSeconds   = 0.5
)

// measureRestart stops every front, starts all of them at once, and measures the time
// and the cores' CPU use until the last one is ready.
func (f *simFleet) measureRestart(result *Result) error {
	f.stopFronts()
	for range f.options.Fronts {
		if !f.awaitFrontExit() {
			return errFrontStillRunning
		}
	}
	start := f.clock.Now()
	cpuAtStart := f.coreCPU()
	if err := f.startFronts(func(int) {}); err != nil {
		return err
	}
	peak, err := f.awaitReadiness(start, cpuAtStart)
	result.RestartPeakCPUShare = peak
	if err != nil {
		return err
	}
	result.RestartMS = f.clock.Now().Sub(start).Seconds() * 1000
	result.RestartCPUSeconds = (f.coreCPU() - cpuAtStart) / float64(f.options.Cores)
	return nil
}

// awaitReadiness waits until all fronts are ready. It returns the highest CPU share,
// as a mean over the cores, in any window of peakWindowSeconds.
func (f *simFleet) awaitReadiness(start time.Time, cpuAtStart float64) (peak float64, err error) {
	windowStart := start
	windowCPU := cpuAtStart
	ready := 0
	for ready < f.options.Fronts {
		<-f.clock.After(restartPollInterval)
		now := f.clock.Now()
		if elapsed := now.Sub(windowStart).Seconds(); elapsed >= peakWindowSeconds {
			used := f.coreCPU()
			peak = max(peak, (used-windowCPU)/elapsed/float64(f.options.Cores))
			windowStart = now
			windowCPU = used
		}
		if now.Sub(start) > restartTimeout {
			return peak, errors.Errorf("%d of %d fronts ready %s after their start", ready, f.options.Fronts, restartTimeout)
		}
		for ready < f.options.Fronts && f.isReady(ready) {
			ready++
		}
	}
	return peak, nil
}

// readyFronts returns the number of fronts that are ready.
func (f *simFleet) readyFronts() int {
	count := 0
	for i := range f.options.Fronts {
		if f.isReady(i) {
			count++
		}
	}
	return count
}

// isReady reports whether a front is ready for requests. Without servers there is no
// plan, so then a front that lacks only the plan counts as ready.
func (f *simFleet) isReady(front int) bool {
	ctx, cancel := context.WithTimeout(f.ctx, readyTimeout)
	defer cancel()
	url := "http://" + f.address(frontGroup, front, callerPort) + "/readyz"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return true
	}
	var body apierror.ErrorBody
	if json.NewDecoder(resp.Body).Decode(&body) != nil {
		return false
	}
	return body.Code == apierror.NoPlan && f.options.Servers == 0
}

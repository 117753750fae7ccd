package front

import (
	"fmt"
	"maps"
	"time"

	"stepwick/internal/decision/route"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
)

// RuntimeSettings are the settings that a sheet can change at run time. A nil or
// zero field leaves the setting unchanged.
type RuntimeSettings struct {
	Route *route.RuntimeConfig
	// DeadlineMax is the longest deadline that a caller may request.
	DeadlineMax time.Duration
	// DeadlineDefault applies to requests without a deadline.
	DeadlineDefault time.Duration
}

// applyRuntimeSettings applies the settings of a sheet if they differ from those
// last applied. It runs on the router's goroutine, which owns the table.
func (f *Front) applyRuntimeSettings(newSheet *sheet.Sheet, table *route.Table) {
	if f.config.ReadRuntimeSettings == nil || newSheet == nil {
		return
	}
	isFirst := f.appliedSettings == nil
	if !isFirst && maps.Equal(f.appliedSettings, newSheet.Settings) {
		return
	}
	f.appliedSettings = map[string]string{}
	maps.Copy(f.appliedSettings, newSheet.Settings)
	settings := f.config.ReadRuntimeSettings(newSheet.Settings)
	f.api.SetDeadlines(settings.DeadlineMax, settings.DeadlineDefault)
	if settings.Route != nil {
		table.Reconfigure(*settings.Route)
	}
	if !isFirst || len(newSheet.Settings) > 0 {
		f.log.Emit(events.SettingsChanged, "settings", fmt.Sprint(f.appliedSettings))
	}
}

package report

import (
	"math"

	"stepwick/cmd/rig/checker"
	"stepwick/cmd/rig/history"
)

// Second is one line of seconds.jsonl: the attempts that ended and the actions that
// took place in one second of the run.
type Second struct {
	Second   int                `json:"second"`
	Served   int                `json:"served"`
	Rejected int                `json:"refused"`
	Failed   int                `json:"failed"`
	QuotaUse map[string]float64 `json:"spend"` // by tenant: tokens served in the quota window that ends here, as a share of the allowance
	Actions  []string           `json:"marks,omitempty"`
}

func (s *Second) countOutcome(outcome history.Outcome) {
	switch outcome {
	case history.Served, history.Abandoned:
		s.Served++
	case history.Rejected:
		s.Rejected++
	default:
		s.Failed++
	}
}

// Seconds aggregates a recording by second.
func Seconds(recording *history.Recording) []Second {
	count := int(math.Ceil(recording.End.Seconds()))
	if count == 0 {
		return nil
	}
	rows := make([]Second, count)
	for i := range rows {
		rows[i].Second = i
		rows[i].QuotaUse = map[string]float64{}
	}
	rowAt := func(at history.Instant) *Second { return &rows[min(max(int(at.Seconds()), 0), count-1)] }
	for _, attempt := range recording.Attempts {
		rowAt(attempt.Done).countOutcome(attempt.Outcome)
	}
	for _, action := range recording.Actions {
		row := rowAt(action.At)
		row.Actions = append(row.Actions, action.Description)
	}
	for tenant, tokens := range servedTokens(recording, count) {
		addQuotaUse(rows, tenant, tokens, recording.Allowances[tenant])
	}
	return rows
}

// servedTokens returns the tokens served to each tenant, by the second in which
// the attempts were sent.
func servedTokens(recording *history.Recording, count int) map[string][]float64 {
	tokens := map[string][]float64{}
	for tenant := range recording.Allowances {
		tokens[tenant] = make([]float64, count)
	}
	for _, attempt := range recording.Attempts {
		served := attempt.Outcome == history.Served || attempt.Outcome == history.Abandoned
		if sums, ok := tokens[attempt.Tenant]; ok && served {
			sums[min(int(attempt.Sent.Seconds()), count-1)] += attempt.Tokens
		}
	}
	return tokens
}

// addQuotaUse sets a tenant's quota use in the window that ends with each second.
func addQuotaUse(rows []Second, tenant string, tokens []float64, allowance history.Allowance) {
	windowSeconds := int(checker.QuotaWindow.Seconds())
	limit := allowance.Rate*checker.QuotaWindow.Seconds() + allowance.Burst
	for i := range rows {
		sum := 0.0
		for _, served := range tokens[max(0, i-windowSeconds+1) : i+1] {
			sum += served
		}
		rows[i].QuotaUse[tenant] = threeDecimals(sum / limit)
	}
}

func threeDecimals(number float64) float64 { return math.Round(number*1000) / 1000 }

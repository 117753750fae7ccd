package route

const maxRetryCredits = 20

// retryBudget bounds retries to a fraction of the requests.
type retryBudget struct {
	ratio   float64 // credits for each request
	credits float64
}

func newRetryBudget(ratio float64) retryBudget {
	return retryBudget{ratio: ratio, credits: maxRetryCredits / 2}
}

func (b *retryBudget) setRatio(ratio float64) {
	b.ratio = ratio
	if ratio == 0 {
		b.credits = 0
	}
}

func (b *retryBudget) addRequest()     { b.credits = min(maxRetryCredits, b.credits+b.ratio) }
func (b *retryBudget) available() bool { return b.credits >= 1 }
func (b *retryBudget) spend()          { b.credits-- }

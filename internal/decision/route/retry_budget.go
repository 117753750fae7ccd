package route

// maxRetryCredits bounds the credits that a front saves up; it starts with half.
const maxRetryCredits = 20

// retryBudget is a token bucket that bounds a front's retries to a fraction of its
// requests. A retry costs one credit. Each front has its own and nothing is divided
// over the fleet, unlike the budget of requests by route in package balance.
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

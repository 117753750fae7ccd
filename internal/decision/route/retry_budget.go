package route

// maxRetryCredits is the capacity of the token bucket. A front starts with half of it.
const maxRetryCredits = 20

// retryBudget is a token bucket that limits a front's retries to a fraction of its
// requests. A retry costs one credit. Each front has an independent budget, of which
// nothing is divided among the fronts. Package balance has a separate budget, part of
// which is divided among the nodes, for requests that follow the sheet's routes.
type retryBudget struct {
	ratio   float64 // credits that each request adds
	credits float64
}

func newRetryBudget(ratio float64) retryBudget {
	return retryBudget{ratio: ratio, credits: maxRetryCredits / 2}
}

// setRatio changes the ratio. A ratio of 0 also removes the credits, so that it disables
// retries at once.
func (b *retryBudget) setRatio(ratio float64) {
	b.ratio = ratio
	if ratio == 0 {
		b.credits = 0
	}
}

func (b *retryBudget) addRequest()     { b.credits = min(maxRetryCredits, b.credits+b.ratio) }
func (b *retryBudget) available() bool { return b.credits >= 1 }
func (b *retryBudget) spend()          { b.credits-- }

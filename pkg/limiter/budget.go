package limiter

import "sync"

// RetryBudget limits retries to a ratio of first attempts. Over any window it
// allows at most its size plus ratio times the first attempts in the window. It
// is safe for concurrent use.
type RetryBudget struct {
	mu      sync.Mutex
	ratio   float64 // retries earned by one first attempt
	size    float64 // maximum balance, in retries
	balance float64 // retries allowed at present; between 0 and size
}

// RetryBudgetOption sets one property of a budget.
type RetryBudgetOption func(*RetryBudget)

// WithEmptyBalance makes a budget start with a balance of 0.
func WithEmptyBalance() RetryBudgetOption {
	return func(b *RetryBudget) { b.balance = 0 }
}

// NewRetryBudget returns a budget. Its balance is full unless an option changes it.
func NewRetryBudget(ratio, size float64, options ...RetryBudgetOption) *RetryBudget {
	b := &RetryBudget{ratio: ratio, size: size, balance: size}
	for _, option := range options {
		option(b)
	}
	return b
}

// SetRatio sets how many retries one first attempt earns.
func (b *RetryBudget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// Resize sets the maximum balance. A balance above it is lowered to it.
func (b *RetryBudget) Resize(size float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.size = size
	b.balance = min(b.balance, size)
}

// Earn credits the budget for one first attempt.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.ratio, b.size)
}

// Spend reports whether a retry is allowed and, if so, deducts it.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

package limiter

import "sync"

// Budget limits retries to a ratio of first attempts. Over any window it allows
// at most its size plus ratio times the first attempts in the window. It is safe
// for concurrent use.
type Budget struct {
	mu      sync.Mutex
	ratio   float64 // retries earned by one first attempt
	size    float64 // maximum balance, in retries
	balance float64 // retries allowed at present; between 0 and size
}

// RetryBudgetOption sets one property of a budget.
type RetryBudgetOption func(*Budget)

// WithNothingSaved makes a budget start with a balance of 0.
func WithNothingSaved() RetryBudgetOption {
	return func(b *Budget) { b.balance = 0 }
}

// NewBudget returns a budget. Its balance is full unless an option changes it.
func NewBudget(ratio, size float64, options ...RetryBudgetOption) *Budget {
	b := &Budget{ratio: ratio, size: size, balance: size}
	for _, option := range options {
		option(b)
	}
	return b
}

// SetRatio sets how many retries one first attempt earns.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// Resize sets the maximum balance. A balance above it is lowered to it.
func (b *Budget) Resize(size float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.size = size
	b.balance = min(b.balance, size)
}

// Earn credits the budget for one first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.ratio, b.size)
}

// Spend reports whether a retry is allowed and, if so, deducts it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

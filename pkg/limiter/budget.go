package limiter

import "sync"

// Budget bounds retries to a share of first tries. Over any window it allows at
// most its size and that share of the first tries in the window. It is safe for
// concurrent use.
type Budget struct {
	mu    sync.Mutex
	ratio float64 // retries earned by one first try
	size  float64 // retries that can be saved up
	saved float64 // between 0 and size
}

// BudgetOption sets one property of a budget.
type BudgetOption func(*Budget)

// WithNothingSaved makes a budget start empty.
func WithNothingSaved() BudgetOption {
	return func(b *Budget) { b.saved = 0 }
}

// NewBudget returns a budget, which is full unless an option says otherwise.
func NewBudget(ratio, size float64, options ...BudgetOption) *Budget {
	b := &Budget{ratio: ratio, size: size, saved: size}
	for _, option := range options {
		option(b)
	}
	return b
}

// SetRatio changes how many retries one first try earns.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// Resize changes how many retries can be saved up.
func (b *Budget) Resize(size float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.size = size
	b.saved = min(b.saved, size)
}

// Earn counts a first try.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.ratio, b.size)
}

// Spend reports whether a retry is allowed, and counts it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

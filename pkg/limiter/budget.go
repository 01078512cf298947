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

// NewBudget returns a full budget.
func NewBudget(ratio, size float64) *Budget {
	return &Budget{ratio: ratio, size: size, saved: size}
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

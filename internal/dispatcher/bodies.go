package dispatcher

import "sync/atomic"

// bodyBudget bounds the bytes of request bodies that the host holds at one time. A
// host with little memory may have thousands of connections, each with an upload.
type bodyBudget struct {
	limit int64 // bytes; 0 means no limit
	held  atomic.Int64
}

// reserve reserves bytes and reports whether they are within the limit. A single
// body is always accepted.
func (b *bodyBudget) reserve(bytes int64) bool {
	held := b.held.Add(bytes)
	if b.limit > 0 && held > b.limit && held > bytes {
		b.held.Add(-bytes)
		return false
	}
	return true
}

func (b *bodyBudget) release(bytes int64) { b.held.Add(-bytes) }

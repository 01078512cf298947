package pipeliner_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/pipeliner"
)

// A caller that reads nothing leaves other callers the memory to run requests side by
// side, also if its answers are as large as a host reads them before it writes any, and
// if the memory is that of the smallest process.
func TestCallerThatReadsNothingLeavesMemoryToOthers(t *testing.T) {
	for memory, bodySize := range map[int64]int{8 << 20: 1 << 20, 1 << 20: 200_000} {
		t.Run(fmt.Sprint(memory), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := startHost(t, pipeliner.WithMemory(memory))
				h.bodySize = bodySize
				conn := h.dial()
				send(conn, strings.Repeat(get("/read/100ms/1"), 10_000))
				time.Sleep(time.Minute)
				other := h.dial()
				send(other, get("/read/100ms/2")+get("/read/100ms/3"))
				answers := h.read(other, 2)
				is.Equal(len(answers), 2)
				is.Equal(answers[1].at, time.Minute+100*time.Millisecond)
				_ = other.Close()
				_ = conn.Close()
				synctest.Wait()
			})
		})
	}
}

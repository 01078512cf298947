// Package estimator measures how state, messages and processor time grow, and
// works out from the slopes what each role needs at a fleet's size.
package estimator

import (
	"runtime"
	"time"
)

// Point is one measurement at one size.
type Point struct {
	Size  int
	Value float64
}

// Slope is what one measure costs by size: fixed + perUnit * size.
type Slope struct {
	Name    string
	Unit    string // of the value, such as B or ns
	Per     string // what the size counts
	Points  []Point
	Fixed   float64
	PerUnit float64
}

// At returns the cost at a size.
func (s Slope) At(size float64) float64 { return s.Fixed + s.PerUnit*size }

// fit returns a slope by least squares over the points.
func fit(name, unit, per string, points []Point) Slope {
	s := Slope{Name: name, Unit: unit, Per: per, Points: points}
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		x := float64(p.Size)
		sumX += x
		sumY += p.Value
		sumXX += x * x
		sumXY += x * p.Value
	}
	if spread := n*sumXX - sumX*sumX; spread > 0 {
		s.PerUnit = (n*sumXY - sumX*sumY) / spread
	}
	s.Fixed = (sumY - s.PerUnit*sumX) / n
	return s
}

// over measures at several sizes.
func over(name, unit, per string, sizes []int, measure func(size int) float64) Slope {
	points := make([]Point, 0, len(sizes))
	for _, size := range sizes {
		points = append(points, Point{Size: size, Value: measure(size)})
	}
	return fit(name, unit, per, points)
}

const (
	timingRounds = 5
	timingLength = 20 * time.Millisecond
)

// nanoseconds returns how long a function takes, as the least of some rounds.
func nanoseconds(f func()) float64 {
	best := 0.0
	for range timingRounds {
		count := 0
		began := time.Now()
		for time.Since(began) < timingLength {
			f()
			count++
		}
		took := float64(time.Since(began).Nanoseconds()) / float64(count)
		if best == 0 || took < best {
			best = took
		}
	}
	return best
}

// heapBytes returns the memory that what a function returns keeps.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

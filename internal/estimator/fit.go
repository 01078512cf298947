// Package estimator measures how memory, message sizes and processor time grow
// with the size of a fleet, fits a line to each measure, and estimates what each
// role of a daemon needs in a fleet of a given size.
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

// LinearFit is the cost of one measure as a function of size:
// Fixed + PerUnit*size.
type LinearFit struct {
	Name    string
	Unit    string // unit of the cost, such as B or ns
	Per     string // what the size counts, such as hosts
	Points  []Point
	Fixed   float64
	PerUnit float64
}

// At returns the cost at a size.
func (f LinearFit) At(size float64) float64 { return f.Fixed + f.PerUnit*size }

// fit fits a line to the points by least squares.
func fit(name, unit, per string, points []Point) LinearFit {
	f := LinearFit{Name: name, Unit: unit, Per: per, Points: points}
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
		f.PerUnit = (n*sumXY - sumX*sumY) / spread
	}
	f.Fixed = (sumY - f.PerUnit*sumX) / n
	return f
}

// measureSizes calls measure for each size and fits a line to the results.
func measureSizes(name, unit, per string, sizes []int, measure func(size int) float64) LinearFit {
	points := make([]Point, 0, len(sizes))
	for _, size := range sizes {
		points = append(points, Point{Size: size, Value: measure(size)})
	}
	return fit(name, unit, per, points)
}

const (
	timingRounds = 5
	timingLength = 20 * time.Millisecond // shortest time of one round
)

// nanoseconds returns the mean time of one call of f in the fastest of
// timingRounds rounds.
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

// heapBytes returns by how many bytes the heap grows while the value that build
// returns is in use.
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

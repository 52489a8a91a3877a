package capacity

import (
	"math"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	// timingRounds is the number of rounds of a timing. The fastest one counts, as
	// interference only slows a round down.
	timingRounds = 5
	// minRoundTime is the minimum length of a round.
	minRoundTime = 20 * time.Millisecond
)

// Point is the value measured at one size.
type Point struct {
	Size, Value float64
}

// Slope is a line fitted to points: value = Base + PerUnit * size.
type Slope struct {
	Name, Unit, SizeUnit string
	Points               []Point
	Base, PerUnit        float64
	// Residual is the largest deviation of a point from the line, as a share of
	// the largest value.
	Residual float64
}

// fit returns the least-squares line through points.
func fit(name, unit, sizeUnit string, points []Point) Slope {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	largest := 0.0
	for i, p := range points {
		xs[i], ys[i] = p.Size, p.Value
		largest = math.Max(largest, math.Abs(p.Value))
	}
	base, perUnit := stat.LinearRegression(xs, ys, nil, false)
	s := Slope{Name: name, Unit: unit, SizeUnit: sizeUnit, Points: points, Base: base, PerUnit: perUnit}
	for i := range xs {
		if largest > 0 {
			s.Residual = math.Max(s.Residual, math.Abs(ys[i]-base-perUnit*xs[i])/largest)
		}
	}
	return s
}

// At returns the value of the line at a size.
func (s Slope) At(size float64) float64 { return s.Base + s.PerUnit*size }

// microsPerCall returns the mean time of a call of fn in the fastest round, in
// microseconds.
func microsPerCall(fn func()) float64 {
	best := math.Inf(1)
	for range timingRounds {
		calls := 0
		begin := time.Now()
		for time.Since(begin) < minRoundTime {
			fn()
			calls++
		}
		best = math.Min(best, float64(time.Since(begin).Nanoseconds())/1000/float64(calls))
	}
	return best
}

// heapOf returns the heap memory held by the value that fn returns, in bytes.
func heapOf[T any](fn func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	held := fn()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(held)
	return math.Max(float64(after.HeapAlloc)-float64(before.HeapAlloc), 0)
}

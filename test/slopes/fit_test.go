// Package slopes_test measures how the sizes of state and messages and the processor
// time grow with the size of a cell. Its benchmarks print one table row per fitted
// line.
package slopes_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// point is one measurement at one size.
type point struct {
	size  float64
	value float64
}

// line is the least-squares line through points.
type line struct {
	slope     float64
	intercept float64
	residual  float64 // largest vertical distance of a point from the line
}

// fit returns the least-squares line through at least two points of different sizes.
func fit(points []point) line {
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.size
		sumY += p.value
		sumXX += p.size * p.size
		sumXY += p.size * p.value
	}
	n := float64(len(points))
	l := line{slope: (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)}
	l.intercept = (sumY - l.slope*sumX) / n
	for _, p := range points {
		l.residual = max(l.residual, math.Abs(p.value-l.intercept-l.slope*p.size))
	}
	return l
}

// measure calls valueAt for each size and prints the fitted line and the points. per
// names what size counts.
func measure(name, unit, per string, sizes []int, valueAt func(size int) float64) {
	points := make([]point, 0, len(sizes))
	pointTexts := make([]string, 0, len(sizes))
	for _, size := range sizes {
		p := point{size: float64(size), value: valueAt(size)}
		points = append(points, p)
		pointTexts = append(pointTexts, fmt.Sprintf("%d: %.4g", size, p.value))
	}
	printRow(name, unit, per, fit(points), pointTexts)
}

// printRow prints one row of the table that scripts/slopes collects.
func printRow(name, unit, per string, l line, pointTexts []string) {
	fmt.Printf("\n| %s | %s | %s | %.4g | %.4g | %.3g | %s |\n",
		name, unit, per, l.slope, l.intercept, l.residual, strings.Join(pointTexts, ", "))
}

func TestFit(t *testing.T) {
	l := fit([]point{{1, 5}, {2, 7}, {3, 9}})
	if math.Abs(l.slope-2) > 1e-9 || math.Abs(l.intercept-3) > 1e-9 || l.residual > 1e-9 {
		t.Fatalf("fit = %+v, want slope 2, intercept 3, residual 0", l)
	}
	l = fit([]point{{0, 0}, {1, 3}, {2, 0}})
	if math.Abs(l.slope) > 1e-9 || math.Abs(l.intercept-1) > 1e-9 || math.Abs(l.residual-2) > 1e-9 {
		t.Fatalf("fit = %+v, want slope 0, intercept 1, residual 2", l)
	}
}

package admission

import "math"

const (
	// histogramMin is the upper bound of the first class, and classesPerDoubling their
	// resolution. 48 classes reach from 0.1 to 1.1 million.
	histogramMin       = 0.1
	classesPerDoubling = 2
	histogramClasses   = 48
)

// workHistogram is work by the logarithmic class of the key by which it is ordered. Only classes
// with work take memory, as there is one histogram for each workspace with work.
type workHistogram struct {
	total   Amounts
	classes []classWork
}

type classWork struct {
	class int
	work  Amounts
}

// position returns the class of the key and how far the key is inside of it, from 0 to 1.
func position(key float64) (class int, inside float64) {
	if !(key > 0) {
		return 0, 0
	}
	if key < histogramMin {
		return 0, key / histogramMin
	}
	scaled := 1 + classesPerDoubling*math.Log2(key/histogramMin)
	if scaled >= histogramClasses {
		return histogramClasses - 1, 1
	}
	whole := math.Floor(scaled)
	return int(whole), scaled - whole
}

func (h *workHistogram) add(key float64, work Amounts) {
	h.total = h.total.Plus(work)
	class, _ := position(key)
	for i := range h.classes {
		if h.classes[i].class == class {
			h.classes[i].work = h.classes[i].work.Plus(work)
			return
		}
	}
	h.classes = append(h.classes, classWork{class, work})
}

// below returns the work with keys below the given one. Within the class of the key it
// interpolates.
func (h *workHistogram) below(key float64) Amounts {
	class, inside := position(key)
	var sum Amounts
	for _, c := range h.classes {
		switch {
		case c.class < class:
			sum = sum.Plus(c.work)
		case c.class == class:
			sum = sum.Plus(c.work.Times(inside))
		}
	}
	return sum
}

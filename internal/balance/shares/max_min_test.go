package shares

import (
	"testing"

	"github.com/matryer/is"
)

func TestDivideMaxMin(t *testing.T) {
	cases := []struct {
		name    string
		amount  int32
		needs   []int32
		granted []int32
		left    int32
	}{
		{"fewer than there are needs: the first ones get one each", 2, []int32{1, 1, 1}, []int32{1, 1, 0}, 0},
		{"the remainder goes to the first ones", 8, []int32{5, 5, 5}, []int32{3, 3, 2}, 0},
		{"small needs are met in full", 10, []int32{9, 1, 9}, []int32{5, 1, 4}, 0},
		{"nothing needed", 4, []int32{0, 0}, []int32{0, 0}, 4},
		{"more than needed", 9, []int32{2, 3}, []int32{2, 3}, 4},
		{"no allocations", 3, nil, nil, 3},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			allocations := make([]*allocation, len(test.needs))
			for i, need := range test.needs {
				allocations[i] = &allocation{need: need}
			}
			is.Equal(divideMaxMin(test.amount, allocations), test.left)
			for i, a := range allocations {
				is.Equal(a.granted, test.granted[i])
			}
		})
	}
}

package tolerance

// Reason is why a voter is missing.
type Reason int

// Reasons why a voter is missing.
const (
	Silent   Reason = iota // it does not answer the leader
	Replaced               // it does not answer, and the process of its name answers as another incarnation: its disk was lost
	Behind                 // it answers, and its log lacks committed entries
)

func (r Reason) String() string {
	switch r {
	case Silent:
		return "silent"
	case Replaced:
		return "disk lost"
	default:
		return "behind"
	}
}

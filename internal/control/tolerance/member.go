package tolerance

import "time"

// Member is a voter as its leader sees it.
type Member struct {
	Name         string
	Incarnation  uint64
	SinceContact time.Duration // time since it last answered the leader; zero for the leader
	Unheard      bool          // it has not answered this leader since the start of the term
	Replaced     bool          // the process of its name answers as another incarnation
	Behind       uint64        // entries that its log lacks of the committed ones
	BehindFor    time.Duration // time for which Behind has exceeded Policy.MaxBehind
}

package balance

// hasOtherSuspect reports whether a suspect with another identity is in flight.
func (e *endpointState) hasOtherSuspect(suspect string) bool {
	others := len(e.suspects)
	if e.suspects[suspect] > 0 {
		others--
	}
	return others > 0
}

// addSuspect counts a request that was sent to the endpoint, if it is a suspect.
func (e *endpointState) addSuspect(suspect string) {
	if suspect == "" {
		return
	}
	if e.suspects == nil {
		e.suspects = make(map[string]int)
	}
	e.suspects[suspect]++
}

// removeSuspect undoes addSuspect.
func (e *endpointState) removeSuspect(suspect string) {
	if suspect == "" {
		return
	}
	if e.suspects[suspect]--; e.suspects[suspect] <= 0 {
		delete(e.suspects, suspect)
	}
}

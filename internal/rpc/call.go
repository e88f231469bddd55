package rpc

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// call is the progress of one call through the control processes until the leader
// responds. It is used by one goroutine.
//
// An attempt that takes longer than the attempt timeout is not ended: its process may be
// slow. Other processes are asked meanwhile who leads, once for all calls of the client. If
// they name the same one, its connection may be dead, and the request is sent there again
// in two cases: requests that were sent much later have been answered, or none has. In the
// second case only one call does so at a time, over a new connection. All calls would
// otherwise give a slow leader the more work the later it is.
type call struct {
	client        *Client
	request       *http.Request // its context bounds all attempts
	body          []byte
	cancel        context.CancelFunc
	effect        *callEffect
	attempts      int
	waits         int // number of pauses because no address was due
	states        map[string]*addressState
	inFlight      map[*attempt]struct{}
	results       chan *attempt // finished attempts
	done          chan struct{} // closed at the end of the call
	nextAttemptAt time.Time     // when the next attempt is due
	lastErr       error
	refusal       *attempt // answered by a refusal of which it is not known whether it is final; nil: none
}

func newCall(client *Client, request *http.Request, body []byte) *call {
	ctx, cancel := context.WithCancel(request.Context())
	return &call{
		client: client, request: request.WithContext(ctx), body: body, cancel: cancel,
		effect: newCallEffect(ctx), states: make(map[string]*addressState), inFlight: make(map[*attempt]struct{}),
		results: make(chan *attempt), done: make(chan struct{}),
		nextAttemptAt: time.Now(), lastErr: errors.New("no attempt was made"),
	}
}

// run makes attempts until the leader responds, the context ends, or the search for a
// leader has taken too long.
func (c *call) run() (*http.Response, error) {
	defer close(c.done)
	defer c.cancel()
	if c.client.directory.isEmpty() {
		return nil, errors.Wrap(ErrUnreachable, "no address of a control process is configured")
	}
	ctx := c.request.Context()
	for ctx.Err() == nil && !c.shouldGiveUp() {
		if c.refusal != nil {
			if response, known, err := c.awaitOthers(); known {
				return response, err
			}
			break
		}
		if wait := time.Until(c.nextAttemptAt); wait > 0 {
			if response, done, err := c.await(wait); done {
				return response, err
			}
			continue
		}
		c.attemptNext()
	}
	return c.giveUp()
}

// attemptNext makes the next attempt: at the process that probably leads if the request may
// be sent there now, or else at one that may know who leads.
func (c *call) attemptNext() {
	c.markSlowAddresses()
	directory := c.client.directory
	address, isPoll := directory.candidate(), false
	if address == "" || !c.isDue(address) {
		address, isPoll = c.addressToPoll(), true
	}
	if address == "" || !c.send(address, isPoll) {
		c.waits++
		c.nextAttemptAt = time.Now().Add(c.waitForPoll())
		return
	}
	if isPoll {
		directory.beginPoll(address, c.client.options.RetryBackoff)
	}
	c.nextAttemptAt = time.Now().Add(c.waitBeforeNext(address))
}

// waitForPoll returns a pause until a process may be asked who leads, a backoff at most. The
// calls that wait for the same poll don't return together.
func (c *call) waitForPoll() time.Duration {
	pause := c.backoff()
	if wait := c.client.directory.untilPoll(); wait > 0 {
		pause = min(pause, wait+rand.N(c.client.options.RetryBackoff))
	}
	return pause
}

// addressToPoll returns the process to ask who leads, or "" if none is due now. A call's
// first attempt doesn't wait for another call's poll at the begin of a search for a leader.
func (c *call) addressToPoll() string {
	directory := c.client.directory
	isFirst := c.attempts == 0 && directory.candidate() == "" && directory.searchTime() < firstPollPeriod
	if !isFirst && !directory.mayPoll() {
		return ""
	}
	for _, address := range directory.pollOrder() {
		if c.isDue(address) {
			return address
		}
	}
	return ""
}

// firstPollPeriod is the length of a search after which calls only share polls.
const firstPollPeriod = time.Second

// method returns what tells the calls of one kind from others, which may be slower.
func (c *call) method() string { return c.request.URL.Path }

// send starts an attempt at the address, which must be due. It returns false if another
// call sends its request there again.
func (c *call) send(address string, isPoll bool) bool {
	state := c.states[address]
	if state == nil {
		state = &addressState{}
		c.states[address] = state
	}
	a := newAttempt(c.client, address, c.method())
	a.isPoll = isPoll
	if state.inFlight > 0 && !c.isOvertaken(address) {
		if !c.client.peers.beginResend(address) {
			return false
		}
		a.useOwnConnection()
	}
	state.sent, state.sentAt, state.inFlight = state.sent+1, a.sentAt, state.inFlight+1
	c.attempts++
	c.inFlight[a] = struct{}{}
	c.client.peers.beginAttempt(address)
	go func() {
		a.run(c.request, c.body)
		select {
		case c.results <- a:
		case <-c.done:
		}
	}()
	return true
}

// markSlowAddresses marks the processes that have not responded within the attempt timeout
// as suspect, so that other calls ask elsewhere first who leads. A process that has
// responded to other calls since is not suspect.
func (c *call) markSlowAddresses() {
	timeout := c.client.attemptTimeout(c.request.Context())
	for address, state := range c.states {
		if state.inFlight > 0 && time.Since(state.sentAt) >= timeout && !c.client.peers.respondedSince(address, state.sentAt) {
			c.client.directory.markFailed(address)
		}
	}
}

// await waits for the end of an attempt, at most for the given time. done is set if the
// call is over with it.
func (c *call) await(wait time.Duration) (response *http.Response, done bool, err error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case a := <-c.results:
		return c.handle(a)
	case <-timer.C:
	case <-c.request.Context().Done():
	}
	return nil, false, nil
}

// handle handles a finished attempt. done is set if the call is over with it.
func (c *call) handle(a *attempt) (response *http.Response, done bool, err error) {
	delete(c.inFlight, a)
	c.states[a.address].inFlight--
	if errors.Is(a.err, errResponseTooLarge) {
		return nil, true, a.err
	}
	directory := c.client.directory
	if a.err != nil {
		if c.effect.recordFailure(a.err) {
			c.states[a.address].recordUncertain()
		}
		c.lastErr = a.err
		c.endPoll(a)
		c.nextAttemptAt = time.Now().Add(c.roundPause())
		return nil, false, nil
	}
	leader, notLeader := parseNotLeader(a.result)
	if !notLeader {
		directory.markLeader(a.address)
		if c.isRefusal(a) {
			c.refusal, c.lastErr = a, errors.Newf("%s refused the call, which another process may have accepted", a.address)
			return nil, false, nil
		}
		return a.result.response, true, nil
	}
	directory.redirect(leader, a.address)
	if c.effect.recordRefusal(a.result) {
		c.states[a.address].recordUncertain()
	}
	c.lastErr = errors.Newf("%s is not the leader", a.address)
	if isUnread(a.result) {
		c.lastErr = errors.Newf("%s has no room for more calls", a.address)
	}
	c.endPoll(a)
	c.nextAttemptAt = time.Now()
	if candidate := directory.candidate(); candidate == "" || !c.isDue(candidate) {
		c.nextAttemptAt = c.nextAttemptAt.Add(c.roundPause())
	}
	return nil, false, nil
}

// endPoll lets the next process be asked who leads, if the attempt asked one.
func (c *call) endPoll(a *attempt) {
	if !a.isPoll {
		return
	}
	c.client.directory.endPoll(a.err != nil, c.client.options.RetryBackoff<<pollBackoffDoublings)
}

// roundPause returns the pause before the next attempt: none within a round over the
// addresses.
func (c *call) roundPause() time.Duration {
	if c.attempts%c.client.directory.size() != 0 {
		return 0
	}
	return c.backoff()
}

// backoff returns a pause that grows with each round over the addresses and each wait up
// to a limit. Half of it is random, so that callers that failed together don't retry
// together.
func (c *call) backoff() time.Duration {
	rounds := max(1, c.attempts/c.client.directory.size(), c.waits)
	longest := c.client.options.RetryBackoff << min(rounds-1, maxBackoffDoublings)
	return longest/2 + rand.N(longest/2+1)
}

// shouldGiveUp reports whether the search for a leader has timed out while no attempt can
// have had an effect.
func (c *call) shouldGiveUp() bool {
	if !c.effect.shouldGiveUp() {
		return false
	}
	for a := range c.inFlight {
		if a.connected.Load() {
			return false
		}
	}
	return true
}

// giveUp ends the attempts in flight and returns the call's error, unless one of them has
// brought the leader's response after all.
func (c *call) giveUp() (*http.Response, error) {
	c.cancel()
	for len(c.inFlight) > 0 {
		if response, done, err := c.handle(<-c.results); done {
			return response, err
		}
	}
	if c.refusal != nil {
		if _, uncertain := c.others(c.refusal); !uncertain {
			return c.refusal.result.response, nil
		}
		c.effect.possible = true
	}
	err := c.effect.markError(errors.Mark(c.lastErr, ErrUnreachable))
	return nil, errors.Wrapf(err, "gave up after %d attempts", c.attempts)
}

package failure_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"time"
)

const (
	soakHost            = "planning.example"
	soakPrefix          = "/plans/"
	soakTaskCPUMillis   = 1000 // of each task
	soakSubmitAttempts  = 5    // of a caller for one submission
	soakRetryBackoff    = 25 * time.Millisecond
	soakPublishInterval = 400 * time.Millisecond
	soakCallTimeout     = 3 * time.Second
)

// runCaller submits jobs, reads their states and cancels some until ctx is done. It
// reuses its connections.
func (c *soakCell) runCaller(ctx context.Context, seed int64) {
	random := rand.New(rand.NewSource(seed))
	client := &http.Client{Timeout: soakCallTimeout}
	var accepted []string
	for ctx.Err() == nil {
		id := fmt.Sprintf("%016x", random.Uint64())
		tasks := 1 + random.Intn(4)
		gang := random.Intn(4) == 0
		c.checker.jobSubmitted(id, tasks, gang)
		if share := c.deadlyShare.Load(); share > 0 && random.Int63n(1000) < share {
			c.checker.jobIsDeadly(id, random.Intn(tasks), randomCrashDelay(random))
		}
		if c.submit(client, random, id, soakJobBody(tasks, gang)) {
			accepted = append(accepted, id)
		}
		if len(accepted) > 0 {
			earlier := accepted[random.Intn(len(accepted))]
			c.readState(client, random, earlier)
			if random.Intn(20) == 0 {
				c.checker.cancelSent(earlier)
				status := c.callJob(client, random, http.MethodDelete, earlier, nil).status
				if status == http.StatusOK {
					c.checker.cancelAcknowledged(earlier)
				}
				c.checker.cancelAnswered(earlier, status)
			}
			c.readPending(client, random)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.Int63n(int64(4 * soakRetryBackoff)))):
		}
	}
}

// soakJobBody returns the body that submits a job of independent tasks, or of a gang.
func soakJobBody(tasks int, gang bool) []byte {
	step := map[string]any{"count": tasks, "cpu": soakTaskCPUMillis, "mem_mb": 128, "estimate_ms": 300}
	if gang {
		step["gang"] = true
	}
	body, _ := json.Marshal(map[string]any{"spec": "plan", "steps": []any{step}})
	return body
}

type soakResponse struct {
	status int // 0: no response
	body   []byte
}

// submit submits a job until it is accepted, at most soakSubmitAttempts times, and
// records the result.
func (c *soakCell) submit(client *http.Client, random *rand.Rand, id string, body []byte) bool {
	refused := true
	for range soakSubmitAttempts {
		result := c.callJob(client, random, http.MethodPost, id, body)
		switch result.status {
		case http.StatusOK:
			c.checker.submissionAnswered(id, true, false)
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			refused = false
		}
		time.Sleep(soakRetryBackoff)
	}
	c.checker.submissionAnswered(id, false, refused)
	return false
}

// readState reads the state of a job and checks it.
func (c *soakCell) readState(client *http.Client, random *rand.Rand, id string) {
	sentAt := time.Now()
	result := c.callJob(client, random, http.MethodGet, id, nil)
	switch result.status {
	case http.StatusGone:
		c.checker.stateRead(id, "", sentAt)
	case http.StatusOK:
		var body struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal(result.body, &body); err != nil || body.State == "" {
			c.checker.recordViolation("the state of %s could not be decoded: %q", id, result.body)
			return
		}
		c.checker.stateRead(id, body.State, sentAt)
	}
}

// callJob sends one request for a job to a random entry.
func (c *soakCell) callJob(client *http.Client, random *rand.Rand, method, id string, body []byte) soakResponse {
	return c.callEntry(client, pickOne(random, c.entries), method, id, body)
}

// callEntry sends one request for a job, or for the queue if id is empty, to the entry.
func (c *soakCell) callEntry(client *http.Client, entry *soakProcess, method, id string, body []byte) soakResponse {
	request, err := http.NewRequest(method, "http://"+entry.directAddress(10)+soakPrefix+id, bytes.NewReader(body))
	if err != nil {
		c.t.Error(err)
		return soakResponse{}
	}
	request.Host = soakHost
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(soakCallTimeout.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return soakResponse{}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return soakResponse{}
	}
	return soakResponse{response.StatusCode, content}
}

// runOperator publishes versions of the configuration and reads them back until ctx
// is done.
func (c *soakCell) runOperator(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for version := int64(1); ctx.Err() == nil; version++ {
		if c.publish(client, version) {
			c.checker.versionAcknowledged(version)
		}
		c.readVersion(client)
		select {
		case <-ctx.Done():
		case <-time.After(soakPublishInterval):
		}
	}
}

// publish publishes a version and reports whether a control process acknowledged it.
func (c *soakCell) publish(client *http.Client, version int64) bool {
	body := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":%q,"path_prefix":%q,"kind":"non_idempotent",`+
		`"timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":%q,"max_attempts":%d,"slack_factor":2}],`+
		`"services":[{"name":%q,"max_connections":64,"protocol":"h1"}],"limits":{"max_body_bytes":262144}}`,
		version, soakHost, soakPrefix, soakService, soakMaxAttempts, soakService)
	return c.put(context.Background(), client, c.controlAddresses(), "/api/config", []byte(body))
}

// put sends a PUT request to one address after the other until one responds with 200; it
// reports whether one did.
func (c *soakCell) put(ctx context.Context, client *http.Client, addresses []string, path string, body []byte) bool {
	for _, address := range addresses {
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+path, bytes.NewReader(body))
		if err != nil {
			c.t.Error(err)
			return false
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// readVersion checks the version of the configuration at every control process. It reports whether one served it.
func (c *soakCell) readVersion(client *http.Client) bool {
	served := false
	for _, address := range c.controlAddresses() {
		before := c.checker.newestAckedVersion()
		response, err := client.Get("http://" + address + "/api/config")
		if err != nil {
			continue
		}
		var catalog struct {
			Version int64 `json:"version"`
		}
		err = json.NewDecoder(response.Body).Decode(&catalog)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK && err == nil {
			c.checker.versionRead(catalog.Version, before)
			served = true
		}
	}
	return served
}

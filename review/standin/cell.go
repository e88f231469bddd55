package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	vms           = 3
	spares        = 2           // VMs that may be added
	callTimeout   = time.Second // of the operator and of minions
	restartDelay  = 500 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	maxHold       = 10 * time.Second
	endsListed    = 500 // "500 at a time"
	frontendPort  = 10  // offsets from the first port
	readyPort     = 11
	controlPort   = 12
	minionPort    = 20
	internalPorts = 9
)

// cell is a small deployment on loopback: 3 VMs, each with a control process and an entry.
type cell struct {
	rec      *recorder
	root     string // the repository
	dir      string // temporary
	net      string // first three bytes are the cell's own: 127.A.B
	port     int
	mu       sync.Mutex
	live     []int // VMs that callers, the operator and minions know
	seeds    []int // VMs in the operator's list when the next settings file is written
	procs    []*process
	dark     []net.Listener // of lost VMs
	stopping bool
	minions  []*minion
	client   *http.Client
}

// process is one daemon, restarted by the platform when it ends.
type process struct {
	c       *cell
	name    string
	role    string
	ip      string
	command *exec.Cmd
	done    chan struct{}
}

var errCouldNotRun = errors.New("the case could not run")

func newCell(rec *recorder, root string) (*cell, error) {
	dir, err := os.MkdirTemp("", "review-cell-")
	if err != nil {
		return nil, err
	}
	c := &cell{rec: rec, root: root, dir: dir, client: &http.Client{
		Timeout:       callTimeout,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	for range 50 {
		c.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		c.port = 20_000 + 40*rand.IntN(200)
		if c.portsAreFree() {
			return c, nil
		}
	}
	return nil, fmt.Errorf("%w: no free ports", errCouldNotRun)
}

func (c *cell) vmIP(i int) string { return fmt.Sprintf("%s.%d", c.net, 1+i) }

// knownIP returns the address of a VM that callers know; i may be any number.
func (c *cell) knownIP(i int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vmIP(c.live[i%len(c.live)])
}

func (c *cell) minionIP(i int) string { return fmt.Sprintf("%s.%d", c.net, 101+i) }

func (c *cell) at(ip string, offset int) string { return fmt.Sprintf("%s:%d", ip, c.port+offset) }

func (c *cell) portsAreFree() bool {
	for i := range vms + spares {
		for _, offset := range []int{0, 1, frontendPort, readyPort, controlPort} {
			l, err := listenAt(c.at(c.vmIP(i), offset))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// settings returns a settings file like that of DEPLOY.md, with the bounds of a small site.
func (c *cell) settings(p *process, bootstrap bool) string {
	var seeds []string
	for _, i := range c.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", c.at(c.vmIP(i), controlPort)))
	}
	serves, dataDir := "edge", ""
	if p.role == "control" {
		serves, dataDir = "control", fmt.Sprintf("data_dir = %q", filepath.Join(c.dir, p.name))
	}
	return fmt.Sprintf(`node_name = %q
role = %q
machine_class = "edge"
serves = [%q]
ip = %q
zone = "sur-montevideo"
region = "sur"
internal_port_range = [%d, %d]
seeds = [%s]
bootstrap = %v
in_tolerance = true
%s
discovery = "registry"
entry_point = "vip"
heartbeat_ms = %d
contracts = ["base","drain","config","cost","recover","sched","advice","upkeep","sharing"]
config_mode = "highest"
control_mode = "invocation"
[zones]
sur-montevideo = "sur"
[listen_addrs]
frontend = %q
ready = %q
control_plane = %q
[limits]
cpu_fraction = 0.8
cores = 1
memory_mb = 284
max_fds = 4100
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2500
grace_s = 6
config_apply_ms = 2500
recovery_s = 12
max_hold_ms = %d
stop_timeout_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
lease_ms = 3000
`, p.name, p.role, serves, p.ip, c.port, c.port+internalPorts, strings.Join(seeds, ","), bootstrap, dataDir,
		heartbeat.Milliseconds(), c.at(p.ip, frontendPort), c.at(p.ip, readyPort), c.at(p.ip, controlPort), maxHold.Milliseconds())
}

// start starts all daemons for the first time and publishes the manifest.
func (c *cell) start() error {
	c.seeds, c.live = []int{0, 1, 2}, []int{0, 1, 2}
	for i := range vms {
		if err := c.startVM(i, true); err != nil {
			return err
		}
	}
	return nil
}

// startVM starts both processes of a VM with an empty disk.
func (c *cell) startVM(i int, bootstrap bool) error {
	for _, role := range []string{"control", "entry"} {
		p := &process{c: c, name: fmt.Sprintf("%s-%d", role, i+1), role: role, ip: c.vmIP(i)}
		if err := p.start(bootstrap); err != nil {
			return err
		}
		c.mu.Lock()
		c.procs = append(c.procs, p)
		c.mu.Unlock()
	}
	return nil
}

// replaceVM takes a VM away for good and starts an empty one at another address after the time.
// The list that it gets still names the lost one, as it lags.
func (c *cell) replaceVM(lost, successor int, after time.Duration) error {
	c.rec.disruption("vm %d is gone for good", lost+1)
	c.mu.Lock()
	procs := c.procs
	c.live = without(c.live, lost)
	c.mu.Unlock()
	for _, p := range procs {
		if p.ip == c.vmIP(lost) {
			_ = p.command.Process.Kill()
			<-p.done
		}
	}
	if err := c.goDark(lost); err != nil {
		return err
	}
	time.Sleep(after)
	if err := c.startVM(successor, false); err != nil {
		return err
	}
	c.seeds = append(without(c.seeds, lost), successor)
	c.mu.Lock()
	c.live = append(c.live, successor)
	c.mu.Unlock()
	c.rec.disruption("vm %d is started in its place, with an empty disk", successor+1)
	return nil
}

// goDark takes the place of a lost VM: nothing that is sent to it gets an answer. Without that, the
// kernel would refuse connections to its address at once.
func (c *cell) goDark(lost int) error {
	for _, offset := range []int{0, 1, frontendPort, readyPort, controlPort} {
		listener, err := listenAt(c.at(c.vmIP(lost), offset))
		if err != nil {
			return err
		}
		c.mu.Lock()
		c.dark = append(c.dark, listener)
		c.mu.Unlock()
		go func() {
			var held []net.Conn
			for {
				conn, err := listener.Accept()
				if err != nil {
					break
				}
				held = append(held, conn)
			}
			for _, conn := range held {
				_ = conn.Close()
			}
		}()
	}
	return nil
}

func listenAt(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}

func without(vms []int, gone int) []int {
	var rest []int
	for _, i := range vms {
		if i != gone {
			rest = append(rest, i)
		}
	}
	return rest
}

func (p *process) start(bootstrap bool) error {
	path := filepath.Join(p.c.dir, p.name+".toml")
	if err := os.WriteFile(path, []byte(p.c.settings(p, bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.CommandContext(context.Background(), filepath.Join(p.c.root, "target", "pistachiod"), "platform")
	command.Dir = p.c.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PISTACHIOPORT_SETTINGS=" + path}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	if p.c.stopping {
		return nil
	}
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.done = command, make(chan struct{})
	done := p.done
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// kill sends SIGKILL and starts the process again after a short delay, as the platform does.
func (p *process) kill() {
	p.c.rec.disruption("%s is killed", p.name)
	_ = p.command.Process.Kill()
	<-p.done
	time.Sleep(restartDelay)
	if err := p.start(false); err != nil {
		p.c.rec.logf("%s was not started again: %v", p.name, err)
		return
	}
	p.c.rec.disruption("%s is started again", p.name)
}

// stop ends everything that the cell has started.
func (c *cell) stop() {
	c.mu.Lock()
	c.stopping = true
	procs, dark := c.procs, c.dark
	c.mu.Unlock()
	for _, listener := range dark {
		_ = listener.Close()
	}
	for _, m := range c.minions {
		m.close()
	}
	for _, p := range procs {
		if p.command != nil {
			_ = p.command.Process.Kill()
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept:", c.dir)
	}
}

// call sends one request and follows a 307 twice. The body of the answer is at most a few MB.
func (c *cell) call(method, address, path, host string, body any) (status int, answer []byte, err error) {
	encoded := []byte(nil)
	if body != nil {
		if encoded, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	target := "http://" + address + path
	for range 3 {
		request, err := http.NewRequestWithContext(context.Background(), method, target, bytes.NewReader(encoded))
		if err != nil {
			return 0, nil, err
		}
		request.Header.Set("Content-Type", "application/json")
		if host != "" {
			request.Host = host
			request.Header.Set("X-Deadline-Ms", "3000")
		}
		client := c.client
		if host != "" {
			client = &http.Client{Timeout: 3 * time.Second, Transport: c.client.Transport}
		}
		response, err := client.Do(request)
		if err != nil {
			return 0, nil, err
		}
		answer, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return response.StatusCode, answer, nil
		}
		target = response.Header.Get("Location")
	}
	return http.StatusTemporaryRedirect, nil, nil
}

// publish sends the manifest until it is acknowledged.
func (c *cell) publish(manifest map[string]any) error {
	for i := range 60 {
		status, _, err := c.call(http.MethodPut, c.at(c.knownIP(i), controlPort), "/api/config", "", manifest)
		if err == nil && status == http.StatusOK {
			c.rec.logf("operator: manifest %v acknowledged", manifest["version"])
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%w: the manifest was never acknowledged", errCouldNotRun)
}

const (
	service    = "despacho"
	queueHost  = "jobs.example"
	queuePath  = "/batch/"
	maxAttempt = 2
)

// manifest returns a manifest with one queue and its service.
func manifest() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-batch", "host": queueHost, "path_prefix": queuePath, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 3000, "priority": 1, "service": service, "max_attempts": maxAttempt, "slack_factor": 4.0,
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/healthz", "max_connections": 64, "protocol": "h1", "tls_enabled": false,
			"preconditions": false, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// leader returns the control process to which the others send the operator.
func (c *cell) leader() *process {
	for range 20 {
		for i := range vms {
			request, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+c.at(c.knownIP(i), controlPort)+"/api/config", nil)
			response, err := c.client.Do(request)
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			ip := ""
			switch response.StatusCode {
			case http.StatusOK:
				ip = c.vmIP(i)
			case http.StatusTemporaryRedirect:
				if location, err := url.Parse(response.Header.Get("Location")); err == nil {
					ip = location.Hostname()
				}
			}
			for _, p := range c.procs {
				if p.role == "control" && p.ip == ip {
					return p
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// submit hands in a job and repeats that until it has a clear answer.
func (c *cell) submit(id string, steps ...map[string]any) error {
	body := map[string]any{"spec": "review", "steps": steps}
	for i := range 30 {
		status, _, err := c.call(http.MethodPost, c.at(c.knownIP(i), frontendPort), queuePath+id, queueHost, body)
		c.rec.logf("consumer: POST %s: %d %v", id, status, errText(err))
		if err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%w: job %s was not accepted", errCouldNotRun, id)
}

// state returns a job's state, or the status if there is none. It asks each entry in turn.
func (c *cell) state(id string) string {
	for i := range 12 {
		status, answer, err := c.call(http.MethodGet, c.at(c.knownIP(i), frontendPort), queuePath+id, queueHost, nil)
		var decoded struct {
			State string `json:"state"`
		}
		switch {
		case err == nil && status == http.StatusOK && json.Unmarshal(answer, &decoded) == nil:
			c.rec.logf("consumer: GET %s: 200 %s", id, decoded.State)
			return decoded.State
		case err == nil && status == http.StatusGone:
			c.rec.logf("consumer: GET %s: 410", id)
			return "410"
		}
		c.rec.logf("consumer: GET %s: %d %v", id, status, errText(err))
		time.Sleep(300 * time.Millisecond)
	}
	return "no answer"
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

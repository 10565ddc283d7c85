package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the command of the deploy file, from the root of the repository.
var program = []string{"target/skylarkstall", "platform"}

// node is one entry VM: a process of the program, and its settings.
type node struct {
	name, ip, front, ready, control, settings string
	log                                       *os.File
	client                                    *http.Client

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// cell is a small deployment on loopback addresses.
type cell struct {
	dir   string
	store *store
	rec   *recorder
	nodes []*node
}

func freeAddress(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	check(err)
	defer listener.Close()
	return listener.Addr().String()
}

// machineKind is a kind of entry VM in the site files.
type machineKind struct {
	cpuShare         float64
	memoryMb, maxFds int
	linkMbps         float64
}

var (
	ordinaryMachine = machineKind{0.4, 284, 4100, 1000}
	smallMachine    = machineKind{0.192, 184, 4100, 10} // 23 of the 29 machines of grown/napkinhub-kl-grown.toml
)

// newCell starts count processes of the program in front of the store.
func newCell(count int, kind machineKind, s *store, rec *recorder) *cell {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	c := &cell{dir: dir, store: s, rec: rec}
	for i := range count {
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		n := &node{
			name: fmt.Sprintf("frontend-z-a-%d", i+1), ip: ip, front: freeAddress(ip), ready: freeAddress(ip), control: freeAddress(ip),
			client: &http.Client{Timeout: 5 * time.Second},
		}
		c.nodes = append(c.nodes, n)
	}
	var seeds []string
	for _, n := range c.nodes[:min(3, count)] {
		seeds = append(seeds, n.control)
	}
	for _, n := range c.nodes {
		n.settings = filepath.Join(dir, n.name+".conf")
		check(os.WriteFile(n.settings, []byte(settings(n, kind, seeds, s.listen(kind.linkMbps))), 0o600))
		n.log, err = os.Create(filepath.Join(dir, n.name+".log"))
		check(err)
		n.start()
	}
	return c
}

// settings returns a settings file as DEPLOY.md shows it, with the bounds of SYSTEM.md.
func settings(n *node, kind machineKind, seeds []string, storeAddress string) string {
	return fmt.Sprintf(`node=%s
role=node
machineClass=frontend
serves=frontend,control_plane
ip=%s
zone=z-a
region=r-a
zones.z-a=r-a
listen.front=%s
listen.ready=%s
listen.control=%s
seeds=%s
bootstrap=true
limits.cpuShare=%g
limits.cores=1
limits.memoryMb=%d
limits.maxFds=%d
limits.linkMbps=%g
discovery=platform
entry=vip
heartbeatMs=1500
bounds.stabilityWindowMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.configApplyMs=2000
bounds.recoveryS=12
bounds.maxHoldMs=6000
bounds.stopGraceMs=900
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.finish_s=14
bounds.status_s=120
bounds.leaseMs=3000
controlMode=rpc
platform.address=%s
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.minTtlMs=1000
`, n.name, n.ip, n.front, n.ready, n.control, strings.Join(seeds, ","), kind.cpuShare, kind.memoryMb, kind.maxFds, kind.linkMbps, storeAddress)
}

func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(program[0], program[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "SKYLARKSTALL_BOOT=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	go func() { _ = cmd.Wait(); close(done) }()
}

func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Kill() // fails if the process has ended
	<-n.done
}

// close ends all processes and removes the temporary folder.
func (c *cell) close() {
	for _, n := range c.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs kept in", c.dir)
	}
}

// awaitReady waits until every process is ready.
func (c *cell) awaitReady() {
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range c.nodes {
			response, err := http.Get("http://" + n.ready + "/skylarkstall/ready")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(c.nodes) {
			return
		}
		if time.Now().After(deadline) {
			giveUp("%d of %d processes are ready after 15 s", ready, len(c.nodes))
		}
	}
}

// host is the host name of all routes of a script.
const host = "desk.example"

type routeConfig struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeoutMs"`
	TargetMs    int    `json:"targetDurationMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
	Stretch     any    `json:"stretch"`
}

// configure writes the operator's configuration.
func (c *cell) configure() {
	route := func(name string, priority int) routeConfig {
		return routeConfig{name, host, "/" + name + "/", "non_idempotent", 3000, 1200, priority, "printdesk", 4, 2.2}
	}
	c.store.put("op/config", map[string]any{
		"version": 1, "routes": []routeConfig{route("proof", 0), route("watch", 1), route("batch", 2)},
		"services": []map[string]any{{
			"name": "printdesk", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false,
		}},
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// call sends one request of a client, without retries. The status is 0 if there is no answer before the client leaves.
func (n *node) call(method, path string, body any, leaveAfter time.Duration) (int, map[string]any) {
	raw := []byte{}
	if body != nil {
		var err error
		raw, err = json.Marshal(body)
		check(err)
	}
	request, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(raw))
	check(err)
	request.Host, request.GetBody = host, nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	client := *n.client
	client.Timeout = leaveAfter
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	var answer map[string]any
	_ = json.NewDecoder(response.Body).Decode(&answer) // some answers have no body
	return response.StatusCode, answer
}

// job returns the body of a job with one step.
func job(spec taskSpec, count int, cpu, memMb int64) map[string]any {
	raw, err := json.Marshal(spec)
	check(err)
	step := map[string]any{"count": count, "cpu": cpu, "memMb": memMb, "estimateMs": max(spec.Ms, 1)}
	if spec.Lasts {
		step["longRunning"] = true
	}
	return map[string]any{"spec": string(raw), "steps": []map[string]any{step}}
}

// submit hands a job in as a client does: up to five tries at different nodes. It reports whether it was accepted.
func (c *cell) submit(path string, body any) bool {
	for try := range 5 {
		status, _ := c.nodes[try%len(c.nodes)].call(http.MethodPost, path, body, 3*time.Second)
		c.rec.log("POST %s at %s: %d", path, c.nodes[try%len(c.nodes)].name, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job, at any node, until one answers.
func (c *cell) state(path string) string {
	for try := range 6 {
		status, answer := c.nodes[try%len(c.nodes)].call(http.MethodGet, path, nil, 3*time.Second)
		if status == http.StatusOK {
			text, _ := answer["state"].(string)
			return text
		}
		if status == http.StatusGone {
			return "410"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "no answer"
}

// killLeader kills the process that holds the key of the leader, for good.
func (c *cell) killLeader() {
	for i, n := range c.nodes {
		if c.store.names("cell/leader", n.name) {
			c.rec.say("%s, which leads, is killed and does not come back", n.name)
			n.kill()
			c.nodes = append(c.nodes[:i:i], c.nodes[i+1:]...)
			return
		}
	}
	giveUp("no process leads")
}

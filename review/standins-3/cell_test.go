//go:build review

// Package standins3 runs the scripts of the third review: it starts the program as separate processes beside the fakes of the platform and
// checks one rule. It is built by review/build-3.sh only.
package standins3

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"skylarkstall/platform/platformtest"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// Names of the environment variables of a script.
const (
	programEnv = "REVIEW_PROGRAM" // path of the program
	recordEnv  = "REVIEW_RECORD"  // file that the record is written to
	troubleEnv = "TROUBLE"        // 0: without the disruption
)

// host is the host name under which clients reach the queues.
const host = "desk.example"

// exitCode is the result of the script. It stays exitUnable until the rule has been checked.
var exitCode = exitUnable

func TestMain(m *testing.M) {
	m.Run()
	os.Exit(exitCode)
}

// hasTrouble reports whether the disruption is to be injected.
func hasTrouble() bool { return os.Getenv(troubleEnv) != "0" }

// record is the record of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(t *testing.T) *record {
	file, err := os.Create(os.Getenv(recordEnv))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	return &record{file: file, start: time.Now()}
}

// add appends a line with the time since the start of the script.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(r.file, "%7.3f s  %s\n", time.Since(r.start).Seconds(), line)
}

// conclude records the verdict and sets the exit code.
func (r *record) conclude(broken bool, format string, args ...any) {
	exitCode = exitHeld
	verdict := "held"
	if broken {
		exitCode, verdict = exitBroken, "broken"
	}
	r.add("rule %s: %s", verdict, fmt.Sprintf(format, args...))
}

// cell is a small deployment: processes of the program, the store, and workers.
type cell struct {
	t         *testing.T
	record    *record
	store     *platformtest.Store
	tally     tally
	processes []*process
}

// process is one process of the program.
type process struct {
	front string
	cmd   *exec.Cmd
}

// newCell starts the store and the processes, and writes the first configuration.
func newCell(t *testing.T, processes int, config map[string]any) *cell {
	c := &cell{t: t, record: newRecord(t), store: platformtest.NewStore(t)}
	c.tally = tally{starts: map[string]int{}, ends: map[string]map[string]int{}}
	c.store.Put("op/config", config)
	control := make([]string, processes)
	for i := range control {
		control[i] = platformtest.FreeAddress(t)
	}
	for i := range processes {
		c.processes = append(c.processes, c.start(i, control))
	}
	return c
}

// start starts the process with the given number.
func (c *cell) start(number int, control []string) *process {
	name := fmt.Sprintf("front-%d", number)
	p := &process{front: platformtest.FreeAddress(c.t)}
	settings := fmt.Sprintf("node=%s\nrole=node\nip=127.0.0.%d\nzone=z\nregion=r\nlisten.front=%s\nlisten.ready=%s\nlisten.control=%s\nseeds=%s\n"+
		"platform.address=%s\nlimits.cpuShare=0.4\nlimits.cores=1\nlimits.memoryMb=284\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\n"+
		"heartbeatMs=1500\nbounds.maxHoldMs=6000\nbounds.status_s=120\nbounds.graceS=6\nbounds.stopGraceMs=400\nbounds.remoteFactor=1.5\n"+
		"bounds.configApplyMs=2000\ncontrolMode=rpc\n",
		name, 10+number, p.front, platformtest.FreeAddress(c.t), control[number], control[0], c.store.Listen(name))
	path := filepath.Join(c.t.TempDir(), "local.conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	p.cmd = exec.Command(os.Getenv(programEnv), "platform") // as the deploy file runs it
	p.cmd.Env = append(os.Environ(), "SKYLARKSTALL_BOOT="+path)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // if the script is killed
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		log, err := os.Create(filepath.Join(dir, name+".log"))
		if err != nil {
			c.t.Fatal(err)
		}
		p.cmd.Stdout, p.cmd.Stderr = log, log
	}
	if err := p.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.record.add("process %s started", name)
	exited := make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(exited)
	}()
	c.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // fails if the process has exited
		<-exited
	})
	return p
}

// call sends a call of a client to a process, and returns status 0 if there is no response.
func (c *cell) call(number int, method, path string, body any) (int, string) {
	raw, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.processes[number].front+path, bytes.NewReader(raw))
	if err != nil {
		c.t.Fatal(err)
	}
	request.GetBody = nil // a call is sent once
	request.Host = host
	request.Header.Set("Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	var reply struct {
		State string `json:"state"`
	}
	_ = json.NewDecoder(response.Body).Decode(&reply) // some responses have no body
	return response.StatusCode, reply.State
}

// submit hands a job in until it is accepted, for at most 20 s.
func (c *cell) submit(path string, job any) {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		status, _ := c.call(0, http.MethodPost, path, job)
		c.record.add("POST %s: %d", path, status)
		if status == http.StatusOK {
			return
		}
	}
	c.t.Fatal("the job is not accepted")
}

// awaitState asks for the state of a job until it is the given one or time is over, and returns the last one.
func (c *cell) awaitState(path string, within time.Duration, until ...string) string {
	last := ""
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status, state := c.call(len(c.processes)-1, http.MethodGet, path, nil)
		if now := fmt.Sprintf("%d %s", status, state); now != last {
			c.record.add("GET %s: %s", path, now)
			last = now
		}
		for _, wanted := range until {
			if state == wanted {
				return state
			}
		}
	}
	return last
}

// route is a queue of the configuration.
func route(name string, priority, maxAttempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": "/" + name + "/", "service": "desk", "priority": priority, "maxAttempts": maxAttempts,
	}
}

// config is a version of the configuration.
func config(version int, routes ...map[string]any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "limits": map[string]any{"maxBodyBytes": 262144}}
}

//go:build ignore

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Parameters of the deployment that every case starts.
const (
	entryCount   = 3
	hostName     = "desk.example"
	caseLimit    = 110 * time.Second
	readyLimit   = 15 * time.Second
	deadlineMs   = 3000
	workerCPU    = 32000
	workerMemMb  = 65536
	workersARack = 6
	graceS       = 6
	statusS      = 120
)

// proc is a process that the case has started.
type proc struct {
	name string
	args []string
	env  []string
	cmd  *exec.Cmd
	done chan struct{}
}

// deployment is a small deployment with the stand-ins around it.
type deployment struct {
	trouble      bool
	folder       string
	storeAddress string
	entries      []*entry
	workers      []*proc
	relays       []*proc // of the workers, if relayed is set before begin
	relayed      bool
	client       *http.Client

	mu      sync.Mutex
	record  *os.File
	started time.Time
	procs   []*proc
	events  []workerEvent
	notify  chan struct{}
	logs    *os.File
}

type entry struct {
	*proc
	front string
	ready string
}

// workerEvent is a line of a worker.
type workerEvent struct {
	at     time.Time
	worker string
	what   string // start, end, taken-note
	task   string
	run    uint64
	how    string
}

func runCase(name string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no case", name)
		return couldNot
	}
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return couldNot
	}
	defer os.RemoveAll(folder)
	record, err := os.Create(filepath.Join("review", name, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	logs, err := os.Create(filepath.Join(folder, "log.txt"))
	if err != nil {
		return couldNot
	}
	if path := os.Getenv("REVIEW_LOG"); path != "" {
		if logs, err = os.Create(path); err != nil {
			return couldNot
		}
	}
	d := &deployment{
		trouble: os.Getenv("TROUBLE") != "0", folder: folder, record: record, started: time.Now(), notify: make(chan struct{}, 1),
		client: &http.Client{Timeout: deadlineMs * time.Millisecond}, logs: logs,
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(caseLimit):
		}
		d.note("stopped: the time of the case is over")
		d.end()
		os.Exit(couldNot)
	}()
	broken, err := run(d)
	d.end()
	switch {
	case err != nil:
		d.note("could not run: %v", err)
		return couldNot
	case broken:
		d.note("RESULT the rule was broken")
		return ruleBroken
	default:
		d.note("RESULT the rule held")
		return ruleHeld
	}
}

// note writes a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func freeAddress() (string, error) { return freeAddressAt("127.0.0.1") }

// freeAddressAt returns a free port of a loopback address.
func freeAddressAt(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (d *deployment) launch(p *proc) error {
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = d.logs
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	p.cmd, p.done = cmd, make(chan struct{})
	d.procs = append(d.procs, p)
	done := p.done
	d.mu.Unlock()
	go func() {
		d.read(p.name, out)
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// read collects the lines of workers, and keeps the log of entry processes.
func (d *deployment) read(name string, out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || fields[1] != "worker" {
			d.mu.Lock()
			fmt.Fprintf(d.logs, "%8.3f %s %s\n", time.Since(d.started).Seconds(), name, lines.Text())
			d.mu.Unlock()
			continue
		}
		d.note("%s", strings.Join(fields[1:], " "))
		ms, _ := strconv.ParseInt(fields[0], 10, 64)
		event := workerEvent{at: time.UnixMilli(ms), worker: fields[2], what: fields[3]}
		for _, field := range fields[4:] {
			key, value, _ := strings.Cut(field, "=")
			switch key {
			case "task":
				event.task = value
			case "run":
				event.run, _ = strconv.ParseUint(value, 10, 64)
			case "how":
				event.how = value
			}
		}
		d.mu.Lock()
		d.events = append(d.events, event)
		d.mu.Unlock()
	}
}

// begin starts the store, the workers and the entry processes, and waits until they are ready. kind returns the kind of a worker.
func (d *deployment) begin(workers int, kind func(i int) string, queues []map[string]any) error {
	var err error
	if d.storeAddress, err = freeAddress(); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if err := d.launch(&proc{name: "store", args: []string{self, "store", d.storeAddress}}); err != nil {
		return err
	}
	time.Sleep(200 * time.Millisecond)
	if err := d.configure(1, queues); err != nil {
		return err
	}
	for i := range workers {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		listen := address
		if d.relayed {
			if listen, err = freeAddress(); err != nil {
				return err
			}
			r := &proc{name: fmt.Sprintf("relay%02d", i), args: []string{self, "relay", address, listen}}
			d.relays = append(d.relays, r)
			if err := d.launch(r); err != nil {
				return err
			}
		}
		w := &proc{name: fmt.Sprintf("w%02d", i), args: []string{
			self, "worker", fmt.Sprintf("w%02d", i), address, listen, fmt.Sprintf("r1-%d", i/workersARack), kind(i), d.storeAddress,
			strconv.Itoa(workerCPU), strconv.Itoa(workerMemMb),
		}}
		d.workers = append(d.workers, w)
		if err := d.launch(w); err != nil {
			return err
		}
	}
	return d.beginEntries()
}

func (d *deployment) beginEntries() error {
	ips, seeds := make([]string, entryCount), make([]string, entryCount)
	for i := range ips {
		ips[i] = fmt.Sprintf("127.0.%d.%d", 10+os.Getpid()%200, 10+i) // one address a process: each serves its metrics at the same port
		address, err := freeAddressAt(ips[i])
		if err != nil {
			return err
		}
		seeds[i] = address
	}
	for i, ip := range ips {
		front, err := freeAddressAt(ip)
		if err != nil {
			return err
		}
		ready, err := freeAddressAt(ip)
		if err != nil {
			return err
		}
		e := &entry{proc: &proc{name: fmt.Sprintf("entry-%d", i)}, front: front, ready: ready}
		settings := []string{
			"node=" + e.name, "role=node", "machineClass=frontend", "serves=frontend,control_plane", "ip=" + ip, "zone=z1", "region=r1",
			"zones.z1=r1", "listen.front=" + front, "listen.ready=" + ready, "listen.control=" + seeds[i], "portRange=7720,7735",
			"seeds=" + strings.Join(seeds, ","), "bootstrap=true", "limits.cpuShare=0.4", "limits.cores=1",
			"limits.memoryMb=284", "limits.maxFds=4100", "bounds.graceS=" + strconv.Itoa(graceS), "bounds.maxHoldMs=6000",
			"bounds.stopGraceMs=400", "bounds.status_s=" + strconv.Itoa(statusS), "controlMode=rpc", "advice=127.0.0.1:9",
			"platform.address=" + d.storeAddress, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000",
			"platform.historyS=20", "platform.valueBytes=1048576", "platform.minTtlMs=1000",
		}
		path := filepath.Join(d.folder, e.name+".conf")
		if err := os.WriteFile(path, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
			return err
		}
		e.args, e.env = []string{"target/skylarkstall", "platform"}, []string{"SKYLARKSTALL_BOOT=" + path}
		d.entries = append(d.entries, e)
		if err := d.launch(e.proc); err != nil {
			return err
		}
	}
	for limit := time.Now().Add(readyLimit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range d.entries {
			if response, err := d.client.Get("http://" + e.ready + "/skylarkstall/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == entryCount {
			d.note("all processes are ready")
			time.Sleep(2 * time.Second)
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("only %d processes are ready", ready)
		}
	}
}

func (d *deployment) put(key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	response, err := d.client.Post("http://"+d.storeAddress+"/skylarkstall/standin/put?key="+key, "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// call is a call of a client to one entry process. The status is 0 if there is no response.
func (d *deployment) call(e *entry, method, path string, body any) (int, map[string]any) {
	var reader io.Reader
	if body != nil {
		raw, _ := json.Marshal(body)
		reader = bytes.NewReader(raw)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadlineMs*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, reader)
	if err != nil {
		return 0, nil
	}
	request.Host, request.GetBody = hostName, nil
	request.Header.Set("Deadline-Ms", strconv.Itoa(deadlineMs))
	request.Header.Set("Content-Type", "application/json")
	reply := map[string]any{}
	status := 0
	response, err := d.client.Do(request)
	if err == nil {
		status = response.StatusCode
		_ = json.NewDecoder(response.Body).Decode(&reply)
		_ = response.Body.Close()
	}
	d.note("client %s %s at %s -> %d %v", method, path, e.name, status, reply)
	return status, reply
}

// submit hands a job in, at one process after the other, until it is accepted.
func (d *deployment) submit(path string, job any) error {
	for try := range 8 {
		if status, _ := d.call(d.entries[try%entryCount], http.MethodPost, path, job); status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s not accepted", path)
}

// running returns where the tasks run, by name, as the workers have said: the last start without an end after it.
func (d *deployment) running() map[string]workerEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := map[string]workerEvent{}
	for _, e := range d.events {
		switch e.what {
		case "start":
			now[e.task] = e
		case "end":
			if now[e.task].run == e.run && now[e.task].worker == e.worker {
				delete(now, e.task)
			}
		case "life": // of a worker: what ran there before has ended
			for task, start := range now {
				if start.worker == e.worker {
					delete(now, task)
				}
			}
		}
	}
	return now
}

func (d *deployment) worker(id string) *proc {
	for _, w := range d.workers {
		if w.name == id {
			return w
		}
	}
	return nil
}

// crash kills processes with SIGKILL and starts them again after the downtime.
func (d *deployment) crash(downtime time.Duration, procs ...*proc) error {
	for _, p := range procs {
		d.note("trouble: %s is killed", p.name)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	time.Sleep(downtime)
	for _, p := range procs {
		if err := d.launch(p); err != nil {
			return err
		}
	}
	return nil
}

// end kills every process that the case started.
func (d *deployment) end() {
	d.mu.Lock()
	procs := append([]*proc{}, d.procs...)
	d.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range procs {
		<-p.done
	}
}

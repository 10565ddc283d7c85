package processtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"skylarkstall/examples"
	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/adapter/storehttp"
	"skylarkstall/internal/adapter/vmlisthttp"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/standin/worker"
)

// capacityVariable turns the measurement on. It takes some minutes and checks no limit, so it is not part of the tests.
const capacityVariable = "SKYLARKSTALL_CAPACITY"

const (
	windows      = 3
	windowLength = 5 * time.Second
	settle       = 4 * time.Second
	clockTicks   = 100 // per second in /proc/<pid>/stat
)

// usage is what a process has used so far.
type usage struct {
	cpu   float64 // seconds
	bytes float64 // read and written, sockets included
	rss   float64 // bytes
}

func (p *process) usage(t *testing.T) usage {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	io, err := os.ReadFile(dir + "io")
	if err != nil {
		t.Fatal(err)
	}
	u := usage{cpu: (number(t, fields[11]) + number(t, fields[12])) / clockTicks}
	u.rss = number(t, fields[21]) * float64(os.Getpagesize())
	for _, line := range strings.Split(string(io), "\n") {
		if name, value, ok := strings.Cut(line, ": "); ok && (name == "rchar" || name == "wchar") {
			u.bytes += number(t, value)
		}
	}
	return u
}

func number(t *testing.T, s string) float64 {
	t.Helper()
	n, err := strconv.ParseFloat(s, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// measure prints the rates of a process over some windows: mean, lowest and highest.
func (p *process) measure(t *testing.T, what string) {
	t.Helper()
	var cpu, traffic []float64
	var rss float64
	for range windows {
		before := p.usage(t)
		time.Sleep(windowLength)
		after := p.usage(t)
		cpu = append(cpu, 100*(after.cpu-before.cpu)/windowLength.Seconds())
		traffic = append(traffic, (after.bytes-before.bytes)/windowLength.Seconds()/1000)
		rss = after.rss
	}
	t.Logf("%-32s cpu %s %% of a core, traffic %s KB/s, memory %.1f MB", what, spread(cpu), spread(traffic), rss/1e6)
}

func spread(values []float64) string {
	lowest, highest, sum := values[0], values[0], 0.0
	for _, v := range values {
		lowest, highest, sum = min(lowest, v), max(highest, v), sum+v
	}
	return fmt.Sprintf("%.2f [%.2f-%.2f]", sum/float64(len(values)), lowest, highest)
}

// newCapacityCell starts entry processes and workers that have 64 slots each, all workers in one process.
func newCapacityCell(ctx context.Context, t *testing.T, entries, workers int) *cell {
	t.Helper()
	c := &cell{t: t, binary: buildBinary(t), file: t.TempDir() + "/vms.json"}
	c.writeFile()
	c.store = start(t, "store", c.binary, "standin", "store", "--address", "127.0.0.1:0").addresses()[0]
	c.vmList = start(t, "vm-list", c.binary, "standin", "vm-list", "--address", "127.0.0.1:0", "--file", c.file).addresses()[0]
	c.putDocument(ctx, "vembanad", examples.Vembanad, 0)
	if workers > 0 {
		p := start(t, "workers", c.binary, "standin", "worker", "--address", "127.0.0.1:0", "--slots", "64", "--cores", "64",
			"--count", strconv.Itoa(workers))
		c.workers = append(c.workers, p)
		for i, address := range p.addresses() {
			c.rows = append(c.rows, vmlisthttp.VM{ID: fmt.Sprintf("w%d", i), Role: "worker", Address: address, Zone: zones[0]})
		}
	}
	for i := range entries {
		c.addEntry(i)
	}
	c.writeFile()
	c.caller = callerhttp.NewClient(c.entries[0].addresses()[0], "vembanad-dev-token")
	c.awaitOwned(ctx, workers)
	time.Sleep(settle)
	return c
}

func (c *cell) putDocument(ctx context.Context, team string, source []byte, revision uint64) uint64 {
	c.t.Helper()
	put, err := storehttp.New(c.store).Put(ctx, "document/"+team, source, ident.Revision(revision), 0)
	if err != nil {
		c.t.Fatal(err)
	}
	return uint64(put)
}

// TestCapacity prints what an entry process costs for each worker, peer, running task, start, document and change.
func TestCapacity(t *testing.T) {
	if os.Getenv(capacityVariable) == "" {
		t.Skipf("set %s=1 to measure", capacityVariable)
	}
	t.Run("workers owned", capacityWorkers)
	t.Run("peers", capacityPeers)
	t.Run("running tasks", capacityRunning)
	t.Run("starts", capacityStarts)
	t.Run("documents", capacityDocuments)
	t.Run("changes", capacityChanges)
}

func capacityWorkers(t *testing.T) {
	for _, n := range []int{0, 32, 64, 128} {
		c := newCapacityCell(t.Context(), t, 1, n)
		c.entries[0].measure(t, fmt.Sprintf("%d workers owned", n))
		c.close()
	}
}

func capacityPeers(t *testing.T) {
	for _, n := range []int{2, 6, 16} {
		c := newCapacityCell(t.Context(), t, n+1, 0)
		c.entries[0].measure(t, fmt.Sprintf("%d peers", n))
		c.close()
	}
}

func capacityRunning(t *testing.T) {
	for _, n := range []int{0, 500, 1000, 2000} {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCapacityCell(ctx, t, 1, 64)
		var running sync.WaitGroup
		for i := range n {
			running.Go(func() { c.runOnce(ctx, fmt.Sprintf("long-%d", i), time.Minute) })
		}
		time.Sleep(settle)
		c.entries[0].measure(t, fmt.Sprintf("%d tasks running", n))
		cancel()
		running.Wait()
		c.close()
	}
}

// runOnce runs a request and leaves the answer unchecked.
func (c *cell) runOnce(ctx context.Context, id string, run time.Duration) {
	payload, err := json.Marshal(worker.Payload{RunMS: run.Milliseconds(), Echo: id})
	if err != nil {
		c.t.Error(err)
		return
	}
	call := callerhttp.RunRequest{Team: "vembanad", RequestID: id, Kind: "proof", DeadlineMS: 120_000, Payload: payload}
	if _, err := c.caller.Run(ctx, call); err != nil && ctx.Err() == nil {
		c.t.Errorf("%s: %v", id, err)
	}
}

func capacityStarts(t *testing.T) {
	for _, rate := range []int{0, 50, 100, 200} {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCapacityCell(ctx, t, 1, 64)
		var running sync.WaitGroup
		running.Go(func() { c.load(ctx, rate) })
		time.Sleep(settle)
		c.entries[0].measure(t, fmt.Sprintf("%d starts a second", rate))
		cancel()
		running.Wait()
		c.close()
	}
}

// load starts requests at a steady rate until the context ends.
func (c *cell) load(ctx context.Context, rate int) {
	if rate == 0 {
		return
	}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
			running.Go(func() { c.runOnce(ctx, fmt.Sprintf("start-%d", i), 100*time.Millisecond) })
		case <-ctx.Done():
			return
		}
	}
}

func capacityDocuments(t *testing.T) {
	for _, n := range []int{1, 100, 350} {
		c := newCapacityCell(t.Context(), t, 1, 0)
		for i := range n {
			id := fmt.Sprintf("team-%d", i)
			c.putDocument(t.Context(), id, documentOf(id, 0), 0)
		}
		time.Sleep(settle)
		c.entries[0].measure(t, fmt.Sprintf("%d documents", n))
		c.close()
	}
}

func documentOf(team string, weight int) []byte {
	text := strings.ReplaceAll(string(examples.Vembanad), "team: vembanad", "team: "+team)
	return []byte(strings.ReplaceAll(text, "weight: 10", fmt.Sprintf("weight: %d", 10+weight%100)))
}

func capacityChanges(t *testing.T) {
	for _, rate := range []int{0, 5, 10, 20} {
		c := newCapacityCell(t.Context(), t, 2, 0)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { c.change(ctx, rate) })
		time.Sleep(time.Second)
		c.entries[0].measure(t, fmt.Sprintf("%d changes a second", rate))
		cancel()
		running.Wait()
		c.close()
	}
}

// change changes one document at a steady rate until the context ends.
func (c *cell) change(ctx context.Context, rate int) {
	if rate == 0 {
		return
	}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var revision uint64
	for i := 0; ctx.Err() == nil; i++ {
		<-ticker.C
		revision = c.putDocument(context.WithoutCancel(ctx), "changing", documentOf("changing", i), revision)
	}
}

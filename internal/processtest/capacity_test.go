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

// capacityEnv is the environment variable that enables the measurement, which is off by default because it takes some
// minutes and checks no limit.
const capacityEnv = "SKYLARKSTALL_CAPACITY"

const (
	windowCount         = 3
	windowLength        = 5 * time.Second
	settleTime          = 4 * time.Second
	clockTicksPerSecond = 100 // unit of CPU time in /proc/<pid>/stat
)

// resourceUsage is what a process has used since its start; memory is the present resident set.
type resourceUsage struct {
	cpuSeconds float64
	ioBytes    float64 // read and written, sockets included
	rssBytes   float64
}

func (p *process) usage(t *testing.T) resourceUsage {
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
	u := resourceUsage{cpuSeconds: (parseNumber(t, fields[11]) + parseNumber(t, fields[12])) / clockTicksPerSecond}
	u.rssBytes = parseNumber(t, fields[21]) * float64(os.Getpagesize())
	for _, line := range strings.Split(string(io), "\n") {
		if name, value, ok := strings.Cut(line, ": "); ok && (name == "rchar" || name == "wchar") {
			u.ioBytes += parseNumber(t, value)
		}
	}
	return u
}

func parseNumber(t *testing.T, s string) float64 {
	t.Helper()
	n, err := strconv.ParseFloat(s, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// measure logs the CPU and I/O rates of a process over several windows (mean, lowest and highest) and its memory.
func (p *process) measure(t *testing.T, label string) {
	t.Helper()
	var cpu, traffic []float64
	var rss float64
	for range windowCount {
		before := p.usage(t)
		time.Sleep(windowLength)
		after := p.usage(t)
		cpu = append(cpu, 100*(after.cpuSeconds-before.cpuSeconds)/windowLength.Seconds())
		traffic = append(traffic, (after.ioBytes-before.ioBytes)/windowLength.Seconds()/1000)
		rss = after.rssBytes
	}
	t.Logf("%-32s cpu %s %% of a core, traffic %s KB/s, memory %.1f MB", label, formatMeanAndRange(cpu),
		formatMeanAndRange(traffic), rss/1e6)
}

func formatMeanAndRange(values []float64) string {
	lowest, highest, sum := values[0], values[0], 0.0
	for _, v := range values {
		lowest, highest, sum = min(lowest, v), max(highest, v), sum+v
	}
	return fmt.Sprintf("%.2f [%.2f-%.2f]", sum/float64(len(values)), lowest, highest)
}

// newCapacityCell starts a cell whose workers have 64 slots each and all run in one process.
func newCapacityCell(ctx context.Context, t *testing.T, entries, workers int) *cell {
	t.Helper()
	c := &cell{t: t, binary: buildBinary(t), vmListFile: t.TempDir() + "/vms.json"}
	c.writeVMList()
	c.storeAddress = startProcess(t, "store", c.binary, "standin", "store", "--address", "127.0.0.1:0").addresses()[0]
	c.vmListAddress = startProcess(t, "vm-list", c.binary, "standin", "vm-list", "--address", "127.0.0.1:0",
		"--file", c.vmListFile).addresses()[0]
	c.putDocument(ctx, "vembanad", examples.Vembanad, 0)
	if workers > 0 {
		p := startProcess(t, "workers", c.binary, "standin", "worker", "--address", "127.0.0.1:0",
			"--slots", "64", "--cores", "64", "--count", strconv.Itoa(workers))
		c.workers = append(c.workers, p)
		for i, address := range p.addresses() {
			c.vms = append(c.vms, vmlisthttp.VM{ID: fmt.Sprintf("w%d", i), Role: "worker", Address: address, Zone: zones[0]})
		}
	}
	for i := range entries {
		c.addEntry(i)
	}
	c.writeVMList()
	c.client = callerhttp.NewClient(c.entries[0].addresses()[0], "vembanad-dev-token")
	c.awaitReady(ctx, workers)
	time.Sleep(settleTime)
	return c
}

func (c *cell) putDocument(ctx context.Context, team string, source []byte, revision uint64) uint64 {
	c.t.Helper()
	stored, err := storehttp.New(c.storeAddress).Put(ctx, "document/"+team, source, ident.Revision(revision), 0)
	if err != nil {
		c.t.Fatal(err)
	}
	return uint64(stored)
}

// TestCapacity measures the CPU, traffic and memory that an entry process uses for each owned worker, peer, running task,
// start per second, document, and document change per second.
func TestCapacity(t *testing.T) {
	if os.Getenv(capacityEnv) == "" {
		t.Skipf("set %s=1 to measure", capacityEnv)
	}
	t.Run("workers owned", measureOwnedWorkers)
	t.Run("peers", measurePeers)
	t.Run("running tasks", measureRunningTasks)
	t.Run("starts", measureStarts)
	t.Run("documents", measureDocuments)
	t.Run("changes", measureChanges)
}

func measureOwnedWorkers(t *testing.T) {
	for _, n := range []int{0, 32, 64, 128} {
		c := newCapacityCell(t.Context(), t, 1, n)
		c.entries[0].measure(t, fmt.Sprintf("%d workers owned", n))
		c.killAll()
	}
}

func measurePeers(t *testing.T) {
	for _, n := range []int{2, 6, 16} {
		c := newCapacityCell(t.Context(), t, n+1, 0)
		c.entries[0].measure(t, fmt.Sprintf("%d peers", n))
		c.killAll()
	}
}

func measureRunningTasks(t *testing.T) {
	for _, n := range []int{0, 500, 1000, 2000} {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCapacityCell(ctx, t, 1, 64)
		var running sync.WaitGroup
		for i := range n {
			running.Go(func() { c.runUnchecked(ctx, fmt.Sprintf("long-%d", i), time.Minute) })
		}
		time.Sleep(settleTime)
		c.entries[0].measure(t, fmt.Sprintf("%d tasks running", n))
		cancel()
		running.Wait()
		c.killAll()
	}
}

// runUnchecked runs a request without checking its output.
func (c *cell) runUnchecked(ctx context.Context, id string, runTime time.Duration) {
	payload, err := json.Marshal(worker.Payload{RunMS: runTime.Milliseconds(), Echo: id})
	if err != nil {
		c.t.Error(err)
		return
	}
	call := callerhttp.RunRequest{Team: "vembanad", RequestID: id, Kind: "proof", DeadlineMS: 120_000, Payload: payload}
	if _, err := c.client.Run(ctx, call); err != nil && ctx.Err() == nil {
		c.t.Errorf("%s: %v", id, err)
	}
}

func measureStarts(t *testing.T) {
	for _, rate := range []int{0, 50, 100, 200} {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCapacityCell(ctx, t, 1, 64)
		var running sync.WaitGroup
		running.Go(func() { c.generateRequests(ctx, rate) })
		time.Sleep(settleTime)
		c.entries[0].measure(t, fmt.Sprintf("%d starts per second", rate))
		cancel()
		running.Wait()
		c.killAll()
	}
}

// generateRequests sends requests at a constant rate per second until the context ends, and waits for their responses.
func (c *cell) generateRequests(ctx context.Context, rate int) {
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
			running.Go(func() { c.runUnchecked(ctx, fmt.Sprintf("start-%d", i), 100*time.Millisecond) })
		case <-ctx.Done():
			return
		}
	}
}

func measureDocuments(t *testing.T) {
	for _, n := range []int{1, 100, 350} {
		c := newCapacityCell(t.Context(), t, 1, 0)
		for i := range n {
			id := fmt.Sprintf("team-%d", i)
			c.putDocument(t.Context(), id, teamDocument(id, 0), 0)
		}
		time.Sleep(settleTime)
		c.entries[0].measure(t, fmt.Sprintf("%d documents", n))
		c.killAll()
	}
}

func teamDocument(team string, weight int) []byte {
	text := strings.ReplaceAll(string(examples.Vembanad), "team: vembanad", "team: "+team)
	return []byte(strings.ReplaceAll(text, "weight: 10", fmt.Sprintf("weight: %d", 10+weight%100)))
}

func measureChanges(t *testing.T) {
	for _, rate := range []int{0, 5, 10, 20} {
		c := newCapacityCell(t.Context(), t, 2, 0)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { c.generateChanges(ctx, rate) })
		time.Sleep(time.Second)
		c.entries[0].measure(t, fmt.Sprintf("%d changes per second", rate))
		cancel()
		running.Wait()
		c.killAll()
	}
}

// generateChanges updates one document at a constant rate per second until the context ends.
func (c *cell) generateChanges(ctx context.Context, rate int) {
	if rate == 0 {
		return
	}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var revision uint64
	for i := 0; ctx.Err() == nil; i++ {
		<-ticker.C
		revision = c.putDocument(context.WithoutCancel(ctx), "changing", teamDocument("changing", i), revision)
	}
}

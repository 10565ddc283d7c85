// Package processtest runs the binary as separate processes on loopback: entry processes, worker stand-ins and the
// platform's stand-ins.
package processtest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"skylarkstall/examples"
	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/adapter/storehttp"
	"skylarkstall/internal/adapter/vmlisthttp"
)

var zones = []string{"kochi-a", "kochi-b", "alappuzha"}

// process is a running binary whose first line of output tells its addresses.
type process struct {
	id    string
	cmd   *exec.Cmd
	first string

	mu    sync.Mutex
	lines []string
	done  chan struct{}
}

func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "skylarkstall")
	out, err := exec.Command("go", "build", "-o", binary, "skylarkstall/cmd/skylarkstall").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

func start(t *testing.T, id, binary string, args ...string) *process {
	t.Helper()
	p := &process{id: id, cmd: exec.Command(binary, args...), done: make(chan struct{})}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	var stderr strings.Builder
	p.cmd.Stderr = &stderr
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(stdout)
	if p.first, err = reader.ReadString('\n'); err != nil {
		_ = p.cmd.Wait()
		t.Fatalf("%s: %v\n%s", id, err, stderr.String())
	}
	go p.collect(reader)
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s:\n%s", id, tail(stderr.String(), 4000))
		}
	})
	return p
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

func (p *process) collect(reader io.Reader) {
	defer close(p.done)
	scanner := bufio.NewScanner(reader)
	for scanner.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		p.mu.Unlock()
	}
}

// kill ends the process without a chance to drain.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.done
	_ = p.cmd.Wait()
}

// close ends the entry processes before the cell's test ends, so that they use nothing while the next cell is measured.
func (c *cell) close() {
	for _, p := range append(c.entries, c.workers...) {
		p.kill()
	}
}

func (p *process) output() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

var addressPattern = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+`)

func (p *process) addresses() []string { return addressPattern.FindAllString(p.first, -1) }

// cell is a cell of separate processes.
type cell struct {
	t       *testing.T
	binary  string
	entries []*process
	workers []*process
	store   string
	vmList  string
	file    string
	rows    []vmlisthttp.VM
	caller  *callerhttp.Client // one connection to the first entry process, for measurements
}

func startCell(ctx context.Context, t *testing.T, entries, workers int) *cell {
	t.Helper()
	c := &cell{t: t, binary: buildBinary(t), file: filepath.Join(t.TempDir(), "vms.json")}
	c.writeFile()
	c.store = start(t, "store", c.binary, "standin", "store", "--address", "127.0.0.1:0").addresses()[0]
	c.vmList = start(t, "vm-list", c.binary, "standin", "vm-list", "--address", "127.0.0.1:0", "--file", c.file).addresses()[0]
	client := storehttp.New(c.store)
	for id, source := range map[string][]byte{"vembanad": examples.Vembanad, "goldfields": examples.Goldfields} {
		if _, err := client.Put(ctx, "document/"+id, source, 0, 0); err != nil {
			t.Fatal(err)
		}
	}
	for i := range workers {
		c.addWorker(i)
	}
	for i := range entries {
		c.addEntry(i)
	}
	c.writeFile()
	c.awaitOwned(ctx, workers)
	return c
}

func (c *cell) writeFile() {
	data, err := json.Marshal(vmlisthttp.Reply{VMs: c.rows})
	if err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(c.file, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cell) addWorker(i int) {
	id, zone := fmt.Sprintf("worker-%d", i), zones[i%len(zones)]
	p := start(c.t, id, c.binary, "standin", "worker", "--address", "127.0.0.1:0", "--zone", zone)
	c.workers = append(c.workers, p)
	c.rows = append(c.rows, vmlisthttp.VM{ID: id, Role: "worker", Address: p.addresses()[0], Zone: zone, Rack: "r"})
}

func (c *cell) addEntry(i int) {
	id, zone := fmt.Sprintf("entry-%d", i), zones[i%len(zones)]
	p := start(c.t, id, c.binary, "serve", "--id", id, "--zone", zone, "--caller-address", "127.0.0.1:0",
		"--peer-address", "127.0.0.1:0", "--peer-plain", "--store-address", c.store, "--vm-list-address", c.vmList)
	c.entries = append(c.entries, p)
	c.rows = append(c.rows, vmlisthttp.VM{ID: id, Role: "entry", Address: p.addresses()[1], Zone: zone})
}

// awaitOwned waits until every entry process is ready and every worker is owned by one of them.
func (c *cell) awaitOwned(ctx context.Context, workers int) {
	c.t.Helper()
	client := callerhttp.NewClient(c.entries[0].addresses()[0], "")
	for ctx.Err() == nil {
		owned, ready := 0, 0
		if reply, err := client.CellStatus(ctx); err == nil {
			for _, p := range reply.Processes {
				owned += len(p.Workers)
				if p.Ready && len(p.Partitions) > 0 {
					ready++
				}
			}
		}
		if owned == workers && ready == len(c.entries) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatal("the cell did not become ready")
}

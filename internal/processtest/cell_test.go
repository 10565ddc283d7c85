// Package processtest tests a cell of separate processes that communicate over loopback: entry processes, and fakes of
// the workers, the store and the VM list.
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

// process is a running command of the binary. Its first line of output contains its addresses.
type process struct {
	id        string
	cmd       *exec.Cmd
	firstLine string

	mu           sync.Mutex
	lines        []string
	outputClosed chan struct{}
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

func startProcess(t *testing.T, id, binary string, args ...string) *process {
	t.Helper()
	p := &process{id: id, cmd: exec.Command(binary, args...), outputClosed: make(chan struct{})}
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
	if p.firstLine, err = reader.ReadString('\n'); err != nil {
		_ = p.cmd.Wait()
		t.Fatalf("%s printed no addresses: %v\n%s", id, err, stderr.String())
	}
	go p.readOutput(reader)
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s:\n%s", id, lastBytes(stderr.String(), 4000))
		}
	})
	return p
}

func lastBytes(s string, n int) string { return s[max(0, len(s)-n):] }

func (p *process) readOutput(reader io.Reader) {
	defer close(p.outputClosed)
	scanner := bufio.NewScanner(reader)
	for scanner.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		p.mu.Unlock()
	}
}

// kill ends the process without draining it.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.outputClosed
	_ = p.cmd.Wait()
}

// killAll ends the entry processes and workers before the test ends, so that they use no resources while the next cell
// is measured.
func (c *cell) killAll() {
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

func (p *process) addresses() []string { return addressPattern.FindAllString(p.firstLine, -1) }

// cell is a cell whose entry processes, workers, store and VM list are separate processes.
type cell struct {
	t             *testing.T
	binary        string
	entries       []*process
	workers       []*process
	storeAddress  string
	vmListAddress string
	vmListFile    string
	vms           []vmlisthttp.VM
	client        *callerhttp.Client // connected to the first entry process; used by measurements
}

func startCell(ctx context.Context, t *testing.T, entries, workers int) *cell {
	t.Helper()
	c := &cell{t: t, binary: buildBinary(t), vmListFile: filepath.Join(t.TempDir(), "vms.json")}
	c.writeVMList()
	c.storeAddress = startProcess(t, "store", c.binary, "standin", "store", "--address", "127.0.0.1:0").addresses()[0]
	c.vmListAddress = startProcess(t, "vm-list", c.binary, "standin", "vm-list", "--address", "127.0.0.1:0",
		"--file", c.vmListFile).addresses()[0]
	client := storehttp.New(c.storeAddress)
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
	c.writeVMList()
	c.awaitReady(ctx, workers)
	return c
}

func (c *cell) writeVMList() {
	data, err := json.Marshal(vmlisthttp.Reply{VMs: c.vms})
	if err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(c.vmListFile, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cell) addWorker(i int) {
	id, zone := fmt.Sprintf("worker-%d", i), zones[i%len(zones)]
	p := startProcess(c.t, id, c.binary, "standin", "worker", "--address", "127.0.0.1:0", "--zone", zone)
	c.workers = append(c.workers, p)
	c.vms = append(c.vms, vmlisthttp.VM{ID: id, Role: "worker", Address: p.addresses()[0], Zone: zone, Rack: "r"})
}

func (c *cell) addEntry(i int) {
	id, zone := fmt.Sprintf("entry-%d", i), zones[i%len(zones)]
	p := startProcess(c.t, id, c.binary, "serve", "--id", id, "--zone", zone, "--caller-address", "127.0.0.1:0",
		"--peer-address", "127.0.0.1:0", "--peer-plain", "--store-address", c.storeAddress, "--vm-list-address", c.vmListAddress)
	c.entries = append(c.entries, p)
	c.vms = append(c.vms, vmlisthttp.VM{ID: id, Role: "entry", Address: p.addresses()[1], Zone: zone})
}

// awaitReady waits until every entry process is ready and is the home of partitions, and every worker is owned.
func (c *cell) awaitReady(ctx context.Context, workers int) {
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
	c.t.Fatalf("cell with %d workers did not become ready: %v", workers, ctx.Err())
}

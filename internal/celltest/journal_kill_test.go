package celltest

import (
	"bufio"
	"fmt"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"skylarkstall/internal/adapter/storehttp"
	"skylarkstall/internal/adapter/vmlisthttp"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/membership"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/standin/store"
)

const doomed = "entry-9"

// addDoomed starts an entry process of its own, which can be killed without a chance to drain, and waits until it is
// the home of partitions.
func (c *onceCell) addDoomed() *exec.Cmd {
	c.t.Helper()
	binary := filepath.Join(c.t.TempDir(), "skylarkstall")
	if out, err := exec.Command("go", "build", "-o", binary, "skylarkstall/cmd/skylarkstall").CombinedOutput(); err != nil {
		c.t.Fatalf("build: %v\n%s", err, out)
	}
	process := exec.Command(binary, "serve", "--id", doomed, "--zone", "kochi-a", "--caller-address", "127.0.0.1:0",
		"--peer-address", "127.0.0.1:0", "--peer-plain", "--store-address", c.Store.Address(),
		"--vm-list-address", c.VMs.Address())
	stdout, err := process.StdoutPipe()
	if err != nil {
		c.t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() {
		_ = process.Process.Kill() // it may have ended
		_ = process.Wait()
	})
	first, err := bufio.NewReader(stdout).ReadString('\n')
	addresses := regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+`).FindAllString(first, -1)
	if err != nil || len(addresses) < 2 {
		c.t.Fatalf("%q, error %v", first, err)
	}
	c.AddVM(vmlisthttp.VM{ID: doomed, Role: "entry", Address: addresses[1], Zone: "kochi-a"})
	for c.partitionsOf(doomed) == 0 || c.homes() < ident.PartitionCount {
		if c.ctx.Err() != nil {
			c.t.Fatal("the process takes no partition")
		}
		time.Sleep(50 * time.Millisecond)
	}
	return process
}

// homes returns how many partitions have a home.
func (c *onceCell) homes() int {
	n := c.partitionsOf(doomed)
	for _, node := range c.Nodes {
		n += c.partitionsOf(node.ID)
	}
	return n
}

func (c *onceCell) partitionsOf(id ident.ProcessID) int {
	statuses, _ := c.Nodes[0].CellStatus(c.ctx)
	for _, s := range statuses {
		if s.Heartbeat.Peer.ID == id {
			return len(s.Partitions)
		}
	}
	return 0
}

// ofDoomed returns a request id whose home is the process that will be killed.
func (c *onceCell) ofDoomed(name string) string {
	view := membership.New(membership.Peer{ID: doomed}, membership.Settings{DeadAfter: time.Hour, RejoinHeartbeats: 1})
	for _, n := range c.Nodes {
		view.Heartbeat(time.Now(), membership.Peer{ID: n.ID, Incarnation: 1})
	}
	for i := 0; ; i++ {
		id := ident.WorkID{Team: "vembanad", Request: ident.RequestID(fmt.Sprintf("%s-%d", name, i))}
		if view.Home(id.Partition()) == doomed {
			return string(id.Request)
		}
	}
}

// TestHomeKilledInStoreOutage guards guarantees 3, 4 and 5 when the store is down and the home of running work dies:
// the work goes on and is answered once the store is back, it is not started again, nobody is told that it did not
// run, and repeatable requests of the same partitions are served in the meantime.
func TestHomeKilledInStoreOutage(t *testing.T) {
	t.Parallel()
	c := startOnceCell(t, 2)
	process := c.addDoomed()
	first, second := c.Nodes[0].CallerAddress(), c.Nodes[1].CallerAddress()
	kept, running, proof := c.ofDoomed("kept"), c.ofDoomed("running"), c.ofDoomed("proof")
	c.expect(first, "print-order", kept, 10)
	answers := make(chan error, 1)
	go func() {
		output, err := c.run(first, "print-order", running, 3000)
		if err == nil && output != running {
			err = fmt.Errorf("output %q", output)
		}
		answers <- err
	}()
	for c.started(running) == 0 && c.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}

	c.Store.SetFaults(store.Faults{Unavailable: true})
	if err := process.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	c.expect(second, "proof", proof, 10)
	if _, err := c.runWithin(second, kept, 1500); !fault.Is(err, fault.Interrupted) {
		t.Errorf("asked again while the journal cannot be read: %v; want interrupted", err)
	}
	before := c.Store.CallCounts()
	c.Store.SetFaults(store.Faults{})
	if err := <-answers; err != nil {
		t.Errorf("the caller that waited: %v", err)
	}
	c.expect(second, "print-order", running, 3000)
	c.expect(second, "print-order", kept, 10)
	after := c.Store.CallCounts()
	t.Logf("after the outage: %d lists, %d writes, %d gets", after[storehttp.PathList]-before[storehttp.PathList],
		after[storehttp.PathPut]-before[storehttp.PathPut], after[storehttp.PathGet]-before[storehttp.PathGet])
}

// TestTakeoverCalls guards the cost of a takeover: one list and one write of the store for each partition.
func TestTakeoverCalls(t *testing.T) {
	t.Parallel()
	c := startOnceCell(t, 1)
	process := c.addDoomed()
	moved := c.partitionsOf(doomed)
	time.Sleep(500 * time.Millisecond) // the doomed process takes the journals of its partitions
	if err := process.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	before := c.Store.CallCounts()
	for c.partitionsOf(c.Nodes[0].ID) < ident.PartitionCount && c.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	c.expect(c.Nodes[0].CallerAddress(), "print-order", c.ofDoomed("after"), 10)
	time.Sleep(500 * time.Millisecond)
	after := c.Store.CallCounts()
	lists := after[storehttp.PathList] - before[storehttp.PathList]
	writes := after[storehttp.PathPut] - before[storehttp.PathPut]
	t.Logf("%d partitions moved: %d lists, %d writes, 2 of these for a request", moved, lists, writes)
	if lists != moved || writes != moved+2 {
		t.Errorf("%d partitions moved: %d lists and %d writes; want %d and %d", moved, lists, writes, moved, moved+2)
	}
}

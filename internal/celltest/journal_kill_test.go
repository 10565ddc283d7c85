package celltest_test

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

// victimID is the id of the entry process that a test kills.
const victimID = "entry-9"

// startVictim starts an entry process as a separate operating system process, so that it can be killed without draining.
// It waits until the process is the home of partitions and every partition has a home.
func (c *countingCell) startVictim() *exec.Cmd {
	c.t.Helper()
	binary := filepath.Join(c.t.TempDir(), "skylarkstall")
	if out, err := exec.Command("go", "build", "-o", binary, "skylarkstall/cmd/skylarkstall").CombinedOutput(); err != nil {
		c.t.Fatalf("build: %v\n%s", err, out)
	}
	process := exec.Command(binary, "serve", "--id", victimID, "--zone", "kochi-a", "--caller-address", "127.0.0.1:0",
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
	firstLine, err := bufio.NewReader(stdout).ReadString('\n')
	addresses := regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+`).FindAllString(firstLine, -1)
	if err != nil || len(addresses) < 2 {
		c.t.Fatalf("entry process printed %q in place of its addresses, error %v", firstLine, err)
	}
	c.AddVM(vmlisthttp.VM{ID: victimID, Role: "entry", Address: addresses[1], Zone: "kochi-a"})
	for c.partitionCount(victimID) == 0 || c.partitionsWithHome() < ident.PartitionCount {
		if c.ctx.Err() != nil {
			c.t.Fatalf("process %s did not become the home of partitions: %v", victimID, c.ctx.Err())
		}
		time.Sleep(50 * time.Millisecond)
	}
	return process
}

// partitionsWithHome returns the number of partitions that have a home.
func (c *countingCell) partitionsWithHome() int {
	n := c.partitionCount(victimID)
	for _, node := range c.Nodes {
		n += c.partitionCount(node.ID)
	}
	return n
}

func (c *countingCell) partitionCount(id ident.ProcessID) int {
	statuses, _ := c.Nodes[0].CellStatus(c.ctx)
	for _, s := range statuses {
		if s.Heartbeat.Peer.ID == id {
			return len(s.Partitions)
		}
	}
	return 0
}

// requestIDForVictim returns a request id whose home is the process that will be killed.
func (c *countingCell) requestIDForVictim(name string) string {
	view := membership.New(membership.Peer{ID: victimID}, membership.Settings{DeadAfter: time.Hour, RejoinHeartbeats: 1})
	for _, n := range c.Nodes {
		view.Heartbeat(time.Now(), membership.Peer{ID: n.ID, Incarnation: 1})
	}
	for i := 0; ; i++ {
		id := ident.WorkID{Team: "vembanad", Request: ident.RequestID(fmt.Sprintf("%s-%d", name, i))}
		if view.Home(id.Partition()) == victimID {
			return string(id.Request)
		}
	}
}

// TestHomeKilledInStoreOutage verifies guarantees 3, 4 and 5 when the home of running work dies while the store is
// unavailable: the work keeps running and its caller gets the response once the store is back, it is not started again,
// no caller is told that it did not run, and repeatable requests of the same partitions are served during the outage.
func TestHomeKilledInStoreOutage(t *testing.T) {
	t.Parallel()
	c := startCountingCell(t, 2)
	process := c.startVictim()
	first, second := c.Nodes[0].CallerAddress(), c.Nodes[1].CallerAddress()
	completed, running, repeatable := c.requestIDForVictim("kept"), c.requestIDForVictim("running"),
		c.requestIDForVictim("proof")
	c.checkRunsOnce(first, "print-order", completed, 10)
	response := make(chan error, 1)
	go func() {
		output, err := c.sendRequest(first, "print-order", running, 3000)
		if err == nil && output != running {
			err = fmt.Errorf("output %q, want %q", output, running)
		}
		response <- err
	}()
	for c.startCount(running) == 0 && c.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}

	c.Store.SetFaults(store.Faults{Unavailable: true})
	if err := process.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	c.checkRunsOnce(second, "proof", repeatable, 10)
	if _, err := c.sendWithDeadline(second, completed, 1500); !fault.Is(err, fault.Interrupted) {
		t.Errorf("request sent again while the journal cannot be read: got %v, want interrupted", err)
	}
	before := c.Store.CallCounts()
	c.Store.SetFaults(store.Faults{})
	if err := <-response; err != nil {
		t.Errorf("request in progress during the outage: %v", err)
	}
	c.checkRunsOnce(second, "print-order", running, 3000)
	c.checkRunsOnce(second, "print-order", completed, 10)
	after := c.Store.CallCounts()
	t.Logf("after the outage: %d lists, %d writes, %d gets", after[storehttp.PathList]-before[storehttp.PathList],
		after[storehttp.PathPut]-before[storehttp.PathPut], after[storehttp.PathGet]-before[storehttp.PathGet])
}

// TestTakeoverCalls verifies the cost of a takeover: one list call and one write to the store per partition.
func TestTakeoverCalls(t *testing.T) {
	t.Parallel()
	c := startCountingCell(t, 1)
	process := c.startVictim()
	moved := c.partitionCount(victimID)
	time.Sleep(500 * time.Millisecond) // until the victim has taken over the journals of its partitions
	if err := process.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	before := c.Store.CallCounts()
	for c.partitionCount(c.Nodes[0].ID) < ident.PartitionCount && c.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	c.checkRunsOnce(c.Nodes[0].CallerAddress(), "print-order", c.requestIDForVictim("after"), 10)
	time.Sleep(500 * time.Millisecond)
	after := c.Store.CallCounts()
	lists := after[storehttp.PathList] - before[storehttp.PathList]
	writes := after[storehttp.PathPut] - before[storehttp.PathPut]
	t.Logf("%d partitions moved: %d lists, %d writes, of which 2 for a request", moved, lists, writes)
	if lists != moved || writes != moved+2 {
		t.Errorf("%d partitions moved: got %d lists and %d writes, want %d and %d", moved, lists, writes, moved, moved+2)
	}
}

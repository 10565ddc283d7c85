package node

import (
	"context"
	"crypto/subtle"
	"sort"
	"time"

	"skylarkstall/internal/app/entry"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/job"
	"skylarkstall/internal/domain/team"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/port"
)

// callAllTimeout bounds callAll.
const callAllTimeout = 2 * time.Second

// HandleExecute implements port.PeerHandler.
func (n *Node) HandleExecute(ctx context.Context, call port.Execute) (work.Outcome, error) {
	n.inFlight.add(1)
	defer n.inFlight.add(-1)
	return n.home.HandleExecute(ctx, call)
}

// HandlePlace implements port.PeerHandler.
func (n *Node) HandlePlace(ctx context.Context, call port.Place) (work.Outcome, error) {
	n.inFlight.add(1)
	defer n.inFlight.add(-1)
	return n.owner.HandlePlace(ctx, call)
}

// HandleTakeHome implements port.PeerHandler.
func (n *Node) HandleTakeHome(ctx context.Context, call port.TakeHome) (port.TakeHomeReply, error) {
	return n.owner.HandleTakeHome(ctx, call)
}

// HandleReport implements port.PeerHandler.
func (n *Node) HandleReport(ctx context.Context, call port.AttemptReport) error {
	return n.home.HandleReport(ctx, call)
}

// HandleCancel implements port.PeerHandler.
func (n *Node) HandleCancel(ctx context.Context, tasks []ident.TaskID) ([]ident.TaskID, error) {
	return n.owner.HandleCancel(ctx, tasks)
}

// HandleSubmit implements port.PeerHandler.
func (n *Node) HandleSubmit(ctx context.Context, call port.Submit) (job.Status, error) {
	return n.home.HandleSubmit(ctx, call)
}

// HandleQueryJob implements port.PeerHandler.
func (n *Node) HandleQueryJob(ctx context.Context, call port.QueryJob) (job.Status, error) {
	return n.home.HandleQueryJob(ctx, call)
}

// HandleCancelWork implements port.PeerHandler.
func (n *Node) HandleCancelWork(ctx context.Context, id ident.WorkID) (job.Status, error) {
	return n.home.HandleCancelWork(ctx, id)
}

// HandleReserve implements port.PeerHandler.
func (n *Node) HandleReserve(ctx context.Context, call port.Reserve) ([]uint32, error) {
	return n.owner.HandleReserve(ctx, call)
}

// HandleRelease implements port.PeerHandler.
func (n *Node) HandleRelease(ctx context.Context, call port.Release) error {
	return n.owner.HandleRelease(ctx, call)
}

// HandleAckOutcomes implements port.PeerHandler.
func (n *Node) HandleAckOutcomes(ctx context.Context, tasks []ident.TaskID) error {
	return n.owner.HandleAckOutcomes(ctx, tasks)
}

// HandleDocuments implements port.PeerHandler.
func (n *Node) HandleDocuments(ctx context.Context, after ident.Revision) (port.DocumentPage, error) {
	return n.config.HandleDocuments(ctx, after)
}

// HandleEvents implements port.PeerHandler.
func (n *Node) HandleEvents(_ context.Context, filter timeline.Filter) ([]timeline.Event, error) {
	return n.recorder.Select(filter), nil
}

// HandleStatus implements port.PeerHandler.
func (n *Node) HandleStatus(context.Context) (port.Status, error) {
	now := time.Now()
	return port.Status{
		Heartbeat: n.peering.Heartbeat(now), Ready: n.Ready() == nil, Started: n.started,
		Partitions: n.home.Partitions(), Workers: n.owner.Status(now),
	}, nil
}

// RunRequest implements callerhttp.API.
func (n *Node) RunRequest(ctx context.Context, request entry.Request) (work.Outcome, error) {
	return n.entry.Run(ctx, request)
}

// SubmitJob implements callerhttp.API.
func (n *Node) SubmitJob(ctx context.Context, request entry.JobRequest) (job.Status, error) {
	return n.entry.Submit(ctx, request)
}

// Job implements callerhttp.API.
func (n *Node) Job(ctx context.Context, query entry.JobQuery) (job.Status, error) {
	return n.entry.Job(ctx, query)
}

// WatchJob implements callerhttp.API.
func (n *Node) WatchJob(ctx context.Context, query entry.JobQuery, send func(job.Status) error) error {
	return n.entry.Watch(ctx, query, send)
}

// CancelWork implements callerhttp.API.
func (n *Node) CancelWork(ctx context.Context, query entry.JobQuery) (job.Status, error) {
	return n.entry.CancelWork(ctx, query)
}

// Document returns the active document of a team, or of the cell quotas, if the token authorizes it. It fails with
// Unauthorized.
func (n *Node) Document(name, token string) (team.DocumentRevision, error) {
	if err := n.authorize(name, token); err != nil {
		return team.DocumentRevision{}, err
	}
	return n.catalog.Active(name)
}

// ApplyDocument writes the document of a team, or of the cell quotas, if the token authorizes it. With the cell token,
// operators may write the cell quotas and the first document of a team.
func (n *Node) ApplyDocument(
	ctx context.Context, name, token string, source []byte, expected ident.Revision,
) (ident.Revision, error) {
	if err := n.authorize(name, token); err != nil {
		return 0, err
	}
	return n.config.Apply(ctx, name, source, expected)
}

// authorize checks a token for a document. The cell token is valid for the cell quotas and for teams without a document.
func (n *Node) authorize(name, token string) error {
	secret := n.settings.CellToken
	operator := secret != "" && subtle.ConstantTimeCompare([]byte(secret), []byte(token)) == 1
	if operator && (name == team.CellQuotasName || !n.catalog.Has(name)) {
		return nil
	}
	_, err := n.catalog.Authorize(ident.TeamID(name), token)
	return err
}

// CellStatus returns the status of each process that responded, and the ids of those that did not.
func (n *Node) CellStatus(ctx context.Context) ([]port.Status, []ident.ProcessID) {
	ctx, cancel := context.WithTimeout(ctx, callAllTimeout)
	defer cancel()
	return callAll(n.listedProcesses(), func(id ident.ProcessID) (port.Status, error) { return n.peerCalls.Status(ctx, id) })
}

// Events returns the events of all processes that responded, ordered by time, and the ids of those that did not.
func (n *Node) Events(ctx context.Context, filter timeline.Filter) ([]timeline.Event, []ident.ProcessID) {
	ctx, cancel := context.WithTimeout(ctx, callAllTimeout)
	defer cancel()
	perProcess, unresponsive := callAll(n.listedProcesses(), func(id ident.ProcessID) ([]timeline.Event, error) {
		return n.peerCalls.Events(ctx, id, filter)
	})
	var events []timeline.Event
	for _, own := range perProcess {
		events = append(events, own...)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].At.Before(events[j].At) })
	return events, unresponsive
}

// listedProcesses returns the ids of this process and of all entry processes in the VM list, sorted.
func (n *Node) listedProcesses() []ident.ProcessID {
	ids := []ident.ProcessID{n.settings.ID}
	for _, vm := range n.directory.VMs(port.RoleEntry) {
		if id := ident.ProcessID(vm.ID); id != n.settings.ID {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// callAll calls all processes concurrently. It returns the results in the order of the ids, and the ids of the processes
// whose calls failed.
func callAll[T any](
	ids []ident.ProcessID, call func(ident.ProcessID) (T, error),
) (results []T, unresponsive []ident.ProcessID) {
	type result struct {
		value T
		err   error
	}
	channels := make([]chan result, len(ids))
	for i, id := range ids {
		channels[i] = make(chan result, 1)
		go func() {
			value, err := call(id)
			channels[i] <- result{value, err}
		}()
	}
	for i, id := range ids {
		if r := <-channels[i]; r.err == nil {
			results = append(results, r.value)
		} else {
			unresponsive = append(unresponsive, id)
		}
	}
	return results, unresponsive
}

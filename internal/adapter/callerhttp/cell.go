package callerhttp

import (
	"github.com/kataras/iris/v12"

	"skylarkstall/internal/adapter/httpjson"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/port"
)

// CellStatus is the response body of GET /v1/cell.
type CellStatus struct {
	Processes    []ProcessStatus `json:"processes"`
	Unresponsive []string        `json:"silent,omitempty"` // processes that did not respond
}

// ProcessStatus is the status of one process of the cell.
type ProcessStatus struct {
	ID         string         `json:"id"`
	Zone       string         `json:"zone"`
	Ready      bool           `json:"ready"`
	Draining   bool           `json:"draining"`
	Revision   uint64         `json:"revision"`   // of the documents
	Partitions []int          `json:"partitions"` // that the process is the home of
	Workers    []WorkerStatus `json:"workers"`    // owned by the process
	Queued     map[string]int `json:"queued"`     // queued tasks by class
}

// WorkerStatus is the status of a worker owned by the process.
type WorkerStatus struct {
	ID       string          `json:"id"`
	Zone     string          `json:"zone"`
	Rack     string          `json:"rack"`
	Epoch    uint64          `json:"epoch"`
	Running  int             `json:"running"`
	Usable   bool            `json:"usable"`
	Capacity resource.Vector `json:"capacity"`
	Free     resource.Vector `json:"free"`
}

func (s *Server) cell(ctx iris.Context) {
	statuses, unresponsive := s.api.CellStatus(ctx.Request().Context())
	reply := CellStatus{Processes: []ProcessStatus{}}
	for _, status := range statuses {
		reply.Processes = append(reply.Processes, newProcessStatus(status))
	}
	for _, p := range unresponsive {
		reply.Unresponsive = append(reply.Unresponsive, string(p))
	}
	httpjson.WriteJSON(ctx.ResponseWriter(), reply)
}

func newProcessStatus(status port.Status) ProcessStatus {
	peer := status.Heartbeat.Peer
	out := ProcessStatus{
		ID: string(peer.ID), Zone: string(peer.Zone), Ready: status.Ready, Draining: peer.Draining,
		Revision: uint64(peer.Revision), Partitions: []int{}, Workers: []WorkerStatus{}, Queued: map[string]int{},
	}
	for _, p := range status.Partitions {
		out.Partitions = append(out.Partitions, int(p))
	}
	for class, n := range status.Heartbeat.Digest.Queued {
		out.Queued[work.Class(class).String()] = n
	}
	for _, w := range status.Workers {
		out.Workers = append(out.Workers, WorkerStatus{
			ID: string(w.View.Worker), Zone: string(w.View.Zone), Rack: string(w.View.Rack), Epoch: uint64(w.Epoch),
			Running: w.Running, Usable: w.Usable, Capacity: w.View.Capacity, Free: w.View.Free,
		})
	}
	return out
}

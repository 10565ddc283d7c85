package callerhttp

import (
	"github.com/kataras/iris/v12"

	"skylarkstall/internal/adapter/httpjson"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/port"
)

// Cell is the response body of GET /v1/cell.
type Cell struct {
	Processes []Process `json:"processes"`
	Silent    []string  `json:"silent,omitempty"` // processes that did not respond
}

// Process is the status of one process of the cell.
type Process struct {
	ID         string         `json:"id"`
	Zone       string         `json:"zone"`
	Ready      bool           `json:"ready"`
	Draining   bool           `json:"draining"`
	Revision   uint64         `json:"revision"`   // of the documents
	Partitions []int          `json:"partitions"` // that the process is the home of
	Workers    []Worker       `json:"workers"`    // owned by the process
	Queued     map[string]int `json:"queued"`     // waiting tasks by class
}

// Worker is the status of a worker owned by the process.
type Worker struct {
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
	statuses, unresponsive := s.api.Cell(ctx.Request().Context())
	reply := Cell{Processes: []Process{}}
	for _, status := range statuses {
		reply.Processes = append(reply.Processes, newProcessStatus(status))
	}
	for _, p := range unresponsive {
		reply.Silent = append(reply.Silent, string(p))
	}
	httpjson.WriteJSON(ctx.ResponseWriter(), reply)
}

func newProcessStatus(status port.Status) Process {
	peer := status.Heartbeat.Peer
	out := Process{
		ID: string(peer.ID), Zone: string(peer.Zone), Ready: status.Ready, Draining: peer.Draining,
		Revision: uint64(peer.Revision), Partitions: []int{}, Workers: []Worker{}, Queued: map[string]int{},
	}
	for _, p := range status.Partitions {
		out.Partitions = append(out.Partitions, int(p))
	}
	for class, n := range status.Heartbeat.Digest.Queued {
		out.Queued[work.Class(class).String()] = n
	}
	for _, w := range status.Workers {
		out.Workers = append(out.Workers, Worker{
			ID: string(w.Row.Worker), Zone: string(w.Row.Zone), Rack: string(w.Row.Rack), Epoch: uint64(w.Epoch),
			Running: w.Running, Usable: w.Usable, Capacity: w.Row.Capacity, Free: w.Row.Free,
		})
	}
	return out
}

// Package replay is a discrete-event simulator for placement and queueing decisions: it feeds a list of arrivals to the
// fleets and the routing of a cell on a virtual clock. Processes, networks and failures are not simulated.
package replay

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// Arrival is a single task or a gang of equal tasks, with the time at which it is submitted.
type Arrival struct {
	At          time.Duration   `json:"at_ns"`
	Team        string          `json:"team"`
	Request     string          `json:"request"`
	Kind        string          `json:"kind"`
	Class       work.Class      `json:"class"`
	Size        resource.Vector `json:"size"` // declared resources of a task
	ActualUsage resource.Vector `json:"used"` // resources that a task really uses
	RunTime     time.Duration   `json:"run_ns"`
	Expected    time.Duration   `json:"expected_ns"` // declared run time; 0 if unknown
	Deadline    time.Duration   `json:"deadline_ns"` // relative to At; 0 for none
	Repeatable  bool            `json:"repeatable"`
	Weight      int             `json:"weight"`
	Quota       resource.Vector `json:"quota"`     // quota of the team in the whole cell; zero for none
	GangSize    int             `json:"tasks"`     // number of tasks of a gang; 0 or 1 for a single task
	CancelAt    time.Duration   `json:"cancel_ns"` // when the caller cancels it; 0 for never
}

func (a Arrival) spec(index int, epoch time.Time) work.Spec {
	s := work.Spec{
		ID: ident.TaskID{
			Work:  ident.WorkID{Team: ident.TeamID(a.Team), Request: ident.RequestID(a.Request)},
			Index: uint32(index),
		},
		Attempt: 1, Kind: a.Kind, Class: a.Class, Repeatable: a.Repeatable, Size: a.Size, Expected: a.Expected,
		Weight: a.Weight,
	}
	if a.Deadline > 0 {
		s.Deadline = epoch.Add(a.At + a.Deadline)
	}
	return s
}

// WriteArrivals writes arrivals as JSON, one per line.
func WriteArrivals(w io.Writer, arrivals []Arrival) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for i := range arrivals {
		if err := encoder.Encode(&arrivals[i]); err != nil {
			return fault.WrapAs(fault.Internal, err, "write arrivals")
		}
	}
	return fault.WrapAs(fault.Internal, buffered.Flush(), "write arrivals")
}

// ReadArrivals reads arrivals written by WriteArrivals. It fails with Invalid and states the number of the invalid arrival.
func ReadArrivals(r io.Reader) ([]Arrival, error) {
	decoder := json.NewDecoder(bufio.NewReader(r))
	var arrivals []Arrival
	for {
		var a Arrival
		err := decoder.Decode(&a)
		if errors.Is(err, io.EOF) {
			return arrivals, nil
		}
		if err != nil {
			return nil, fault.Wrap(fault.WrapAs(fault.Invalid, err, "decode JSON"), "arrival %d", len(arrivals)+1)
		}
		if a.Class >= work.ClassCount || a.RunTime <= 0 {
			return nil, fault.New(fault.Invalid, "arrival %d: class or run time is out of range", len(arrivals)+1)
		}
		arrivals = append(arrivals, a)
	}
}

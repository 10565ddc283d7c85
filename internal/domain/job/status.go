package job

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/work"
)

// State is the state of a task.
type State uint8

// States of tasks. The numbers are part of the peer protocol: only append new states.
const (
	Waiting   State = iota
	Running         // placed at an owner, where it may still be queued
	Ending          // ended, but the result is not recorded in the journal yet
	Succeeded       // this state and the following ones are final: the result is recorded
	Failed
	Canceled
	Unknown // was started, and its outcome was lost
	stateCount
)

var stateNames = [stateCount]string{"waiting", "running", "ending", "succeeded", "failed", "canceled", "unknown"}

// String returns the name of the state, which is part of external interfaces.
func (s State) String() string {
	if s >= stateCount {
		return "invalid"
	}
	return stateNames[s]
}

// Ended reports whether the state is final: the task is not attempted again and its result is recorded.
func (s State) Ended() bool { return s >= Succeeded && s < stateCount }

func finalState(result journal.Result) State {
	switch {
	case result.Unknown:
		return Unknown
	case result.OK:
		return Succeeded
	default:
		return Failed
	}
}

// Status is the status of a job as reported to callers.
type Status struct {
	Work            ident.WorkID
	Kind            string
	Class           work.Class
	Tasks           uint32
	Waiting         uint32
	Running         uint32 // placed, or ended with the result not recorded yet
	Succeeded       uint32
	Failed          uint32
	Canceled        uint32
	Unknown         uint32
	Attempts        uint64 // attempts of all tasks made by this home
	Complete        bool   // every task has ended
	CancelRequested bool   // the job was canceled; tasks may still be running
	Version         uint64 // incremented with every change; starts again from 1 at a new home
	Results         []TaskResult
	NextIndex       uint32 // index of the first task after Results that may have a result; 0 if there is none
}

// State returns the state of the job as a whole. It is never Ending.
func (s Status) State() State {
	switch {
	case s.Complete && s.Unknown > 0:
		return Unknown
	case s.Complete && s.Failed > 0:
		return Failed
	case s.Complete && s.Canceled > 0:
		return Canceled
	case s.Complete:
		return Succeeded
	case s.Running+s.Succeeded+s.Failed+s.Unknown > 0:
		return Running
	default:
		return Waiting
	}
}

// TaskResult is the recorded result of a task.
type TaskResult struct {
	Index   uint32
	State   State
	Output  []byte
	Message string
	RunTime time.Duration
}

// maxPageBytes limits the outputs and messages in one status, so that the status fits into a peer message.
const maxPageBytes = 512 << 10

// maxPageTasks limits the number of results in one status.
const maxPageTasks = 1000

// Status returns the counts of the job and the results of the tasks from index from on, as many as fit into one
// message. With from 0 it returns no results.
func (j *Job) Status(from uint32) Status {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := Status{
		Work: j.id, Kind: j.jobSpec.Kind, Class: j.jobSpec.Class, Tasks: j.jobSpec.Tasks,
		Waiting: uint32(j.counts[Waiting]), Running: uint32(j.counts[Running] + j.counts[Ending]),
		Succeeded: uint32(j.counts[Succeeded]), Failed: uint32(j.counts[Failed]),
		Canceled: uint32(j.counts[Canceled]), Unknown: uint32(j.counts[Unknown]),
		Attempts: uint64(j.attempts), Complete: j.isComplete(), CancelRequested: j.canceled, Version: j.version,
	}
	if from > 0 {
		s.Results, s.NextIndex = j.results(from)
	}
	return s
}

func (j *Job) isComplete() bool {
	return j.counts[Waiting]+j.counts[Running]+j.counts[Ending] == 0
}

func (j *Job) results(from uint32) (page []TaskResult, next uint32) {
	bytes := 0
	for i := int(from) - 1; i < len(j.tasks); i++ {
		t := &j.tasks[i]
		if !t.state.Ended() {
			continue
		}
		bytes += len(t.result.Output) + len(t.result.Message)
		if len(page) > 0 && bytes > maxPageBytes || len(page) == maxPageTasks {
			return page, uint32(i + 1)
		}
		page = append(page, TaskResult{
			Index: uint32(i + 1), State: t.state, Output: t.result.Output, Message: t.result.Message,
			RunTime: t.result.RunTime,
		})
	}
	return page, 0
}

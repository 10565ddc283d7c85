package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/standin/worker"
)

// MaxInFlight is the maximum number of requests in flight. Arrivals beyond it are not sent and are counted as such.
const MaxInFlight = 5000

// Settings configure a load run.
type Settings struct {
	Addresses  []string          // host:port of the processes; requests are sent round-robin
	Tokens     map[string]string // keyed by team
	Profile    Profile
	Seed       uint64
	LoadFactor float64 // factor for the rates of the profile
	Label      string  // label of the result, such as the version under test
	Progress   io.Writer
}

type run struct {
	settings        Settings
	requestIDPrefix string
	clients         map[string][]*callerhttp.Client
	startedAt       time.Time
	inFlight        chan struct{}
	recorder        *recorder
}

// Run sends the requests of the profile and returns the measurements. It returns after the last response, or when the
// context ends.
func Run(ctx context.Context, settings Settings) (*Result, error) {
	if len(settings.Addresses) == 0 {
		return nil, fault.New(fault.Invalid, "no process address given")
	}
	r := &run{
		settings: settings, requestIDPrefix: fmt.Sprintf("load-%d-%d", settings.Seed, time.Now().UnixNano()),
		clients: map[string][]*callerhttp.Client{}, inFlight: make(chan struct{}, MaxInFlight),
		recorder: newRecorder(),
	}
	for team, token := range settings.Tokens {
		for _, address := range settings.Addresses {
			r.clients[team] = append(r.clients[team], callerhttp.NewClient(address, token))
		}
	}
	arrivals := settings.Profile.Arrivals(settings.Seed, settings.LoadFactor)
	r.startedAt = time.Now()
	sampling, stop := context.WithCancel(ctx)
	var sampler, requests sync.WaitGroup
	sampler.Go(func() { r.sampleCell(sampling, len(arrivals)) })
	r.send(ctx, arrivals, &requests)
	requests.Wait()
	stop()
	sampler.Wait()
	return r.recorder.result(settings), nil
}

// send starts each request at its intended time, whether or not earlier requests have completed.
func (r *run) send(ctx context.Context, arrivals []Arrival, requests *sync.WaitGroup) {
	for i, a := range arrivals {
		if !pause.For(ctx, time.Until(r.startedAt.Add(a.At))) {
			return
		}
		select {
		case r.inFlight <- struct{}{}:
			requests.Go(func() {
				defer func() { <-r.inFlight }()
				r.request(ctx, i, a)
			})
		default:
			r.recorder.recordNotSent(a)
		}
	}
}

func (r *run) request(ctx context.Context, i int, a Arrival) {
	id := fmt.Sprintf("%s-%d", r.requestIDPrefix, i)
	payload, err := json.Marshal(worker.Payload{RunMS: a.RunTime.Milliseconds(), Echo: id})
	if err != nil {
		r.recorder.recordFailure(a, err)
		return
	}
	clients := r.clients[a.Team]
	if len(clients) == 0 {
		r.recorder.recordFailure(a, fault.New(fault.Unauthorized, "no token for team %s", a.Team))
		return
	}
	reply, err := clients[i%len(clients)].Run(ctx, callerhttp.RunRequest{
		Team: a.Team, RequestID: id, Kind: a.Kind, Payload: payload,
	})
	latency := time.Since(r.startedAt.Add(a.At))
	switch {
	case err != nil:
		r.recorder.recordFailure(a, err)
	case string(reply.Output) != id:
		r.recorder.recordWrongReply(a)
	default:
		r.recorder.recordDone(a, latency, latency-time.Duration(reply.RunMS)*time.Millisecond)
	}
}

// sampleCell prints the progress and records the state of the cell once per second.
func (r *run) sampleCell(ctx context.Context, total int) {
	client := callerhttp.NewClient(r.settings.Addresses[0], "")
	for pause.For(ctx, time.Second) {
		cell, err := client.CellStatus(ctx)
		if err == nil {
			r.recorder.addSample(time.Since(r.startedAt), cell)
		}
		fmt.Fprintf(r.settings.Progress, "%4.0f s  %s\n", time.Since(r.startedAt).Seconds(), r.recorder.progressText(total))
	}
}

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

// MaxInFlight bounds the requests that wait for an answer. Arrivals beyond it are counted as not sent.
const MaxInFlight = 5000

// Settings tell where and how to send.
type Settings struct {
	Addresses  []string          // host:port of the processes; requests go to each in turn
	Tokens     map[string]string // by team
	Profile    Profile
	Seed       uint64
	LoadFactor float64 // times the profile's rates
	Label      string  // of the result, such as the version measured
	Progress   io.Writer
}

type run struct {
	settings Settings
	prefix   string // of request ids
	clients  map[string][]*callerhttp.Client
	began    time.Time
	tokens   chan struct{}
	recorder *recorder
}

// Run sends the profile's work and returns what was measured. It ends with the last answer or with the context.
func Run(ctx context.Context, settings Settings) (*Result, error) {
	if len(settings.Addresses) == 0 {
		return nil, fault.New(fault.Invalid, "no process to send to")
	}
	r := &run{
		settings: settings, prefix: fmt.Sprintf("load-%d-%d", settings.Seed, time.Now().UnixNano()),
		clients: map[string][]*callerhttp.Client{}, tokens: make(chan struct{}, MaxInFlight),
		recorder: newRecorder(),
	}
	for team, token := range settings.Tokens {
		for _, address := range settings.Addresses {
			r.clients[team] = append(r.clients[team], callerhttp.NewClient(address, token))
		}
	}
	arrivals := settings.Profile.Arrivals(settings.Seed, settings.LoadFactor)
	r.began = time.Now()
	watching, stop := context.WithCancel(ctx)
	var watchers, requests sync.WaitGroup
	watchers.Go(func() { r.watch(watching, len(arrivals)) })
	r.send(ctx, arrivals, &requests)
	requests.Wait()
	stop()
	watchers.Wait()
	return r.recorder.result(settings), nil
}

// send starts each request at its time, whether or not earlier ones have been answered.
func (r *run) send(ctx context.Context, arrivals []Arrival, requests *sync.WaitGroup) {
	for i, a := range arrivals {
		if !pause.For(ctx, time.Until(r.began.Add(a.At))) {
			return
		}
		select {
		case r.tokens <- struct{}{}:
			requests.Go(func() {
				defer func() { <-r.tokens }()
				r.request(ctx, i, a)
			})
		default:
			r.recorder.notSent(a)
		}
	}
}

func (r *run) request(ctx context.Context, i int, a Arrival) {
	id := fmt.Sprintf("%s-%d", r.prefix, i)
	payload, err := json.Marshal(worker.Payload{RunMS: a.RunTime.Milliseconds(), Echo: id})
	if err != nil {
		r.recorder.failed(a, err)
		return
	}
	clients := r.clients[a.Team]
	if len(clients) == 0 {
		r.recorder.failed(a, fault.New(fault.Unauthorized, "no token for team %s", a.Team))
		return
	}
	reply, err := clients[i%len(clients)].Run(ctx, callerhttp.RunRequest{
		Team: a.Team, RequestID: id, Kind: a.Kind, Payload: payload,
	})
	latency := time.Since(r.began.Add(a.At))
	switch {
	case err != nil:
		r.recorder.failed(a, err)
	case string(reply.Output) != id:
		r.recorder.wrong(a)
	default:
		r.recorder.done(a, latency, latency-time.Duration(reply.RunMS)*time.Millisecond)
	}
}

// watch prints progress and records the cell's state each second.
func (r *run) watch(ctx context.Context, total int) {
	client := callerhttp.NewClient(r.settings.Addresses[0], "")
	for pause.For(ctx, time.Second) {
		cell, err := client.CellStatus(ctx)
		if err == nil {
			r.recorder.observe(time.Since(r.began), cell)
		}
		fmt.Fprintf(r.settings.Progress, "%4.0f s  %s\n", time.Since(r.began).Seconds(), r.recorder.progress(total))
	}
}

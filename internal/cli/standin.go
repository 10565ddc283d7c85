package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/adapter/vmlisthttp"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/standin/store"
	"skylarkstall/internal/standin/vmlist"
	"skylarkstall/internal/standin/worker"
)

// standin holds the commands that run a stand-in of the platform or of a worker as a process of its own.
func (a *app) standin() *ffcli.Command {
	return &ffcli.Command{
		Name: "standin", ShortUsage: "skylarkstall standin store|vm-list|worker [flags]",
		ShortHelp: "Run a stand-in for the key-value service, the VM list or a worker, for trials.",
		FlagSet:   a.flags("skylarkstall standin"), Options: options(),
		Subcommands: []*ffcli.Command{a.standinStore(), a.standinVMList(), a.standinWorker()},
		Exec: func(context.Context, []string) error {
			return fault.New(fault.Invalid, "name a stand-in: store, vm-list or worker")
		},
	}
}

// announce prints the addresses that stand-ins listen on and waits for the end.
func (a *app) announce(ctx context.Context, addresses ...string) {
	fmt.Fprintf(a.out, "listening on %s\n", strings.Join(addresses, " "))
	<-ctx.Done()
}

func (a *app) standinStore() *ffcli.Command {
	fs := a.flags("skylarkstall standin store")
	address := fs.String("address", "127.0.0.1:7080", "host:port to listen on")
	return &ffcli.Command{
		Name: "store", ShortUsage: "skylarkstall standin store [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "A key-value service that keeps everything in memory.",
		Exec: func(ctx context.Context, _ []string) error {
			s, err := store.Start(*address)
			if err != nil {
				return err
			}
			defer s.Close()
			a.announce(ctx, s.Address())
			return nil
		},
	}
}

// listInterval is how often the VM list's file is read again.
const listInterval = 200 * time.Millisecond

func (a *app) standinVMList() *ffcli.Command {
	fs := a.flags("skylarkstall standin vm-list")
	address := fs.String("address", "127.0.0.1:7081", "host:port to listen on")
	path := fs.String("file", "", `JSON file such as {"vms":[{"id":"w1","role":"worker","address":"127.0.0.1:7090","zone":"kochi-a"}]}`)
	lag := fs.Duration("lag", 0, "how long after a change the list shows it")
	return &ffcli.Command{
		Name: "vm-list", ShortUsage: "skylarkstall standin vm-list --file vms.json [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "A VM list that shows a file, which may change.",
		Exec: func(ctx context.Context, _ []string) error {
			if _, err := readVMs(*path); err != nil {
				return err
			}
			l, err := vmlist.Start(*address)
			if err != nil {
				return err
			}
			defer l.Close()
			l.SetLag(*lag)
			var running sync.WaitGroup
			defer running.Wait()
			running.Go(func() { followVMs(ctx, l, *path) })
			a.announce(ctx, l.Address())
			return nil
		},
	}
}

func readVMs(path string) ([]vmlisthttp.VM, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.WrapAs(fault.Invalid, err, "--file")
	}
	var list vmlisthttp.Reply
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fault.WrapAs(fault.Invalid, err, "--file "+path)
	}
	return list.VMs, nil
}

// followVMs shows the file's list until the context ends. A file that cannot be read leaves the last list.
func followVMs(ctx context.Context, l *vmlist.List, path string) {
	var shown string
	for ctx.Err() == nil {
		if vms, err := readVMs(path); err == nil && fmt.Sprint(vms) != shown {
			shown = fmt.Sprint(vms)
			l.Set(vms)
		}
		pause.For(ctx, listInterval)
	}
}

func (a *app) standinWorker() *ffcli.Command {
	fs := a.flags("skylarkstall standin worker")
	address := fs.String("address", "127.0.0.1:7090", "host:port to listen on")
	zone := fs.String("zone", "kochi-a", "availability zone")
	rack := fs.String("rack", "rack-1", "rack")
	cores := fs.Int64("cores", 32, "processor cores")
	memory := fs.Int64("memory-gib", 128, "memory in GiB")
	accelerators := fs.Int64("accelerators", 0, "accelerators")
	slots := fs.Int64("slots", 8, "tasks at once")
	failAll := fs.Bool("fail-all", false, "fail every task")
	count := fs.Int("count", 1, "workers in this process; with more than one, let --address have the port 0")
	return &ffcli.Command{
		Name: "worker", ShortUsage: "skylarkstall standin worker [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "A worker whose tasks only wait; prints a line at each start and end.",
		Exec: func(ctx context.Context, _ []string) error {
			settings := worker.Settings{
				Capacity: resource.Vector{
					MilliCores: *cores * 1000, MemoryBytes: *memory << 30, Accelerators: *accelerators, Slots: *slots,
				},
				Zone: ident.Zone(*zone), Rack: ident.Rack(*rack), FailAll: *failAll,
			}
			var addresses []string
			for range *count {
				w, err := worker.Start(*address, settings, a.printObservation())
				if err != nil {
					return err
				}
				defer w.Close()
				addresses = append(addresses, w.Address())
			}
			a.announce(ctx, addresses...)
			return nil
		},
	}
}

// printObservation returns an observer that prints one line for each start and end: the event, Unix nanoseconds, the
// task, the attempt and the millicores.
func (a *app) printObservation() func(worker.Observation) {
	var mu sync.Mutex
	return func(o worker.Observation) {
		mu.Lock()
		defer mu.Unlock()
		event := "end"
		if o.Started {
			event = "start"
		}
		fmt.Fprintf(a.out, "%s %d %s %d %d\n", event, time.Now().UnixNano(), o.Task, o.Attempt, o.Size.MilliCores)
	}
}

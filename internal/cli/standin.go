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

// standin returns the commands that run a fake platform service or fake workers as a separate process.
func (a *app) standin() *ffcli.Command {
	return &ffcli.Command{
		Name: "standin", ShortUsage: "skylarkstall standin store|vm-list|worker [flags]",
		ShortHelp: "Run a fake key-value service, VM list or worker for tests.",
		FlagSet:   a.flags("skylarkstall standin"), Options: options(),
		Subcommands: []*ffcli.Command{a.standinStore(), a.standinVMList(), a.standinWorker()},
		Exec: func(context.Context, []string) error {
			return fault.New(fault.Invalid, "command is missing: want store, vm-list or worker")
		},
	}
}

// printAddressesAndWait prints the addresses that the command listens on and blocks until the context ends.
func (a *app) printAddressesAndWait(ctx context.Context, addresses ...string) {
	fmt.Fprintf(a.out, "listening on %s\n", strings.Join(addresses, " "))
	<-ctx.Done()
}

func (a *app) standinStore() *ffcli.Command {
	fs := a.flags("skylarkstall standin store")
	address := fs.String("address", "127.0.0.1:7080", "host:port to listen on")
	return &ffcli.Command{
		Name: "store", ShortUsage: "skylarkstall standin store [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "Run a fake key-value service that keeps its data in memory.",
		Exec: func(ctx context.Context, _ []string) error {
			s, err := store.Start(*address)
			if err != nil {
				return err
			}
			defer s.Close()
			a.printAddressesAndWait(ctx, s.Address())
			return nil
		},
	}
}

// vmFilePollInterval is how often the file with the VM list is read.
const vmFilePollInterval = 200 * time.Millisecond

func (a *app) standinVMList() *ffcli.Command {
	fs := a.flags("skylarkstall standin vm-list")
	address := fs.String("address", "127.0.0.1:7081", "host:port to listen on")
	path := fs.String("file", "", `JSON file such as {"vms":[{"id":"w1","role":"worker","address":"127.0.0.1:7090","zone":"kochi-a"}]}`)
	lag := fs.Duration("lag", 0, "delay until a change of the file appears in the list")
	return &ffcli.Command{
		Name: "vm-list", ShortUsage: "skylarkstall standin vm-list --file vms.json [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "Run a fake VM list that serves the content of a file and follows its changes.",
		Exec: func(ctx context.Context, _ []string) error {
			if _, err := readVMFile(*path); err != nil {
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
			running.Go(func() { watchVMFile(ctx, l, *path) })
			a.printAddressesAndWait(ctx, l.Address())
			return nil
		},
	}
}

func readVMFile(path string) ([]vmlisthttp.VM, error) {
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

// watchVMFile serves the list in the file until the context ends. While the file cannot be read, the last list stays.
func watchVMFile(ctx context.Context, l *vmlist.List, path string) {
	var current string
	for ctx.Err() == nil {
		if vms, err := readVMFile(path); err == nil && fmt.Sprint(vms) != current {
			current = fmt.Sprint(vms)
			l.Set(vms)
		}
		pause.For(ctx, vmFilePollInterval)
	}
}

func (a *app) standinWorker() *ffcli.Command {
	fs := a.flags("skylarkstall standin worker")
	address := fs.String("address", "127.0.0.1:7090", "host:port to listen on")
	zone := fs.String("zone", "kochi-a", "availability zone")
	rack := fs.String("rack", "rack-1", "rack")
	cores := fs.Int64("cores", 32, "CPU cores")
	memory := fs.Int64("memory-gib", 128, "memory in GiB")
	accelerators := fs.Int64("accelerators", 0, "accelerators")
	slots := fs.Int64("slots", 8, "maximum number of concurrent tasks")
	failAll := fs.Bool("fail-all", false, "fail every task")
	count := fs.Int("count", 1, "number of workers in this process; more than one needs port 0 in --address")
	return &ffcli.Command{
		Name: "worker", ShortUsage: "skylarkstall standin worker [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "Run fake workers whose tasks only sleep; prints a line at each start and end of a task.",
		Exec: func(ctx context.Context, _ []string) error {
			settings := worker.Settings{
				Capacity: resource.Vector{
					MilliCores: *cores * 1000, MemoryBytes: *memory << 30, Accelerators: *accelerators, Slots: *slots,
				},
				Zone: ident.Zone(*zone), Rack: ident.Rack(*rack), FailAll: *failAll,
			}
			var addresses []string
			for range *count {
				w, err := worker.Start(*address, settings, a.observationPrinter())
				if err != nil {
					return err
				}
				defer w.Close()
				addresses = append(addresses, w.Address())
			}
			a.printAddressesAndWait(ctx, addresses...)
			return nil
		},
	}
}

// observationPrinter returns an observer that prints one line for each start and end of a task: the event, the time in
// Unix nanoseconds, the task, the attempt and the millicores.
func (a *app) observationPrinter() func(worker.Observation) {
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

// Package directory follows the platform's VM list and keeps the last list while the service is down.
package directory

import (
	"context"
	"log/slog"
	"reflect"
	"sync"
	"time"

	"skylarkstall/internal/notify"
	"skylarkstall/internal/port"
)

// refreshInterval leaves 3 of the 5 s within which a leaving endpoint gets no new work for the list's own lag.
const refreshInterval = 2 * time.Second

// Directory is the last known VM list.
type Directory struct {
	list    port.VMList
	log     *slog.Logger
	changed notify.Broadcast

	mu     sync.Mutex
	vms    []port.VM
	known  bool // the service has answered
	failed bool // the last call failed
}

// New returns a directory that is empty until Run has read the list.
func New(list port.VMList, log *slog.Logger) *Directory {
	return &Directory{list: list, log: log}
}

// Run reads the list until the context ends.
func (d *Directory) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		vms, err := d.list.List(ctx)
		d.note(vms, err)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (d *Directory) note(vms []port.VM, err error) {
	if d.apply(vms, err) {
		d.changed.Signal()
	}
}

func (d *Directory) apply(vms []port.VM, err error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		if !d.failed {
			d.log.Warn("VM list not read; the last list stays in use", "error", err)
		}
		d.failed = true
		return false
	}
	d.failed = false
	changed := !d.known || !reflect.DeepEqual(vms, d.vms)
	d.vms, d.known = vms, true
	return changed
}

// Changed returns a channel that is closed when the list next changes.
func (d *Directory) Changed() <-chan struct{} { return d.changed.Changed() }

// Loaded reports whether the list has been read.
func (d *Directory) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known
}

// VMs returns the VMs of a role.
func (d *Directory) VMs(role port.VMRole) []port.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	var vms []port.VM
	for _, vm := range d.vms {
		if vm.Role == role {
			vms = append(vms, vm)
		}
	}
	return vms
}

// Find returns the VM with the id.
func (d *Directory) Find(id string) (port.VM, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, vm := range d.vms {
		if vm.ID == id {
			return vm, true
		}
	}
	return port.VM{}, false
}

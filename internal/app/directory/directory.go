// Package directory polls the platform's VM list and caches the last list for the time that the service is unavailable.
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

// refreshInterval is 2 s because a draining worker must get no new work after 5 s, and 3 s of these are reserved for
// the lag of the list itself.
const refreshInterval = 2 * time.Second

// Directory is a cache of the VM list. It is safe for concurrent use.
type Directory struct {
	list    port.VMList
	log     *slog.Logger
	changed notify.Broadcast

	mu     sync.Mutex
	vms    []port.VM
	loaded bool // the list has been read at least once
	failed bool // the last call failed
}

// New returns a directory that is empty until Run reads the list.
func New(list port.VMList, log *slog.Logger) *Directory {
	return &Directory{list: list, log: log}
}

// Run reads the list periodically until the context ends.
func (d *Directory) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		vms, err := d.list.List(ctx)
		d.update(vms, err)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// update stores the result of a call and signals a change of the list.
func (d *Directory) update(vms []port.VM, err error) {
	if d.apply(vms, err) {
		d.changed.Signal()
	}
}

// apply stores the result of a call and reports whether the list changed. Only the first of several consecutive
// failures is logged.
func (d *Directory) apply(vms []port.VM, err error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		if !d.failed {
			d.log.Warn("failed to read the VM list; using the last known list", "error", err)
		}
		d.failed = true
		return false
	}
	d.failed = false
	changed := !d.loaded || !reflect.DeepEqual(vms, d.vms)
	d.vms, d.loaded = vms, true
	return changed
}

// Changed returns a channel that is closed when the list next changes.
func (d *Directory) Changed() <-chan struct{} { return d.changed.Changed() }

// Loaded reports whether the list has been read at least once.
func (d *Directory) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// VMs returns the VMs with the role.
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

// Package vmlisthttp is a client of the platform's VM list service.
package vmlisthttp

import (
	"context"
	"net/http"
	"time"

	"skylarkstall/internal/adapter/httpjson"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// Path is the URL path of the VM list.
const Path = "/v1/vms"

// VM is an entry of the list.
type VM struct {
	ID       string `json:"id"`
	Role     string `json:"role"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Rack     string `json:"rack,omitempty"`
	Draining bool   `json:"leaving,omitempty"`
}

// Reply is the response body.
type Reply struct {
	VMs []VM `json:"vms"`
}

const callTimeout = 2 * time.Second

// Client implements port.VMList.
type Client struct {
	http *httpjson.Client
}

// New returns a client for the service at host:port.
func New(address string) *Client {
	return &Client{http: httpjson.NewClient(address)}
}

// List implements port.VMList.
func (c *Client) List(ctx context.Context) ([]port.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply Reply
	if err := c.http.Call(ctx, http.MethodGet, Path, nil, &reply); err != nil {
		return nil, fault.Wrap(err, "read the VM list")
	}
	vms := make([]port.VM, len(reply.VMs))
	for i, vm := range reply.VMs {
		vms[i] = port.VM{
			ID: vm.ID, Role: port.VMRole(vm.Role), Address: vm.Address,
			Zone: ident.Zone(vm.Zone), Rack: ident.Rack(vm.Rack), Draining: vm.Draining,
		}
	}
	return vms, nil
}

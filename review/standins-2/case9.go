//go:build ignore

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["9"] = replacedRoute }

// Parameters of the case.
const (
	routeWorkers  = 6
	configApply   = 2 * time.Second // bounds.configApplyMs
	visibleAfter  = 3 * time.Second // bounds.visible_ms
	askAfter      = 10 * time.Second
	routePath     = "/watch/00000000000000a1"
	cancelApplies = 4 * time.Second // bounds.cancel_ms and bounds.stopGraceMs, rounded up
)

// replacedRoute changes the name of a route, which no client sees, while a job of it runs. Clients reach the same prefix of the same host,
// and the same service, in every version.
func replacedRoute(d *deployment) (bool, error) {
	route := func(name string) map[string]any {
		return map[string]any{"name": name, "prefix": "/watch/", "priority": 1, "maxAttempts": 3}
	}
	other := map[string]any{"name": "r-other", "prefix": "/other/", "priority": 2, "maxAttempts": 3}
	if err := d.begin(routeWorkers, func(int) string { return "a" }, []map[string]any{route("r-first"), other}); err != nil {
		return false, err
	}
	lasting := map[string]any{"spec": "{}", "steps": []map[string]any{
		{"count": 2, "cpu": 4000, "memMb": 1024, "estimateMs": 1000, "longRunning": true, "image": "x"},
	}}
	if err := d.submit(routePath, lasting); err != nil {
		return false, err
	}
	time.Sleep(visibleAfter)
	if d.trouble {
		if err := d.configure(2, []map[string]any{route("r-second"), other}); err != nil {
			return false, err
		}
	}
	time.Sleep(configApply)
	broken := false
	for end := time.Now().Add(askAfter); time.Now().Before(end); time.Sleep(time.Second) {
		for _, e := range d.entries {
			if status, _ := d.call(e, http.MethodGet, routePath, nil); status == http.StatusGone {
				d.note("LOST: the accepted job is answered 410, and %d of its tasks run", len(d.running()))
				broken = true
			}
		}
	}
	status, _ := d.call(d.entries[0], http.MethodDelete, routePath, nil)
	time.Sleep(cancelApplies)
	d.note("%d tasks run %v after the client's DELETE was answered %d", len(d.running()), cancelApplies, status)
	return broken, nil
}

// configure writes a version of the configuration as the operator does.
func (d *deployment) configure(version int, queues []map[string]any) error {
	for i := range queues {
		queues[i]["host"], queues[i]["service"] = hostName, "desk"
	}
	d.note("operator: version %d with routes %s", version, fmt.Sprint(queues))
	return d.put("op/config", map[string]any{
		"version": version, "routes": queues, "services": []map[string]any{{"name": "desk", "enforcesCapacity": false}},
		"limits": map[string]any{"maxBodyBytes": 262144},
	})
}

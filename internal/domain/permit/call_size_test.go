package permit_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/permit"
)

const ms = time.Millisecond

// TestCallSize guards against calls that spend most of their time on what each call takes however few workers it names, while steps wait
// for the permit service, and against calls that take so long that their tickets are of little use afterwards.
func TestCallSize(t *testing.T) {
	slow := permit.CallTimes{Fixed: 507 * ms, PerWorker: 7150 * time.Microsecond, TicketTTL: 2500 * ms}
	for name, test := range map[string]struct {
		times     permit.CallTimes
		saturated bool
		want      permit.CallSize
	}{
		"fast calls":                 {permit.CallTimes{Fixed: 27 * ms, PerWorker: 390 * time.Microsecond, TicketTTL: 2500 * ms}, true, permit.CallSize{Min: 16, Max: 100}},
		"a process is idle":          {slow, false, permit.CallSize{Min: 8, Max: 30}},
		"every process is busy":      {slow, true, permit.CallSize{Min: 68, Max: 68}},
		"tickets are valid briefly":  {permit.CallTimes{Fixed: 507 * ms, PerWorker: 7 * ms, TicketTTL: time.Second}, true, permit.CallSize{Min: 8, Max: 30}},
		"little time besides":        {permit.CallTimes{Fixed: 50 * ms, PerWorker: 5 * ms, TicketTTL: 2500 * ms}, true, permit.CallSize{Min: 10, Max: 30}},
		"the service bounds a call":  {permit.CallTimes{Fixed: 10 * time.Second, PerWorker: 5 * ms, TicketTTL: time.Minute}, true, permit.CallSize{Min: 100, Max: 100}},
		"no time at all is recorded": {permit.CallTimes{}, true, permit.CallSize{Min: 16, Max: 100}},
	} {
		if got := test.times.Size(test.saturated); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
}

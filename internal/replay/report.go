package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// Variant is a policy, optionally with another number of owners for the workers of the cell.
type Variant struct {
	Policy fleet.Policy
	Owners int // 0 for the number of owners of the cell
}

// ParseVariant parses "policy" or "policy@owners". It fails with Invalid.
func ParseVariant(s string) (Variant, error) {
	name, owners, found := strings.Cut(s, "@")
	policy, err := fleet.ParsePolicy(name)
	if err != nil {
		return Variant{}, err
	}
	v := Variant{Policy: policy}
	if !found {
		return v, nil
	}
	if v.Owners, err = strconv.Atoi(owners); err != nil || v.Owners < 1 {
		return Variant{}, fault.New(fault.Invalid, "variant %q: want policy or policy@owners", s)
	}
	return v, nil
}

func (v Variant) String() string {
	if v.Owners == 0 {
		return v.Policy.Name
	}
	return fmt.Sprintf("%s@%d", v.Policy.Name, v.Owners)
}

// Comparison replays the same arrivals with several variants, once for each seed.
type Comparison struct {
	Profile        Profile
	Shape          Shape
	DigestInterval time.Duration
	LoadFactor     float64
	RequestsOnly   bool // replay only requests
	Seeds          int
	Variants       []Variant
	Arrivals       []Arrival // recorded arrivals; nil to generate them from the profile and the seed
}

// Report contains the results of a comparison.
type Report struct {
	Profile          string             `json:"profile"`
	Shape            Shape              `json:"shape"`
	DigestIntervalMS int64              `json:"stale_ms"`
	LoadFactor       float64            `json:"load"`
	RequestsOnly     bool               `json:"without_long"`
	Seeds            int                `json:"seeds"`
	Results          map[string]Results `json:"results"`
	variants         []string
}

// Results are the results of one variant, one for each seed.
type Results []Result

// Run replays the arrivals of every seed with every variant. It fails with the error of the first replay that fails.
func (c Comparison) Run() (Report, error) {
	report := Report{
		Profile: c.Profile.Name, Shape: c.Shape, DigestIntervalMS: c.DigestInterval.Milliseconds(), LoadFactor: c.LoadFactor, RequestsOnly: c.RequestsOnly,
		Seeds: c.Seeds, Results: map[string]Results{},
	}
	for _, v := range c.Variants {
		report.variants = append(report.variants, v.String())
	}
	for seed := range uint64(c.Seeds) {
		arrivals := c.arrivals(seed + 1)
		for _, v := range c.Variants {
			shape := c.Shape
			if v.Owners > 0 {
				shape.Owners = v.Owners
			}
			result, err := Run(Options{
				Shape: shape, Policy: v.Policy, Seed: seed + 1, DigestInterval: c.DigestInterval, Duration: c.Profile.Duration, WarmUp: c.Profile.WarmUp,
			}, arrivals)
			if err != nil {
				return Report{}, fault.Wrap(err, "variant %s, seed %d", v, seed+1)
			}
			report.Results[v.String()] = append(report.Results[v.String()], result)
		}
	}
	return report, nil
}

func (c Comparison) arrivals(seed uint64) []Arrival {
	all := c.Arrivals
	if all == nil {
		all = c.Profile.Arrivals(c.Shape, seed, c.LoadFactor)
	}
	if !c.RequestsOnly {
		return all
	}
	var short []Arrival
	for _, a := range all {
		if a.Class == work.Request {
			short = append(short, a)
		}
	}
	return short
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return fault.WrapAs(fault.Internal, encoder.Encode(r), "write report")
}

// WriteTable writes tables with the median of each metric over the seeds, followed by the minimum and maximum.
func (r Report) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "profile %s, %d workers, %d owners, digest interval %d ms, load %g, %d seeds: median (min..max)\n",
		r.Profile, r.Shape.Workers, r.Shape.Owners, r.DigestIntervalMS, r.LoadFactor, r.Seeds)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "policy\tclass\ttasks\trefused\texpired\twait p50 ms\tp99\tp99.9\tresponse p99\tslowdown p99\tgoodput/s")
	for _, name := range r.variants {
		for class := range work.ClassCount {
			r.writeClass(w, name, int(class))
		}
	}
	fmt.Fprintln(w, "\npolicy\tcores\tmemory\tslots\tdominant\tused cores\tmoved")
	for _, name := range r.variants {
		results := r.Results[name]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", name,
			results.medianRange(func(x Result) float64 { return x.Utilization.Cores }),
			results.medianRange(func(x Result) float64 { return x.Utilization.Memory }),
			results.medianRange(func(x Result) float64 { return x.Utilization.Slots }),
			results.medianRange(func(x Result) float64 { return x.Utilization.Dominant }),
			results.medianRange(func(x Result) float64 { return x.Utilization.UsedCores }),
			results.medianRange(func(x Result) float64 { return float64(x.Preempted) }))
	}
	r.writeTeams(w)
	return fault.WrapAs(fault.Internal, w.Flush(), "write table")
}

func (r Report) writeClass(w io.Writer, name string, class int) {
	results := r.Results[name]
	medianOf := func(metric func(ClassResult) float64) string {
		return results.medianRange(func(x Result) float64 { return metric(x.Classes[class]) })
	}
	if results[0].Classes[class].Tasks == 0 {
		return
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", name, work.Class(class),
		medianOf(func(c ClassResult) float64 { return float64(c.Tasks) }),
		medianOf(func(c ClassResult) float64 { return float64(c.Refused) }),
		medianOf(func(c ClassResult) float64 { return float64(c.Expired) }),
		medianOf(func(c ClassResult) float64 { return c.WaitMS.P50 }), medianOf(func(c ClassResult) float64 { return c.WaitMS.P99 }),
		medianOf(func(c ClassResult) float64 { return c.WaitMS.P999 }), medianOf(func(c ClassResult) float64 { return c.ResponseMS.P99 }),
		medianOf(func(c ClassResult) float64 { return c.Slowdown.P99 }), medianOf(func(c ClassResult) float64 { return c.Goodput }))
}

func (r Report) writeTeams(w io.Writer) {
	for _, name := range r.variants {
		results := r.Results[name]
		for i, team := range results[0].Teams {
			fmt.Fprintf(w, "\n%s\t%s\trequest wait p99 ms %s\tshare of the cell %s\tstarted %s", name, team.Team,
				results.medianRange(func(x Result) float64 { return x.Teams[i].RequestWaitP99MS }),
				results.medianRange(func(x Result) float64 { return x.Teams[i].DominantShare }),
				results.medianRange(func(x Result) float64 { return x.Teams[i].StartedShare }))
		}
	}
	fmt.Fprintln(w)
}

// medianRange returns the median over the seeds, followed by the minimum and maximum if they differ.
func (results Results) medianRange(metric func(Result) float64) string {
	values := make([]float64, len(results))
	for i, x := range results {
		values[i] = metric(x)
	}
	sort.Float64s(values)
	median, minimum, maximum := values[len(values)/2], values[0], values[len(values)-1]
	if minimum == maximum {
		return fmt.Sprintf("%.4g", median)
	}
	return fmt.Sprintf("%.4g (%.4g..%.4g)", median, minimum, maximum)
}

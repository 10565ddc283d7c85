package cli

import (
	"context"
	"flag"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/replay"
)

type replayFlags struct {
	profile, variants, arrivals, record string

	shape          replay.Shape
	digestInterval time.Duration
	loadFactor     float64
	seeds          int
	requestsOnly   bool
	json           bool
}

func (f *replayFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.profile, "profile", "rush", strings.Join(replay.ProfileNames(), ", "))
	fs.StringVar(&f.variants, "variants", strings.Join(fleet.PolicyNames(), ","),
		"policies to compare, as policy or policy@owners, comma-separated")
	fs.StringVar(&f.arrivals, "arrivals", "", "file with recorded arrivals, one JSON object per line; empty to generate them")
	fs.StringVar(&f.record, "record", "", "file to which the generated arrivals of the first seed are written")
	fs.IntVar(&f.shape.Workers, "workers", replay.SmallShape.Workers, "number of workers of the cell")
	fs.IntVar(&f.shape.Owners, "owners", replay.SmallShape.Owners, "number of owner processes")
	fs.IntVar(&f.shape.Zones, "zones", replay.SmallShape.Zones, "number of availability zones")
	fs.DurationVar(&f.digestInterval, "stale", time.Second, "interval at which owners publish their digests")
	fs.Float64Var(&f.loadFactor, "load", 1, "factor for the rate of requests of the profile")
	fs.IntVar(&f.seeds, "seeds", 5, "number of seeds to replay")
	fs.BoolVar(&f.requestsOnly, "without-long", false, "replay only requests, without long-running work")
	fs.BoolVar(&f.json, "json", false, "print the report as JSON")
}

func (f *replayFlags) comparison() (replay.Comparison, error) {
	profile, err := replay.ProfileByName(f.profile)
	if err != nil {
		return replay.Comparison{}, err
	}
	if f.shape.Workers < 1 || f.shape.Owners < 1 || f.shape.Zones < 1 || f.seeds < 1 || f.digestInterval <= 0 || f.loadFactor <= 0 {
		return replay.Comparison{}, fault.New(fault.Invalid, "workers, owners, zones, seeds, stale and load must be above 0")
	}
	c := replay.Comparison{
		Profile: profile, Shape: f.shape, DigestInterval: f.digestInterval, LoadFactor: f.loadFactor, RequestsOnly: f.requestsOnly, Seeds: f.seeds,
	}
	for _, name := range strings.Split(f.variants, ",") {
		v, err := replay.ParseVariant(name)
		if err != nil {
			return replay.Comparison{}, err
		}
		c.Variants = append(c.Variants, v)
	}
	if f.arrivals != "" {
		c.Arrivals, err = readArrivals(f.arrivals)
	}
	return c, err
}

func readArrivals(name string) ([]replay.Arrival, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fault.WrapAs(fault.NotFound, err, "arrivals")
	}
	defer func() { _ = file.Close() }() // opened for reading only
	return replay.ReadArrivals(file)
}

func writeArrivals(name string, arrivals []replay.Arrival) error {
	file, err := os.Create(name)
	if err != nil {
		return fault.WrapAs(fault.Invalid, err, "record")
	}
	if err := replay.WriteArrivals(file, arrivals); err != nil {
		_ = file.Close() // the write error is returned
		return err
	}
	return fault.WrapAs(fault.Internal, file.Close(), "record")
}

func (a *app) replay() *ffcli.Command {
	fs := a.flags("skylarkstall replay")
	var f replayFlags
	f.register(fs)
	return &ffcli.Command{
		Name: "replay", ShortUsage: "skylarkstall replay [flags]", FlagSet: fs, Options: options(),
		ShortHelp: "Compare placement policies by replaying arrivals on a virtual clock.",
		Exec: func(context.Context, []string) error {
			c, err := f.comparison()
			if err != nil {
				return err
			}
			if f.record != "" {
				if err := writeArrivals(f.record, c.Profile.Arrivals(c.Shape, 1, c.LoadFactor)); err != nil {
					return err
				}
			}
			report, err := c.Run()
			if err != nil {
				return err
			}
			if f.json {
				return report.WriteJSON(a.out)
			}
			return report.WriteTable(a.out)
		},
	}
}

package cli

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/adapter/peerwire"
	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/node"
)

type serveFlags struct {
	id, zone, callerAddress, peerAddress, storeAddress, vmListAddress, level string

	staticPeers, cellToken, policy string

	tls            peerwire.CredentialFiles
	plaintextPeers bool

	drainTimeout, drainAcceptPeriod, terminationNotice time.Duration

	timelineSize int
}

func (f *serveFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.id, "id", "", "id of the process: the name of this VM in the VM list")
	fs.StringVar(&f.zone, "zone", "", "availability zone of this VM")
	fs.StringVar(&f.callerAddress, "caller-address", "127.0.0.1:7070", "host:port for callers and operators")
	fs.StringVar(&f.peerAddress, "peer-address", "127.0.0.1:7071", "host:port for other processes")
	fs.StringVar(&f.tls.Certificate, "peer-tls-certificate", "", "PEM file with the certificate that this process presents to peers")
	fs.StringVar(&f.tls.Key, "peer-tls-key", "", "PEM file with the private key of the certificate")
	fs.StringVar(&f.tls.CA, "peer-tls-ca", "", "PEM file with the CA certificates that sign the certificates of peers")
	fs.BoolVar(&f.plaintextPeers, "peer-plain", false, "do not use TLS between processes")
	fs.StringVar(&f.staticPeers, "peers", "", "additional processes to contact, as a comma-separated list of id=host:port")
	fs.StringVar(&f.cellToken, "cell-token", "", "secret that permits changing cell quotas and adding teams; if empty, nobody may do so")
	fs.StringVar(&f.storeAddress, "store-address", "", "host:port of the key-value store")
	fs.StringVar(&f.vmListAddress, "vm-list-address", "", "host:port of the VM list")
	fs.DurationVar(&f.drainTimeout, "drain-timeout", time.Minute, "maximum duration of a graceful shutdown")
	fs.DurationVar(&f.drainAcceptPeriod, "drain-grace", 5*time.Second, "how long a draining process still accepts connections before it closes its listener")
	fs.DurationVar(&f.terminationNotice, "worker-notice", 10*time.Minute, "how long tasks on a draining worker may continue to run")
	fs.IntVar(&f.timelineSize, "timeline-size", 20000, "number of events kept for the timeline")
	fs.StringVar(&f.policy, "policy", fleet.FairShare.Name, "placement policy: "+strings.Join(fleet.PolicyNames(), ", "))
	fs.StringVar(&f.level, "log-level", "info", "debug, info, warn or error")
}

// settings returns the validated settings. It fails with Invalid and lists every error.
func (f *serveFlags) settings() (node.Settings, error) {
	if err := f.validate(); err != nil {
		return node.Settings{}, err
	}
	policy, err := fleet.ParsePolicy(f.policy)
	if err != nil {
		return node.Settings{}, err
	}
	peers, err := parsePeers(f.staticPeers)
	return node.Settings{
		ID: ident.ProcessID(f.id), Zone: ident.Zone(f.zone), CallerAddress: f.callerAddress, PeerAddress: f.peerAddress,
		PlaintextPeers: f.plaintextPeers, PeerTLS: f.tls, StaticPeers: peers, StoreAddress: f.storeAddress, VMListAddress: f.vmListAddress,
		DrainTimeout: f.drainTimeout, DrainAcceptPeriod: f.drainAcceptPeriod, TerminationNotice: f.terminationNotice, TimelineSize: f.timelineSize, Policy: policy,
		CellToken: f.cellToken,
	}, err
}

func (a *app) serve() *ffcli.Command {
	fs := a.flags("skylarkstall serve")
	var f serveFlags
	f.register(fs)
	show := fs.Bool("print-settings", false, "print the effective settings with their sources and exit")
	output := operatorFlags{formats: []string{"table", "json"}}
	fs.StringVar(&output.output, "output", "table", "output format of --print-settings: table or json")
	return &ffcli.Command{
		Name: "serve", ShortUsage: "skylarkstall serve [flags]", ShortHelp: "Run one entry process.",
		LongHelp: help("Run one entry process until it receives a signal to stop; then drain. Fails at startup and lists every "+
			"error when settings are not valid or TLS files cannot be read.",
			"skylarkstall serve --id entry-1 --zone kochi-a --store-address 10.0.0.2:2379 --vm-list-address 10.0.0.3:80 "+
				"--peer-tls-certificate entry-1.pem --peer-tls-key entry-1.key --peer-tls-ca cell.pem"),
		FlagSet: fs, Options: options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := output.validate(args); err != nil {
				return err
			}
			if *show {
				return a.printSettings(fs, output.output)
			}
			settings, err := f.settings()
			if err != nil {
				return err
			}
			return a.runNode(ctx, settings, f.level)
		},
	}
}

// printSettings prints all settings, including invalid ones, so that an operator can see where they come from.
func (a *app) printSettings(fs *flag.FlagSet, format string) error {
	rows := settingRows(fs, a.args)
	if format == "table" {
		return printTable(a.out, rows)
	}
	var list []map[string]string
	for _, row := range rows[1:] {
		list = append(list, map[string]string{"setting": row[0], "value": row[1], "from": row[2]})
	}
	return printJSON(a.out, list)
}

func (a *app) runNode(ctx context.Context, settings node.Settings, level string) error {
	log, err := a.logger(level)
	if err != nil {
		return err
	}
	n, err := node.New(settings, log)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "caller address %s, peer address %s\n", n.CallerAddress(), n.PeerAddress())
	return n.Run(ctx)
}

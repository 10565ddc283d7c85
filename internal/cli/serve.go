package cli

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/adapter/peerwire"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/node"
)

type serveFlags struct {
	id, zone, caller, peer, store, vmlist, level string

	tls   peerwire.CredentialFiles
	plain bool
	drain time.Duration
	ring  int
}

func (f *serveFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.id, "id", "", "process id, as the VM list names this VM")
	fs.StringVar(&f.zone, "zone", "", "availability zone of this VM")
	fs.StringVar(&f.caller, "caller-address", "127.0.0.1:7070", "host:port for callers and operators")
	fs.StringVar(&f.peer, "peer-address", "127.0.0.1:7071", "host:port for other processes")
	fs.StringVar(&f.tls.Certificate, "peer-tls-certificate", "", "PEM file with the certificate of this process for peers")
	fs.StringVar(&f.tls.Key, "peer-tls-key", "", "PEM file with the key of the certificate")
	fs.StringVar(&f.tls.CA, "peer-tls-ca", "", "PEM file with the certificates that sign those of peers")
	fs.BoolVar(&f.plain, "peer-plain", false, "connections between processes without TLS")
	fs.StringVar(&f.store, "store-address", "", "host:port of the key-value service")
	fs.StringVar(&f.vmlist, "vm-list-address", "", "host:port of the VM list")
	fs.DurationVar(&f.drain, "drain-timeout", time.Minute, "longest graceful shutdown")
	fs.IntVar(&f.ring, "timeline-size", 20000, "events kept for the time line")
	fs.StringVar(&f.level, "log-level", "info", "debug, info, warn or error")
}

func (f *serveFlags) settings() (node.Settings, error) {
	if err := ident.Check("id", f.id); err != nil {
		return node.Settings{}, err
	}
	if err := ident.Check("zone", f.zone); err != nil {
		return node.Settings{}, err
	}
	if f.store == "" || f.vmlist == "" {
		return node.Settings{}, fault.New(fault.Invalid, "set --store-address and --vm-list-address")
	}
	return node.Settings{
		ID: ident.ProcessID(f.id), Zone: ident.Zone(f.zone), CallerAddress: f.caller, PeerAddress: f.peer,
		PeerPlain: f.plain, PeerTLS: f.tls, StoreAddress: f.store, VMListAddress: f.vmlist, DrainTimeout: f.drain, TimelineSize: f.ring,
	}, nil
}

func (a *app) serve() *ffcli.Command {
	fs := a.flags("skylarkstall serve")
	var f serveFlags
	f.register(fs)
	return &ffcli.Command{
		Name: "serve", ShortUsage: "skylarkstall serve [flags]", ShortHelp: "Run one entry process.",
		FlagSet: fs, Options: options(),
		Exec: func(ctx context.Context, _ []string) error {
			settings, err := f.settings()
			if err != nil {
				return err
			}
			log, err := a.logger(f.level)
			if err != nil {
				return err
			}
			n, err := node.New(settings, log)
			if err != nil {
				return err
			}
			fmt.Fprintf(a.out, "callers reach %s, peers reach %s\n", n.CallerAddress(), n.PeerAddress())
			return n.Run(ctx)
		},
	}
}

package cli

import (
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"

	"skylarkstall/internal/adapter/peerwire"
	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// secretFlags are never printed.
var secretFlags = map[string]bool{"cell-token": true, "token": true}

// notSettings are flags of the serve command that are no settings of the process.
var notSettings = map[string]bool{"print-settings": true, "output": true}

// faultList collects what is wrong with the settings, so that an operator mends all of it at once.
type faultList []string

func (l *faultList) add(name string, err error) {
	if err != nil {
		*l = append(*l, fmt.Sprintf("--%s: %v", name, err))
	}
}

func (l *faultList) require(ok bool, name, format string, args ...any) {
	if !ok {
		l.add(name, fault.New(fault.Invalid, format, args...))
	}
}

func (l *faultList) address(name, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		l.add(name, fault.New(fault.Invalid, "%q: want host:port", address))
	}
}

func (l faultList) err() error {
	if len(l) == 0 {
		return nil
	}
	return fault.New(fault.Invalid, "%d faults in the settings:\n  %s", len(l), strings.Join(l, "\n  "))
}

// maxTimeline bounds the memory of the time line: an event takes about 200 bytes.
const maxTimeline = 200_000

// check returns every fault of the settings.
func (f *serveFlags) check() error {
	var faults faultList
	faults.add("id", ident.Validate("id", f.id))
	faults.add("zone", ident.Validate("zone", f.zone))
	faults.address("caller-address", f.caller)
	faults.address("peer-address", f.peer)
	faults.address("store-address", f.store)
	faults.address("vm-list-address", f.vmlist)
	faults.require(f.drain > 0, "drain-timeout", "is %v; want a positive duration", f.drain)
	faults.require(f.grace >= 0 && (f.drain <= 0 || f.grace < f.drain), "drain-grace", "is %v; want 0s to less than --drain-timeout", f.grace)
	faults.require(f.notice >= 0, "worker-notice", "is %v; want 0s or more", f.notice)
	faults.require(f.ring >= 1 && f.ring <= maxTimeline, "timeline-size", "is %d; want 1 to %d", f.ring, maxTimeline)
	_, err := logLevel(f.level)
	faults.add("log-level", err)
	_, err = fleet.ParsePolicy(f.policy)
	faults.add("policy", err)
	_, err = parsePeers(f.peers)
	faults.add("peers", err)
	f.checkTLS(&faults)
	return faults.err()
}

func (f *serveFlags) checkTLS(faults *faultList) {
	given := f.tls != peerwire.CredentialFiles{}
	switch {
	case f.plain:
		faults.require(!given, "peer-plain", "is set, but so are files for TLS; want one of both")
	case f.tls.Certificate == "" || f.tls.Key == "" || f.tls.CA == "":
		faults.require(false, "peer-tls-certificate",
			"set it with --peer-tls-key and --peer-tls-ca, or set --peer-plain for connections without TLS")
	default:
		_, err := peerwire.LoadCredentials(f.tls, slog.New(slog.DiscardHandler))
		faults.add("peer-tls-certificate", err)
	}
}

// parsePeers reads id=host:port, separated by commas.
func parsePeers(text string) ([]port.VM, error) {
	var peers []port.VM
	for _, part := range strings.Split(text, ",") {
		if part == "" {
			continue
		}
		id, address, _ := strings.Cut(part, "=")
		if err := ident.Validate("id", id); err != nil {
			return nil, fault.Wrap(err, "%q: want id=host:port", part)
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fault.New(fault.Invalid, "%q: want id=host:port", part)
		}
		peers = append(peers, port.VM{ID: id, Role: port.RoleEntry, Address: address})
	}
	return peers, nil
}

// envName returns the environment variable of a flag.
func envName(flagName string) string {
	return envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// settingRows returns each setting with its value and where that comes from. args are those of the command line.
func settingRows(fs *flag.FlagSet, args []string) [][]string {
	rows := [][]string{{"SETTING", "VALUE", "FROM"}}
	set := map[string]bool{}
	fs.Visit(func(f *flag.Flag) { set[f.Name] = true })
	fs.VisitAll(func(f *flag.Flag) {
		if notSettings[f.Name] {
			return
		}
		from := "default"
		switch {
		case set[f.Name] && onCommandLine(f.Name, args):
			from = "command line"
		case set[f.Name] && os.Getenv(envName(f.Name)) != "":
			from = "environment variable " + envName(f.Name)
		}
		value := f.Value.String()
		if secretFlags[f.Name] && value != "" {
			value = "(hidden)"
		}
		rows = append(rows, []string{f.Name, value, from})
	})
	return rows
}

func onCommandLine(name string, args []string) bool {
	for _, arg := range args {
		flagName, _, _ := strings.Cut(strings.TrimLeft(arg, "-"), "=")
		if strings.HasPrefix(arg, "-") && flagName == name {
			return true
		}
	}
	return false
}

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

// secretFlags are the flags whose values are never printed.
var secretFlags = map[string]bool{"cell-token": true, "token": true}

// nonSettingFlags are the flags of the serve command that are not settings of the process.
var nonSettingFlags = map[string]bool{"print-settings": true, "output": true}

// settingErrors collects the errors of all settings, so that an operator can correct all of them at once.
type settingErrors []string

func (e *settingErrors) add(name string, err error) {
	if err != nil {
		*e = append(*e, fmt.Sprintf("--%s: %v", name, err))
	}
}

func (e *settingErrors) require(ok bool, name, format string, args ...any) {
	if !ok {
		e.add(name, fault.New(fault.Invalid, format, args...))
	}
}

func (e *settingErrors) address(name, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		e.add(name, fault.New(fault.Invalid, "%q: want host:port", address))
	}
}

func (e settingErrors) err() error {
	if len(e) == 0 {
		return nil
	}
	return fault.New(fault.Invalid, "%d errors in the settings:\n  %s", len(e), strings.Join(e, "\n  "))
}

// maxTimelineSize limits the memory of the timeline; an event takes about 200 bytes.
const maxTimelineSize = 200_000

// validate returns the errors of all settings as one error.
func (f *serveFlags) validate() error {
	var errs settingErrors
	errs.add("id", ident.Validate("id", f.id))
	errs.add("zone", ident.Validate("zone", f.zone))
	errs.address("caller-address", f.callerAddress)
	errs.address("peer-address", f.peerAddress)
	errs.address("store-address", f.storeAddress)
	errs.address("vm-list-address", f.vmListAddress)
	errs.require(f.drainTimeout > 0, "drain-timeout", "is %v; want a positive duration", f.drainTimeout)
	errs.require(f.drainAcceptPeriod >= 0 && (f.drainTimeout <= 0 || f.drainAcceptPeriod < f.drainTimeout), "drain-grace", "is %v; want 0s to less than --drain-timeout", f.drainAcceptPeriod)
	errs.require(f.terminationNotice >= 0, "worker-notice", "is %v; want 0s or more", f.terminationNotice)
	errs.require(f.timelineSize >= 1 && f.timelineSize <= maxTimelineSize, "timeline-size", "is %d; want 1 to %d", f.timelineSize, maxTimelineSize)
	_, err := logLevel(f.level)
	errs.add("log-level", err)
	_, err = fleet.ParsePolicy(f.policy)
	errs.add("policy", err)
	_, err = parsePeers(f.staticPeers)
	errs.add("peers", err)
	f.validateTLS(&errs)
	return errs.err()
}

func (f *serveFlags) validateTLS(errs *settingErrors) {
	given := f.tls != peerwire.CredentialFiles{}
	switch {
	case f.plaintextPeers:
		errs.require(!given, "peer-plain", "cannot be combined with TLS files")
	case f.tls.Certificate == "" || f.tls.Key == "" || f.tls.CA == "":
		errs.require(false, "peer-tls-certificate",
			"set it with --peer-tls-key and --peer-tls-ca, or set --peer-plain for connections without TLS")
	default:
		_, err := peerwire.LoadCredentials(f.tls, slog.New(slog.DiscardHandler))
		errs.add("peer-tls-certificate", err)
	}
}

// parsePeers parses a comma-separated list of id=host:port.
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

// envName returns the name of the environment variable of a flag.
func envName(flagName string) string {
	return envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// settingRows returns a table of the settings with their values and sources. args are the command line arguments.
func settingRows(fs *flag.FlagSet, args []string) [][]string {
	rows := [][]string{{"SETTING", "VALUE", "FROM"}}
	set := map[string]bool{}
	fs.Visit(func(f *flag.Flag) { set[f.Name] = true })
	fs.VisitAll(func(f *flag.Flag) {
		if nonSettingFlags[f.Name] {
			return
		}
		from := "default"
		switch {
		case set[f.Name] && setOnCommandLine(f.Name, args):
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

func setOnCommandLine(name string, args []string) bool {
	for _, arg := range args {
		flagName, _, _ := strings.Cut(strings.TrimLeft(arg, "-"), "=")
		if strings.HasPrefix(arg, "-") && flagName == name {
			return true
		}
	}
	return false
}

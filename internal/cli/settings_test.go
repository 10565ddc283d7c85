package cli

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestSettingsPage guards against docs/settings.md differing from the flags of the serve command.
// "go test ./internal/cli -run SettingsPage -update" regenerates the page.
func TestSettingsPage(t *testing.T) {
	var page strings.Builder
	page.WriteString(`# Settings of a process

Settings of ` + "`skylarkstall serve`" + ` are flags or environment variables; a flag takes precedence over its variable.
` + "`skylarkstall serve --print-settings`" + ` prints the effective settings and their sources; secrets are hidden. All settings
are validated at startup, and all errors are reported together. TLS files are reloaded when they change; every other
change needs a restart.

| flag | environment variable | default | meaning |
|---|---|---|---|
`)
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	var f serveFlags
	f.register(fs)
	fs.VisitAll(func(f *flag.Flag) {
		value := f.DefValue
		if value == "" {
			value = "none"
		}
		fmt.Fprintf(&page, "| `--%s` | `%s` | %s | %s |\n", f.Name, envName(f.Name), value, f.Usage)
	})
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "settings", []byte(page.String()))
}

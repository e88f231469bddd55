package settings

import (
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/pistachioport/pistachioport/internal/finding"
	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

// Defaults and bounds of settings.
const (
	defaultReplaceAfter    = 30 * time.Second
	defaultSpareAfter      = 2 * time.Minute
	defaultSnapshotEntries = 20_000 // log entries
	minSnapshotEntries     = 100
	maxSnapshotEntries     = 1_000_000
	minReplaceAfter        = 5 * time.Second
	maxReplaceAfter        = 24 * time.Hour
	defaultBalancerDelay   = 5 * time.Second
	defaultDrainDelay      = 10 * time.Second
	defaultDrainTimeout    = 60 * time.Second
	maxDrainTimeout        = time.Hour
	defaultMaxQueueLength  = 4096
	maxMaxQueueLength      = 1 << 20
	defaultRequestTimeout  = 10 * time.Second
	minRequestTimeout      = 10 * time.Millisecond
	maxRequestTimeout      = time.Hour
	defaultMaxBodyBytes    = 8 << 20
	maxMaxBodyBytes        = 1 << 30
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

const allowedNames = "1 to 63 lower-case letters, digits, dots and hyphens, with a letter or digit at both ends"

// Load reads and checks a settings file and fills in defaults. The error, if any, is
// a *finding.Error with every problem of the file.
func Load(path string) (*Settings, error) {
	var findings finding.List
	table := tomlfile.Read(path, &findings)
	if table == nil {
		return nil, findings.Err()
	}
	settings := readSettings(table)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// readSettings reads and checks the file's top-level table. After a finding the
// result may be incomplete.
func readSettings(table *tomlfile.Table) *Settings {
	settings := &Settings{
		Name:          readName(table, "name"),
		Region:        readName(table, "region"),
		FailureDomain: readName(table, "failure_domain"),
		Rack:          table.String("rack", ""),
		DataDir:       table.String("data", ""),
		Log:           readLog(table.Table("log")),
		Control:       readControl(table.Table("control")),
		Entry:         readEntry(table.Table("entry")),
	}
	if !table.Has("control") && !table.Has("entry") {
		table.Report("", "a table [control], [entry] or both", "no role is set")
	}
	if settings.Control != nil {
		checkOwnMembership(table, settings)
	}
	if settings.Entry != nil {
		resolveEntryControl(table, settings)
	}
	checkDataDir(table, settings)
	checkListeners(table, settings)
	table.ReportUnknownKeys()
	return settings
}

// readName reads a required name.
func readName(table *tomlfile.Table, key string) string {
	table.Require(key, allowedNames)
	name := table.String(key, "")
	if name != "" && !namePattern.MatchString(name) {
		table.Report(key, allowedNames, "%s = %q is no valid name", table.KeyPath(key), name)
	}
	if name == "" && table.Has(key) {
		table.Report(key, allowedNames, "%s is empty", table.KeyPath(key))
	}
	return name
}

// readLog reads the table [log]; without one it returns the defaults.
func readLog(table *tomlfile.Table) Log {
	log := Log{Format: "json", Level: "info"}
	if table == nil {
		return log
	}
	log.Format = table.Choice("format", log.Format, "json", "text")
	log.Level = table.Choice("level", log.Level, "debug", "info", "warn", "error")
	table.ReportUnknownKeys()
	return log
}

// checkDataDir reports a control role without a data folder, and a data folder without
// a control role, since only that role keeps durable state.
func checkDataDir(table *tomlfile.Table, settings *Settings) {
	hasControl := table.Has("control")
	switch {
	case hasControl && strings.TrimSpace(settings.DataDir) == "":
		table.Report("control", "data = a folder on a local disk", "the control role has no data folder")
	case !hasControl && table.Has("data"):
		table.Report("data", "a data folder only beside [control]", "data is set, but the file has no control role")
	}
}

// checkListeners reports listeners of this process whose addresses conflict.
func checkListeners(table *tomlfile.Table, settings *Settings) {
	var keys, addresses []string
	add := func(key, address string) {
		for i, other := range addresses {
			if listenersConflict(other, address) {
				table.Report(key, "another port than "+keys[i], "%s = %q is taken by %s", key, address, keys[i])
			}
		}
		keys = append(keys, key)
		addresses = append(addresses, address)
	}
	if settings.Control != nil {
		add("control.listen", settings.Control.Listen)
	}
	if settings.Entry != nil {
		add("entry.listen", settings.Entry.Listen)
		add("entry.announce_listen", settings.Entry.AnnounceListen)
	}
}

// listenersConflict reports whether two listeners can't both bind: they have the same
// port, and the same IP address or an unspecified one, which means all addresses.
func listenersConflict(a, b string) bool {
	first, err := netip.ParseAddrPort(a)
	if err != nil {
		return false
	}
	second, err := netip.ParseAddrPort(b)
	if err != nil || first.Port() != second.Port() {
		return false
	}
	return first.Addr() == second.Addr() || first.Addr().IsUnspecified() || second.Addr().IsUnspecified()
}

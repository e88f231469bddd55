package settings

import (
	"fmt"
	"time"

	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

// readEntry reads the table [entry]; it returns nil if there is none.
func readEntry(table *tomlfile.Table) *Entry {
	if table == nil {
		return nil
	}
	entry := &Entry{
		Listen:           readListenAddress(table, "listen"),
		AnnounceListen:   readListenAddress(table, "announce_listen"),
		Advertise:        readReachableAddress(table, "advertise"),
		ControlAddresses: table.Addresses("control"),
		DialOverrides:    readDialOverrides(table),
		BalancerDelay:    table.Duration("balancer_delay", defaultBalancerDelay, 0, maxDrainTimeout),
		DrainDelay:       table.Duration("drain_delay", defaultDrainDelay, 0, maxDrainTimeout),
		DrainTimeout:     table.Duration("drain_timeout", defaultDrainTimeout, time.Second, maxDrainTimeout),
		MaxQueueLength:   int(table.Int("queue_length", defaultMaxQueueLength, 1, maxMaxQueueLength)),
		DefaultTimeout:   table.Duration("default_timeout", defaultRequestTimeout, minRequestTimeout, maxRequestTimeout),
		MaxBodyBytes:     table.Size("max_body", defaultMaxBodyBytes, 1, maxMaxBodyBytes),
	}
	if entry.Advertise == "" {
		entry.Advertise = entry.Listen
		if isUnspecified(entry.Listen) {
			table.Require("advertise", "the IP address with a port where callers reach this entry")
		}
	}
	checkDrainTimes(table, entry)
	table.ReportUnknownKeys()
	return entry
}

// readDialOverrides reads the addresses to dial instead of advertised ones, by the
// advertised address.
func readDialOverrides(table *tomlfile.Table) map[string]string {
	dial := make(map[string]string)
	for _, row := range table.Tables("dial") {
		row.Require("address", "the advertised IP address with a port of a control process")
		row.Require("to", "the IP address with a port to dial instead")
		dial[row.Address("address")] = readReachableAddress(row, "to")
		row.ReportUnknownKeys()
	}
	return dial
}

// checkDrainTimes checks that the entry accepts requests until the balancer sends no
// more, and then has time to finish them.
func checkDrainTimes(table *tomlfile.Table, entry *Entry) {
	if entry.DrainDelay < entry.BalancerDelay {
		table.Report("drain_delay", fmt.Sprintf("at least balancer_delay, %v", entry.BalancerDelay),
			"entry.drain_delay = %v is below the balancer's delay, so new requests would be cut off", entry.DrainDelay)
	}
	if entry.DrainTimeout <= entry.DrainDelay {
		table.Report("drain_timeout", fmt.Sprintf("more than drain_delay, %v", entry.DrainDelay),
			"entry.drain_timeout = %v leaves no time to finish requests", entry.DrainTimeout)
	}
}

// resolveEntryControl sets the addresses of the control processes, if the entry has
// none, to those of the members of the same file. It reports an entry that then still
// has none.
func resolveEntryControl(table *tomlfile.Table, settings *Settings) {
	if len(settings.Entry.ControlAddresses) == 0 && settings.Control != nil {
		for _, member := range settings.Control.Members {
			settings.Entry.ControlAddresses = append(settings.Entry.ControlAddresses, member.Address)
		}
	}
	if len(settings.Entry.ControlAddresses) == 0 {
		table.Report("entry.control", "the addresses of all control processes", "entry.control is empty")
	}
}

package settings

import (
	"fmt"
	"time"

	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

func readEntry(table *tomlfile.Table) *Entry {
	if table == nil {
		return nil
	}
	entry := &Entry{
		Listen:           readListen(table, "listen"),
		AnnounceListen:   readListen(table, "announce_listen"),
		Advertise:        readAdvertise(table, "advertise"),
		ControlAddresses: table.Addresses("control"),
		DialOverrides:    readDial(table),
		BalancerDelay:    table.Duration("balancer_delay", defaultBalancerDelay, 0, maxDrainTimeout),
		DrainDelay:       table.Duration("drain_delay", defaultDrainDelay, 0, maxDrainTimeout),
		DrainTimeout:     table.Duration("drain_timeout", defaultDrainTimeout, time.Second, maxDrainTimeout),
		MaxQueueLength:   int(table.Int("queue_length", defaultQueueLength, 1, maxQueueLength)),
		DefaultTimeout:   table.Duration("default_timeout", defaultRequestTimeout, minRequestTimeout, maxRequestTimeout),
		MaxBodyBytes:     table.Size("max_body", defaultMaxBody, 1, maxMaxBody),
	}
	if entry.Advertise == "" {
		entry.Advertise = entry.Listen
		if isUnspecified(entry.Listen) {
			table.Require("advertise", "the IP address with a port where callers reach this entry")
		}
	}
	checkEntry(table, entry)
	table.ReportUnknownKeys()
	return entry
}

// readDial reads where advertised addresses are reached instead.
func readDial(table *tomlfile.Table) map[string]string {
	dial := make(map[string]string)
	for _, row := range table.Tables("dial") {
		row.Require("address", "the advertised IP address with a port of a control process")
		row.Require("to", "the IP address with a port to dial instead")
		dial[row.Address("address")] = readAdvertise(row, "to")
		row.ReportUnknownKeys()
	}
	return dial
}

func checkEntry(table *tomlfile.Table, entry *Entry) {
	if entry.DrainDelay < entry.BalancerDelay {
		table.Report("drain_delay", fmt.Sprintf("at least balancer_delay, %v", entry.BalancerDelay),
			"entry.drain_delay = %v is below the balancer's delay, so new requests would be cut off", entry.DrainDelay)
	}
	if entry.DrainTimeout <= entry.DrainDelay {
		table.Report("drain_timeout", fmt.Sprintf("more than drain_delay, %v", entry.DrainDelay),
			"entry.drain_timeout = %v leaves no time to finish requests", entry.DrainTimeout)
	}
}

// checkEntryControl fills in the control processes of a file that has both
// roles, and reports an entry that knows none.
func checkEntryControl(table *tomlfile.Table, settings *Settings) {
	if len(settings.Entry.ControlAddresses) == 0 && settings.Control != nil {
		for _, member := range settings.Control.Members {
			settings.Entry.ControlAddresses = append(settings.Entry.ControlAddresses, member.Address)
		}
	}
	if len(settings.Entry.ControlAddresses) == 0 {
		table.Report("entry.control", "the addresses of all control processes", "entry.control is empty")
	}
}

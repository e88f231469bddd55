package failure_test

import (
	"bytes"
	"net/http"
	"os"
	"slices"
)

// readsThenPublishes returns a condition that holds once the version in force has been read, before the first publication
// after a fault can hide that an acknowledged one was lost, and a publication went through.
func (c *soakCell) readsThenPublishes(client *http.Client, publishes func() bool) func() bool {
	wasRead := false
	return func() bool {
		wasRead = wasRead || c.readVersion(client)
		return wasRead && publishes()
	}
}

// damageLine is what a control process logs when it gives up its data folder, and with it its vote.
const damageLine = "data folder damaged"

// checkDisksKept checks that no control process gave up a data folder, and that each kept its incarnation on it: the core's
// faults lose disks and what was not synced, and damage none.
func (c *soakCell) checkDisksKept() {
	for _, p := range slices.Concat(c.lostVMs, c.control) {
		incarnations, err := journalIncarnations(p.dataDir + diskJournalSuffix)
		if err != nil {
			c.t.Error(err)
		}
		if len(incarnations) > 1 {
			c.checker.recordViolation("%s had the incarnations %x on one disk", p.name, incarnations)
		}
		log, err := os.ReadFile(p.logPath)
		if err != nil {
			c.t.Error(err)
		}
		for line := range bytes.Lines(log) {
			if bytes.Contains(line, []byte(damageLine)) {
				c.checker.recordViolation("%s lost its vote without a lost disk: %s", p.name, bytes.TrimSpace(line))
			}
		}
	}
}

package state

import "strings"

// truncate cuts a text from a client to maxAuditTextBytes and removes bytes that are
// not valid UTF-8.
func truncate(text string) string {
	if len(text) > maxAuditTextBytes {
		text = text[:maxAuditTextBytes]
	}
	return strings.ToValidUTF8(text, "")
}

package state

import "strings"

// truncate bounds a text that a caller chose, and makes it valid UTF-8.
func truncate(text string) string {
	if len(text) > maxAuditTextBytes {
		text = text[:maxAuditTextBytes]
	}
	return strings.ToValidUTF8(text, "")
}

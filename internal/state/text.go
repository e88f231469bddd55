package state

import "strings"

// truncate bounds a text that a caller chose, and makes it valid UTF-8.
func truncate(text string) string {
	if len(text) > maxAuditText {
		text = text[:maxAuditText]
	}
	return strings.ToValidUTF8(text, "")
}

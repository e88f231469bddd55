package storage

import "fmt"

// DamageError reports a file whose content can't be what was synced.
type DamageError struct {
	Path   string
	Offset int64 // bytes from the file's start
	Reason string
}

// Error returns a text with the file, the offset and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("file %q is damaged at offset %d: %s", e.Path, e.Offset, e.Reason)
}

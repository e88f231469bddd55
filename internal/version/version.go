// Package version identifies the running build.
package version

import (
	"fmt"
	"runtime/debug"
)

// Build is the version information that the Go tool recorded in the binary.
type Build struct {
	Module   string `json:"module"`   // version of the module; (devel) outside a release
	Revision string `json:"revision"` // source revision; empty if not recorded
	Modified bool   `json:"modified"` // built from sources with uncommitted changes
	Go       string `json:"go"`       // version of Go
}

// Read returns this process's build; the zero Build if none was recorded.
func Read() Build {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Build{}
	}
	build := Build{Module: info.Main.Version, Go: info.GoVersion}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			build.Revision = setting.Value
		case "vcs.modified":
			build.Modified = setting.Value == "true"
		}
	}
	return build
}

// String returns the build as one line of text.
func (b Build) String() string {
	text := fmt.Sprintf("%s (%s)", b.Module, b.Go)
	if b.Revision != "" {
		text += " at " + b.Revision
	}
	if b.Modified {
		text += ", modified"
	}
	return text
}

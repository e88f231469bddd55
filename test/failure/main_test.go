package failure_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// daemonPath is the path of the daemon's binary, built once for all tests.
var daemonPath string

func TestMain(m *testing.M) {
	if os.Getenv(recordedDiskEnv) != "" {
		os.Exit(runRecordedDaemon())
	}
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the daemon, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "pistachioport-failure-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	daemonPath = filepath.Join(dir, "pistachiod")
	build := exec.Command("go", "build", "-o", daemonPath, "../../cmd/pistachiod")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build pistachiod:", err)
		return 1
	}
	return m.Run()
}

package control_test

import (
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that the tests leak no goroutine.
func TestMain(m *testing.M) {
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if code == 0 {
		if err := goleak.Find(); err != nil {
			_, _ = os.Stderr.WriteString(err.Error() + "\n")
			code = 1
		}
	}
	os.Exit(code)
}

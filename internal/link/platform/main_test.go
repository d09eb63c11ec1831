package platform_test

import (
	"fmt"
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines are left after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

package option

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dghubble/sling"
)

// dumpTimeout bounds the request to one daemon.
const dumpTimeout = 3 * time.Second

// FetchDump reads the state dump of the daemon with a metrics address into sections.
func FetchDump(ctx context.Context, address string, sections any) error {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	r, err := sling.New().Base("http://" + address).Get("/dump").Request()
	if err != nil {
		return fmt.Errorf("address %q: %w", address, err)
	}
	response, err := sling.New().Do(r.WithContext(ctx), sections, nil)
	if err != nil {
		return fmt.Errorf("fetch dump of %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %d", address, response.StatusCode)
	}
	return nil
}

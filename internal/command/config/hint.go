package config

import (
	"errors"
	"fmt"

	"teaselloft/internal/model/message"
	"teaselloft/internal/settings/store"
)

// withRetryHint adds to an error with an unknown outcome how to repeat the command for the same change.
func withRetryHint(change store.Change, err error) error {
	if errors.Is(err, message.ErrUnavailable) && !errors.Is(err, store.ErrStale) {
		return fmt.Errorf("%w\nthe change may be in force; repeat the command with --from %d --change %s", err, change.Base, change.ID)
	}
	return err
}

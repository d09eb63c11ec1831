package config

import (
	"errors"
	"fmt"

	"teaselloft/internal/model/message"
	"teaselloft/internal/settings/store"
)

// explain adds how to find out what became of a change whose result is unknown.
func explain(change store.Change, err error) error {
	if errors.Is(err, message.ErrUnavailable) && !errors.Is(err, store.ErrStale) {
		return fmt.Errorf("%w\nthe change may be in force; repeat the command with --from %d --change %s", err, change.Base, change.ID)
	}
	return err
}

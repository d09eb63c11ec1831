package option

import (
	"context"

	"teaselloft/internal/link/platform"
	"teaselloft/internal/settings/store"

	"github.com/urfave/cli/v3"
)

// storeKey is the context key of a store that is used instead of the platform.
type storeKey struct{}

// WithStore returns a context in which Connect returns s instead of a client of the platform.
func WithStore(ctx context.Context, s store.Store) context.Context {
	return context.WithValue(ctx, storeKey{}, s)
}

// Connect returns the store that WithStore set, otherwise a client of the platform for --platform and --site.
func Connect(ctx context.Context, c *cli.Command) (store.Store, error) {
	if s, ok := ctx.Value(storeKey{}).(store.Store); ok {
		return s, nil
	}
	addresses, err := Addresses(c)
	if err != nil {
		return nil, err
	}
	site, err := Required(c, "site")
	if err != nil {
		return nil, err
	}
	return platform.NewStore(addresses, site)
}

// WithTimeout returns a context that is canceled after the duration of --limit.
func WithTimeout(ctx context.Context, c *cli.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.Duration("limit"))
}

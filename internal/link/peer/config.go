package peer

import (
	"context"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/model/port"
)

// ConfigItem implements port.ConfigPeers.
func (l *link) ConfigItem(ctx context.Context, address string, known int64) (port.ConfirmedItem, error) {
	resp, err := l.client(address).call(ctx, request{Call: callConfig, Version: known})
	if err == nil && resp.Config == nil {
		err = port.ErrNoConfig
	}
	if err != nil {
		return port.ConfirmedItem{}, err
	}
	return *resp.Config, nil
}

// configResponse answers another daemon that asks for the configuration.
func (l *link) configResponse(req request) response {
	source, ok := kernel.Use[port.ConfigSource](l.host)
	if !ok {
		return response{Number: req.Number, Code: errorCode(port.ErrNoConfig)}
	}
	item, err := source.ConfigItem(req.Version)
	if err != nil {
		return response{Number: req.Number, Code: errorCode(err)}
	}
	return response{Number: req.Number, Config: &item}
}

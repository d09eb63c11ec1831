package peer

import (
	"context"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/port"
)

// OwnersOf implements port.OwnerPeers.
func (l *link) OwnersOf(ctx context.Context, address string, epochs map[string]uint64) ([]cluster.Owner, error) {
	resp, err := l.client(address).call(ctx, request{Call: callOwners, Epochs: epochs})
	if err != nil {
		return nil, err
	}
	for _, o := range resp.Owners {
		if err := o.Validate(o.Duty); err != nil {
			return nil, err
		}
	}
	return resp.Owners, nil
}

// ownersResponse answers another daemon that asks for the owners of duties.
func (l *link) ownersResponse(req request) response {
	directory, ok := kernel.Use[port.Directory](l.host)
	if !ok {
		return response{Number: req.Number, Code: errorCode(port.ErrUnavailable)}
	}
	resp := response{Number: req.Number}
	for duty, o := range directory.Directory().Owners {
		if o.Epoch > req.Epochs[duty] {
			resp.Owners = append(resp.Owners, o)
		}
	}
	return resp
}

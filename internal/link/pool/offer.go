package pool

import (
	"context"
	"fmt"
	"slices"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/claim"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/port"
)

const (
	offerCapacity = 16                     // queued offers of other daemons
	offerTimeout  = 700 * time.Millisecond // for the takeover by one daemon; most take 100 ms
)

// offer is a duty that its owner offers because the store does not carry out its writes.
type offer struct {
	duty  string
	epoch uint64 // of the present owner
	reply *ring.Ring[offerResult]
}

type offerResult struct {
	owner cluster.Owner
	err   error
}

// TakeOver implements port.Successor.
func (l *link) TakeOver(ctx context.Context, duty string, epoch uint64) (cluster.Owner, error) {
	x := offer{duty: duty, epoch: epoch, reply: ring.NewReply[offerResult]()}
	if err := l.offers.Push(ctx, x); err != nil {
		return cluster.Owner{}, port.ErrUnavailable
	}
	result, err := x.reply.Pull(ctx)
	if err != nil {
		return cluster.Owner{}, port.ErrUnknownOutcome
	}
	return result.owner, result.err
}

// acceptOffer starts the takeover of an offered duty, unless the store doesn't serve this daemon either. Only run calls it.
func (l *link) acceptOffer(ctx context.Context, x offer, directory port.Directory, membership port.Membership, claiming map[string]bool) {
	answer := func(o cluster.Owner, err error) {
		_ = x.reply.Push(ctx, offerResult{owner: o, err: err}) // never full: a reply ring receives one answer
	}
	self, registered := membership.Self()
	outageStart, _ := directory.Outage()
	d := directory.Directory()
	known := d.Owners[x.duty]
	switch {
	case x.epoch == 0 || !slices.Contains(claim.Duties(d), x.duty):
		answer(cluster.Owner{}, port.ErrUnavailable)
	case known.Epoch > x.epoch:
		answer(known, nil) // another daemon was faster
	case known.Epoch < x.epoch || !registered || outageStart != 0 || claiming[x.duty] || l.owns(x.duty):
		answer(cluster.Owner{}, port.ErrUnavailable)
	default:
		claiming[x.duty] = true
		go func() {
			own, err := l.attemptTakeover(ctx, x.duty, self, directory, known)
			if err != nil {
				err = fmt.Errorf("%w: %w", port.ErrUnavailable, err)
			}
			answer(cluster.Owner{Duty: x.duty, Name: self.Name, Start: self.Start, Address: self.Address, Epoch: own.epoch}, err)
		}()
	}
}

// offerLoop offers an owned duty to other daemons when the store does not carry out its writes. The directory passes the
// record of the new owner on, so that this daemon steps down.
func (l *link) offerLoop(ctx context.Context, own ownership, health *storeHealth, directory port.Directory) {
	for {
		if _, err := health.due.Pull(ctx); err != nil {
			return
		}
		peers, ok := kernel.Use[port.Peers](l.host)
		if !ok {
			continue
		}
		var errs []error
		for _, to := range claim.Successors(directory.Directory(), own.self.Name, own.duty) {
			callCtx, cancel := context.WithTimeout(ctx, offerTimeout)
			next, err := peers.Offer(callCtx, to, own.duty, own.epoch)
			cancel()
			errs = append(errs, err)
			if err == nil {
				l.meters.offered.Inc(1)
				l.log.Info("duty handed to another daemon", "event", "duty.offered", "duty", own.duty, "epoch", own.epoch, "to", next.Name, "next", next.Epoch)
				directory.Learn(ctx, next)
				errs = nil
				break
			}
		}
		if len(errs) > 0 {
			l.log.Info("no daemon takes the duty", "event", "duty.kept", "duty", own.duty, "epoch", own.epoch, "asked", len(errs), "last", errs[len(errs)-1])
		}
	}
}

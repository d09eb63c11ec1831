package directory

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"teaselloft/internal/core/clock"
	"teaselloft/internal/core/guard"
	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/confirmation"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// Intervals and timeouts of the calls to other daemons.
const (
	peerPollInterval = confirmation.AskInterval / 2 // between two looks at whether a daemon is to be asked
	peerTimeout      = 300 * time.Millisecond
)

// ConfigConfirmed implements port.Directory.
func (l *link) ConfigConfirmed() (at time.Duration, ok bool) {
	return l.confirmation.Load().ConfirmedAt()
}

// ConfigItem implements port.ConfigSource.
func (l *link) ConfigItem(known int64) (port.ConfirmedItem, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at, ok := l.ConfigConfirmed()
	config := l.Directory().Config
	if !ok || config == nil {
		return port.ConfirmedItem{}, port.ErrNoConfig
	}
	answer := port.ConfirmedItem{Version: config.Version, Age: clock.SinceBoot() - at}
	if config.Version > known {
		answer.Item = l.configItem
	}
	return answer, nil
}

// dumpConfirmation returns the section about the confirmation of the configuration for the state dump.
func (l *link) dumpConfirmation() any {
	at, confirmed := l.ConfigConfirmed()
	age := clock.SinceBoot() - at
	var version int64
	if c := l.Directory().Config; c != nil {
		version = c.Version
	}
	return map[string]any{"version": version, "confirmed": confirmed, "age-ms": age.Milliseconds(), "failing": l.confirmation.Load().IsFailing()}
}

// withConfig returns a copy with a configuration, unless the current one is at least as new, and keeps its item for other
// daemons. The caller holds the mutex.
func (l *link) withConfig(d cluster.Directory, codec port.SiteCodec, item port.Item, c *site.Config) cluster.Directory {
	after := d.WithConfig(c)
	if after.Config == d.Config {
		return after
	}
	withoutKeys, err := codec.WithoutKeys(item)
	if err != nil {
		l.logInvalid(item, err)
	}
	l.configItem = withoutKeys
	return after
}

// confirm changes the state of the confirmation.
func (l *link) confirm(change func(confirmation.State) confirmation.State) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	after := change(*l.confirmation.Load())
	l.confirmation.Store(&after)
}

// confirmByStore records the result of a call of the watch of the operators' items, after its changes were applied.
func (l *link) confirmByStore(sent time.Duration, err error) {
	l.confirm(func(s confirmation.State) confirmation.State {
		switch {
		case err != nil:
			return s.WithStoreFailure()
		case l.unusedConfig != 0:
			return s.WithUnusedAnswer(clock.SinceBoot())
		}
		return s.WithStoreAnswer(sent, clock.SinceBoot())
	})
}

// watchWait returns how long a watch of a source waits for a change. Without accounts it doesn't depend on confirmations.
func (l *link) watchWait(s source) time.Duration {
	if c := l.Directory().Config; s.onAnswer != nil && c != nil && c.HasAccounts() {
		return l.confirmation.Load().WatchWait(l.settings.WatchWait.Value())
	}
	return l.settings.WatchWait.Value()
}

// runPeers asks other daemons for the owners of duties and the configuration while the store does not answer this one. In a
// deployment without accounts, a daemon that has a configuration asks for the owners only.
func (l *link) runPeers(ctx context.Context) error {
	peers, ok := kernel.Use[port.ConfigPeers](l.host)
	if !ok {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(peerPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		d := l.Directory()
		m, ok := l.nextPeer(d)
		if !ok {
			continue
		}
		if d.Config == nil || d.Config.HasAccounts() {
			l.askPeer(ctx, peers, m)
		}
		l.askOwners(ctx, m)
	}
}

// askOwners takes over what another daemon knows of the owners of duties. Otherwise the callers of this one would be sent to
// owners that have handed their duties over.
func (l *link) askOwners(ctx context.Context, m cluster.Member) {
	peers, ok := kernel.Use[port.OwnerPeers](l.host)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	epochs := map[string]uint64{}
	for duty, o := range l.Directory().Owners {
		epochs[duty] = o.Epoch
	}
	owners, err := peers.OwnersOf(callCtx, m.Address, epochs)
	if err != nil {
		l.log.Debug("peer does not tell the owners", "event", "owners.unanswered", "peer", m.Name, "error", err)
		return
	}
	for _, o := range owners {
		l.log.Info("owner learned from a peer", "event", "owners.peer", "peer", m.Name, "duty", o.Duty, "owner", o.Name, "epoch", o.Epoch)
		l.Learn(ctx, o)
	}
}

// nextPeer returns the daemon to ask now.
func (l *link) nextPeer(d cluster.Directory) (cluster.Member, bool) {
	var self string
	if membership, ok := kernel.Use[port.Membership](l.host); ok {
		m, _ := membership.Self()
		self = m.Name
	}
	var peer string
	var ok bool
	l.confirm(func(s confirmation.State) confirmation.State {
		s, peer, ok = s.NextPeer(clock.SinceBoot(), l.settings.WatchWait.Value(), self, slices.Collect(maps.Keys(d.Members)))
		return s
	})
	return d.Members[peer], ok
}

// askPeer takes over the configuration of another daemon if it is confirmed and no older than the current one.
func (l *link) askPeer(ctx context.Context, peers port.ConfigPeers, m cluster.Member) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var known int64
	if c := l.Directory().Config; c != nil {
		known = c.Version
	}
	asked := clock.SinceBoot()
	answer, err := peers.ConfigItem(callCtx, m.Address, known)
	if err != nil {
		l.log.Debug("peer has no configuration", "event", "config.unanswered", "peer", m.Name, "error", err)
		return
	}
	if answer.Age < 0 || answer.Age > confirmation.MaxAge || answer.Version < known {
		return
	}
	if answer.Version > known && !l.takeConfig(ctx, answer, m) {
		return
	}
	l.confirm(func(s confirmation.State) confirmation.State { return s.WithPeerAnswer(asked, answer.Age) })
}

// errPeerConfig is the error of an answer whose item does not hold the configuration that the answer describes.
var errPeerConfig = errors.New("no such configuration in the item")

// takeConfig applies the newer configuration of another daemon and returns false if it is not in force then.
func (l *link) takeConfig(ctx context.Context, answer port.ConfirmedItem, m cluster.Member) bool {
	var c *site.Config
	codec := l.codec()
	var faults error // about single entries, if there is a configuration
	err := guard.Call(func() { c, _, faults = codec.Config(answer.Item) })
	if err == nil && (c == nil || c.Version != answer.Version) {
		err = errors.Join(errPeerConfig, faults)
	}
	if err != nil {
		l.invalid.Inc(1)
		l.log.Warn("invalid configuration of a peer", "event", "config.unreadable", "peer", m.Name, "version", answer.Version, "error", err)
		return false
	}
	taken := false
	l.update(ctx, func(d cluster.Directory) cluster.Directory {
		after := l.withConfig(d, codec, answer.Item, c)
		taken = after.Config == c
		return after
	})
	if taken {
		l.fromPeers.Inc(1)
		l.log.Info("configuration taken from a peer", "event", "config.peer", "peer", m.Name, "version", c.Version, "age", answer.Age, "faults", faults)
	}
	current := l.Directory().Config
	return current != nil && current.Version >= answer.Version
}

package platform

import (
	"crypto/rand"
	"fmt"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	"teaselloft/internal/protocol/etcd"
	"teaselloft/internal/protocol/instances"
)

// Default settings, in ms.
const (
	DefaultTimeout        = 2000 // the TTL of the lease: a keep-alive answered later proves nothing
	DefaultResolveTimeout = 5000 // leaves half of a request's default deadline of 10 s for running it
	DefaultTTL            = 2000
	DefaultRenewInterval  = 500
	DefaultPollInterval   = 1000
)

// Settings are the settings section of the plug-in.
type Settings struct {
	Addresses       []string `json:"addresses"` // base addresses of the key-value store
	ListAddresses   []string `json:"instances"` // base addresses of the instance list; Addresses by default
	PeerAddress     string   `json:"entry"`     // IP address and port for other entry instances
	OperatorAddress string   `json:"operator"`  // IP address and port for operators
	Timeout         int      `json:"timeout"`   // of a store call, in ms
	ResolveTimeout  int      `json:"resolve"`   // ms after which a write without a known outcome fails
	TTL             int      `json:"ttl"`       // time to live of the lease, in ms
	RenewInterval   int      `json:"renew"`     // ms between keep-alives
	PollInterval    int      `json:"poll"`      // ms between reads of the instance list
}

func init() {
	defaults := Settings{
		Timeout:        DefaultTimeout,
		ResolveTimeout: DefaultResolveTimeout,
		TTL:            DefaultTTL,
		RenewInterval:  DefaultRenewInterval,
		PollInterval:   DefaultPollInterval,
	}
	kernel.Register("platform", defaults, build)
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	client, err := etcd.New(s.Addresses, ms(s.Timeout))
	if err != nil {
		return nil, fmt.Errorf("addresses of the key-value store: %w", err)
	}
	if len(s.ListAddresses) == 0 {
		s.ListAddresses = s.Addresses
	}
	list, err := instances.New(s.ListAddresses)
	if err != nil {
		return nil, fmt.Errorf("addresses of the instance list: %w", err)
	}
	store := &Store{client: client, site: h.Settings.Site, resolveTimeout: ms(s.ResolveTimeout), log: h.Log, counters: newCounters(h.Metrics)}
	self := newIdentity(record.Member{
		Entry:       h.Settings.Name,
		Incarnation: rand.Text(),
		Zone:        h.Settings.Zone,
		Address:     s.PeerAddress,
		Operator:    s.OperatorAddress,
	})
	kernel.Provide[message.Store](h, store)
	kernel.Provide[message.Identity](h, self)
	lease := newLeaseDuty(h, store, self, s)
	watch := newWatchDuty(h, store)
	duties := []kernel.Duty{
		{Name: "platform.lease", Run: lease.run},
		{Name: "platform.member", Run: newMemberDuty(h, store, self).run},
		{Name: "platform.watch", Run: watch.run},
		{Name: "platform.list", Run: newListDuty(h, list, ms(s.PollInterval)).run},
	}
	for i := range callDuties {
		name := fmt.Sprintf("platform.call.%d", i)
		duties = append(duties, kernel.Duty{Name: name, Run: newCallDuty(h, store, s).run})
	}
	h.OnStop(kernel.PhaseRelease, lease.stop)
	h.RegisterDump("platform", func() any {
		return dump{Self: self.Self(), Lease: store.lease.Load(), Revision: watch.revision.Load(), Keys: watch.keys.Load()}
	})
	return duties, nil
}

// dump is the section of the plug-in in the state dump.
type dump struct {
	Self     record.Member `json:"self"`
	Lease    int64         `json:"lease"`
	Revision int64         `json:"revision"` // up to which every change was published
	Keys     int64         `json:"keys"`
}

func ms(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}

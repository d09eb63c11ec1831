package kernel

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"github.com/oklog/run"
)

// errStopRequested ends the run group after a graceful stop.
var errStopRequested = errors.New("stop requested")

// Kernel runs one process, made of the plug-ins that its settings name.
type Kernel struct {
	host   *Host
	duties []Duty
}

// New builds the plug-ins named in the settings in alphabetical order.
//
// Its error wraps ErrSettings when a plug-in does not exist, and otherwise the error of the plug-in.
func New(s Settings, log *slog.Logger) (*Kernel, error) {
	k := &Kernel{host: newHost(s, log)}
	for _, name := range slices.Sorted(maps.Keys(s.Plugins)) {
		p, ok := lookup(name)
		if !ok {
			return nil, fmt.Errorf("%w: plug-in %q does not exist", ErrSettings, name)
		}
		duties, err := p.Build(k.host, s.Plugins[name])
		if err != nil {
			return nil, fmt.Errorf("build plug-in %q: %w", name, err)
		}
		k.duties = append(k.duties, duties...)
	}
	k.duties = append(k.duties, k.host.duties...)
	return k, nil
}

// Host returns the host shared by the plug-ins.
func (k *Kernel) Host() *Host {
	return k.host
}

// Run runs every duty until ctx is done or a duty returns.
//
// When ctx is done, the stop hooks run before the duties are cancelled. When a duty returns, the other duties are
// cancelled at once, while the stop hooks run. Run returns nil after a stop by ctx, and otherwise the error of the
// duty that returned first.
func (k *Kernel) Run(ctx context.Context) error {
	var group run.Group
	for _, d := range k.duties {
		k.addDuty(&group, d)
	}
	stopCtx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-stopCtx.Done()
		k.stop()
		return errStopRequested
	}, func(error) { cancel() })
	k.host.Log.Info("started", "event", "start", "duties", len(k.duties))
	err := group.Run()
	k.host.Log.Info("stopped", "event", "stop", "reason", err)
	if errors.Is(err, errStopRequested) {
		return nil
	}
	return err
}

// stop runs the hooks of a graceful stop within DefaultStopTimeout.
func (k *Kernel) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), DefaultStopTimeout)
	defer cancel()
	k.host.runStopHooks(ctx)
}

// addDuty adds d with a context independent of Run's, so that duties keep running while the stop hooks drain.
func (k *Kernel) addDuty(group *run.Group, d Duty) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		err := d.Run(ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			return fmt.Errorf("duty %q: %w", d.Name, err)
		}
		return err
	}, func(error) { cancel() })
}

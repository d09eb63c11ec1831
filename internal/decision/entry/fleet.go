package entry

import (
	"teaselloft/internal/core/copymap"
	"teaselloft/internal/decision/correct"
	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/decision/ownership"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// onConfigChanged applies a configuration if it is newer than the current one.
func (t *step) onConfigChanged(f fleet.Fleet) {
	if f.Version <= t.fleet.Version {
		return
	}
	t.fleet = f
	t.nameIndex = correct.New(f)
	t.ownershipStep(ownership.ServicesChanged{Now: t.now, Names: t.serviceNames()})
	t.configureDispatches()
	for _, name := range f.Names() {
		if o, ok := t.ownership.Owner(name); ok {
			t.updateOwner(o)
		}
	}
	t.updateStaticShares()
}

func (t *step) configureDispatches() {
	for service := range t.dispatch {
		t.configureDispatch(service)
	}
}

// configureDispatch passes the settings and executors of a service to its dispatch decision.
func (t *step) configureDispatch(service string) {
	v, ok := t.fleet.Service(service)
	if !ok {
		v = fleet.Service{Name: service}
	}
	t.dispatchStep(service, dispatch.Configure{Now: t.now, Service: v, Executors: t.executors(v)})
}

// onInstanceChanged stores an instance record and reconfigures the owned services of the instance's pool, and of its
// previous pool if it moved.
func (t *step) onInstanceChanged(i record.Instance, deleted bool) {
	old := t.instances[i.ID]
	if deleted {
		t.instances = copymap.Without(t.instances, i.ID)
	} else {
		t.instances = copymap.With(t.instances, i.ID, i)
	}
	for service := range t.dispatch {
		if v, ok := t.fleet.Service(service); ok && (v.Pool == i.Pool || v.Pool == old.Pool) {
			t.configureDispatch(service)
		}
	}
}

// onInstancesListed replaces the instance list. If it differs, the members that are now known to be dead are reported
// and the owned services are reconfigured.
func (t *step) onInstancesListed(l message.InstancesListed) {
	listed := make(map[string]message.Listing, len(l.Instances))
	changed := t.listings == nil
	for _, i := range l.Instances {
		listed[i.ID] = i
		if old, ok := t.listings[i.ID]; !ok || old.State != i.State {
			changed = true
		}
	}
	changed = changed || len(listed) != len(t.listings)
	t.listings = listed
	if !changed {
		return
	}
	t.reportDeadToOwnership()
	t.configureDispatches()
	for service := range t.dispatch {
		t.reportDeadToDispatch(service)
	}
}

// onInspectInstance asks the owners of the services on an instance for their requests in flight.
func (t *step) onInspectInstance(instance string) {
	for _, v := range t.fleet.Services {
		for _, c := range t.executors(v) {
			if c.Executor.ID != instance {
				continue
			}
			if o, ok := t.ownership.Owner(v.Name); ok && o.Entry != "" {
				t.sendFrame(o.Entry, message.LoadRequest{Service: v.Name})
			}
		}
	}
}

// reportDeadToOwnership tells the ownership decision which members are dead, so that they are removed from the
// owner records.
func (t *step) reportDeadToOwnership() {
	for _, service := range t.serviceNames() {
		for _, entry := range t.shareHolders(service) {
			if t.dead(entry) {
				t.ownershipStep(ownership.MemberDead{Now: t.now, Entry: entry})
			}
		}
	}
}

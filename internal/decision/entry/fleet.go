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

// configure brings a configuration into force unless a newer one is.
func (t *step) configure(f fleet.Fleet) {
	if f.Version <= t.fleet.Version {
		return
	}
	t.fleet = f
	t.index = correct.New(f)
	t.memberStep(ownership.ServicesChanged{Now: t.now, Names: t.services()})
	t.configureAll()
	for _, name := range f.Names() {
		if o, ok := t.member.Owner(name); ok {
			t.owned(o)
		}
	}
	t.updateStatic()
}

func (t *step) configureAll() {
	for service := range t.dispatch {
		t.configureDispatch(service)
	}
}

// configureDispatch tells a service's dispatch its settings and executors.
func (t *step) configureDispatch(service string) {
	v, ok := t.fleet.Service(service)
	if !ok {
		v = fleet.Service{Name: service}
	}
	t.dispatchStep(service, dispatch.Configure{Now: t.now, Service: v, Executors: t.executors(v)})
}

func (t *step) instanceChanged(i record.Instance, deleted bool) {
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

// list takes over the instance list and reconfigures the services whose executors changed.
func (t *step) list(l message.InstancesListed) {
	listed := make(map[string]message.Listing, len(l.Instances))
	changed := t.listed == nil
	for _, i := range l.Instances {
		listed[i.ID] = i
		if old, ok := t.listed[i.ID]; !ok || old.State != i.State {
			changed = true
		}
	}
	changed = changed || len(listed) != len(t.listed)
	t.listed = listed
	if !changed {
		return
	}
	t.noteGone()
	t.configureAll()
	for service := range t.dispatch {
		t.goneMembers(service)
	}
}

// inspect asks the owner of an instance's service for its requests in flight.
func (t *step) inspect(instance string) {
	for _, v := range t.fleet.Services {
		for _, c := range t.executors(v) {
			if c.Executor.ID != instance {
				continue
			}
			if o, ok := t.member.Owner(v.Name); ok && o.Entry != "" {
				t.frame(o.Entry, message.LoadRequest{Service: v.Name})
			}
		}
	}
}

// noteGone tells the ownership decision which members are dead, so that owner records stop naming them.
func (t *step) noteGone() {
	for _, service := range t.services() {
		for _, entry := range t.sharers(service) {
			if t.gone(entry) {
				t.memberStep(ownership.MemberDead{Now: t.now, Entry: entry})
			}
		}
	}
}

package follow

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Begin starts following.
type Begin struct{}

// Listed brings all keys, read no earlier than a revision of the store.
type Listed struct {
	Revision int64
	Keys     []Change
}

// Unlisted says that the keys could not be read.
type Unlisted struct{}

// Changed brings the changes up to a revision in order; there may be none.
type Changed struct {
	Revision int64
	Changes  []Change
}

// Got brings the pinned key, read after the watch broke.
type Got struct{ Change Change }

// Broken says that the watch ended and can resume.
type Broken struct{}

// Compacted says that the watch cannot resume, as the store forgot the changes.
type Compacted struct{}

func (Begin) message()     {}
func (Listed) message()    {}
func (Unlisted) message()  {}
func (Changed) message()   {}
func (Got) message()       {}
func (Broken) message()    {}
func (Compacted) message() {}

// Change is a new value of a key or its deletion.
type Change struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// List reads all keys.
type List struct{}

// Get reads the pinned key.
type Get struct{ Key string }

// Watch watches the keys from a revision on.
type Watch struct{ Start int64 }

// Pause waits before the next effect.
type Pause struct{}

// Publish hands a change to the subscribers.
type Publish struct{ Change Change }

func (List) effect()    {}
func (Get) effect()     {}
func (Watch) effect()   {}
func (Pause) effect()   {}
func (Publish) effect() {}

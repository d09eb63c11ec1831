package follow

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Begin starts with a list of the keys.
type Begin struct{}

// Listed is the result of List: all keys, none read before the given revision of the store.
type Listed struct {
	Revision int64
	Keys     []Change
}

// Unlisted reports that List failed.
type Unlisted struct{}

// Changed brings the changes up to a revision from the watch, in order. There may be none.
type Changed struct {
	Revision int64
	Changes  []Change
}

// Got is the result of Get.
type Got struct{ Change Change }

// Broken reports that the watch ended and can be resumed.
type Broken struct{}

// Compacted reports that the watch cannot be resumed, because the store has compacted the changes.
type Compacted struct{}

func (Begin) message()     {}
func (Listed) message()    {}
func (Unlisted) message()  {}
func (Changed) message()   {}
func (Got) message()       {}
func (Broken) message()    {}
func (Compacted) message() {}

// Change is a new value of a key, or its deletion.
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

// List asks for all keys.
type List struct{}

// Get asks for one key. A key that does not exist has no result.
type Get struct{ Key string }

// Watch asks for a watch of the keys from a revision on.
type Watch struct{ Start int64 }

// Pause delays the effects after it.
type Pause struct{}

// Publish sends a change to the subscribers.
type Publish struct{ Change Change }

func (List) effect()    {}
func (Get) effect()     {}
func (Watch) effect()   {}
func (Pause) effect()   {}
func (Publish) effect() {}

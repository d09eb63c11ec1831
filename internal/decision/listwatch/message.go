package listwatch

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Start is the first message. It makes Step list all keys and then watch them.
type Start struct{}

// ListResult is the result of List: all keys, none read before the given revision of the store.
type ListResult struct {
	Revision int64
	Keys     []Change
}

// ListFailed reports that List failed.
type ListFailed struct{}

// WatchResponse delivers the changes from the watch up to a revision, in order. It may have none.
type WatchResponse struct {
	Revision int64
	Changes  []Change
}

// GetResult is the result of Get.
type GetResult struct{ Change Change }

// WatchInterrupted reports that the watch ended and can be resumed.
type WatchInterrupted struct{}

// WatchCompacted reports that the watch cannot be resumed, because the store has compacted the changes.
type WatchCompacted struct{}

func (Start) message()            {}
func (ListResult) message()       {}
func (ListFailed) message()       {}
func (WatchResponse) message()    {}
func (GetResult) message()        {}
func (WatchInterrupted) message() {}
func (WatchCompacted) message()   {}

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

// Backoff delays the effects after it.
type Backoff struct{}

// Publish sends a change to the subscribers.
type Publish struct{ Change Change }

func (List) effect()    {}
func (Get) effect()     {}
func (Watch) effect()   {}
func (Backoff) effect() {}
func (Publish) effect() {}

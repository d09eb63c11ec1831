package message

// Verdict is what the caller link does next with a request.
//
//sumtype:decl
type Verdict interface{ verdict() }

// Send tells the caller link to send the request to an executor.
type Send struct {
	Executor   Executor
	Service    string
	Correction string // "misspelled>service (rule)", empty for an exact name
	Config     uint64 // configuration version of the decision
	Owner      string
	Epoch      uint64
}

// Refuse tells the caller link to answer with a refusal; the request is not run.
type Refuse struct {
	Refusal Refusal
	Config  uint64
	Owner   string
}

// Replay tells the caller link to answer with a stored answer to the same idempotency key.
type Replay struct {
	Answer Answer
	Config uint64
}

// Settle tells the caller link that a failed send is not retried and its own outcome stands.
type Settle struct{}

func (Send) verdict()   {}
func (Refuse) verdict() {}
func (Replay) verdict() {}
func (Settle) verdict() {}

// Answer is a whole answer of an executor, kept for a repeated idempotency key.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

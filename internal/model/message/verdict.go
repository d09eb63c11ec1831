package message

// Verdict tells the caller link how to proceed with a request.
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

// Refuse tells the caller link to answer with a refusal. The request does not run.
type Refuse struct {
	Refusal Refusal
	Config  uint64
	Owner   string
}

// Replay tells the caller link to answer with the stored answer for the idempotency key.
type Replay struct {
	Answer Answer
	Config uint64
}

// NoRetry tells the caller link not to retry a failed send and to report its outcome.
type NoRetry struct{}

func (Send) verdict()    {}
func (Refuse) verdict()  {}
func (Replay) verdict()  {}
func (NoRetry) verdict() {}

// Answer is a complete answer of an executor, stored for repeated requests with the same idempotency key.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

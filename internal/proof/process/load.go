package process

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"teaselloft/internal/standin/endpoint"
)

// Call records one attempt of a request as seen by its caller.
type Call struct {
	Client     int
	Entry      int
	Service    int
	Key        string // empty for an idempotent request
	Path       string
	Start, End time.Duration // since the start of the load
	Status     int           // 0 if the connection failed
	Outcome    string        // header Teaselloft-Outcome, empty if the connection failed
	Reason     string        // body of a refusal, or the connection error
	Answer     endpoint.Answer
	Mismatch   string // part of the answer that does not match the request, empty if all match
}

// Load configures clients that send requests until a context is canceled.
type Load struct {
	System          *System
	Clients         int
	ThinkTime       time.Duration // pause between a client's requests
	Seed            uint64
	MaxAttempts     int                    // per request, all with the same idempotency key
	IdempotentShare float64                // fraction of requests without an idempotency key, 0 to 1
	PickEntry       func(c *rand.Rand) int // returns the index of the entry instance for the next attempt
}

// recorder collects calls from all clients.
type recorder struct {
	mutex sync.Mutex
	start time.Time
	calls []Call
}

func (r *recorder) add(c Call) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.calls = append(r.calls, c)
}

// callTimeout limits one HTTP request.
const callTimeout = 5 * time.Second

// Run sends requests until ctx is canceled and returns the calls in no particular order.
func (l Load) Run(ctx context.Context) []Call {
	r := &recorder{start: time.Now()}
	var group sync.WaitGroup
	for i := range l.Clients {
		group.Go(func() { l.runClient(ctx, i, r) })
	}
	group.Wait()
	return r.calls
}

func (l Load) runClient(ctx context.Context, client int, r *recorder) {
	random := rand.New(rand.NewPCG(l.Seed, uint64(client)))
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	h := &http.Client{Transport: transport, Timeout: callTimeout}
	for n := 0; ctx.Err() == nil; n++ {
		c := Call{Client: client, Service: random.IntN(l.System.options.Services), Path: fmt.Sprintf("/work/%d-%d", client, n)}
		if random.Float64() >= l.IdempotentShare {
			c.Key = fmt.Sprintf("key-%d-%d-%d", l.Seed, client, n)
		}
		l.sendUntilAnswered(ctx, h, random, c, r)
		time.Sleep(l.ThinkTime)
	}
}

// sendUntilAnswered sends a request up to MaxAttempts times, through an entry instance picked anew each time,
// until it is answered.
func (l Load) sendUntilAnswered(ctx context.Context, h *http.Client, random *rand.Rand, c Call, r *recorder) {
	for range l.MaxAttempts {
		c.Entry = l.PickEntry(random)
		c.Start = time.Since(r.start)
		done := l.send(h, c)
		done.End = time.Since(r.start)
		r.add(done)
		if done.Outcome == "answered" || ctx.Err() != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// send makes one attempt. The end of the load does not cancel it.
func (l Load) send(h *http.Client, c Call) Call {
	method, body := http.MethodGet, ""
	if c.Key != "" {
		method, body = http.MethodPost, "body of "+c.Path
	}
	address := l.System.EntryAddress(c.Entry) + "/" + ServiceName(c.Service) + c.Path
	request, err := http.NewRequestWithContext(context.Background(), method, address, strings.NewReader(body))
	if err != nil {
		c.Reason = err.Error()
		return c
	}
	if c.Key != "" {
		request.Header.Set("Idempotency-Key", c.Key)
		request.GetBody = nil // prevents net/http from retrying the request
	}
	request.Header.Set("Teaselloft-Caller", fmt.Sprintf("client-%d", c.Client))
	response, err := h.Do(request)
	if err != nil {
		c.Reason = err.Error()
		return c
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		c.Reason = err.Error()
		return c
	}
	c.Status = response.StatusCode
	c.Outcome = response.Header.Get("Teaselloft-Outcome")
	if c.Outcome != "answered" {
		c.Reason = string(data)
		return c
	}
	if err := json.Unmarshal(data, &c.Answer); err != nil {
		c.Mismatch = fmt.Sprintf("answer is not valid JSON: %v: %q", err, data)
		return c
	}
	c.Mismatch = mismatch(c, body)
	return c
}

// mismatch describes the first part of an answer that does not match its request, or returns an empty string.
func mismatch(c Call, body string) string {
	hash := sha256.Sum256([]byte(body))
	switch {
	case c.Answer.Service != ServiceName(c.Service):
		return fmt.Sprintf("answer of service %q", c.Answer.Service)
	case !strings.HasSuffix(c.Answer.Path, c.Path):
		return fmt.Sprintf("answer to path %q", c.Answer.Path)
	case c.Answer.Hash != hex.EncodeToString(hash[:]):
		return "answer to another body"
	case c.Key != "" && strings.Trim(c.Answer.Key, `"`) != c.Key:
		return fmt.Sprintf("answer to key %q", c.Answer.Key)
	}
	return ""
}

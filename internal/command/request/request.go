package request

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"

	"github.com/urfave/cli/v3"
)

const (
	// maxBodySize is how much of an answer's body is shown, in bytes: the limit of entry instances for request bodies.
	maxBodySize = 1 << 20
	// maxTimeout is the longest Request-Timeout that entry instances accept.
	maxTimeout = 30 * time.Second
	// timeoutMargin is how long the command waits for the answer beyond the request's timeout.
	timeoutMargin = 5 * time.Second
)

// errNoSuccess is returned unless the outcome is "answered" with a status below 400.
var errNoSuccess = errors.New("request was not answered with success")

func init() {
	command.RegisterFunc(func() *cli.Command {
		return &cli.Command{
			Name:      "request",
			Usage:     "send one request through an entry instance",
			ArgsUsage: "METHOD NAME/PATH",
			Description: "Sends the request once; it is never repeated. The exit code is 0 only when the\n" +
				"request was answered with a status below 400.",
			Flags: []cli.Flag{
				&cli.StringFlag{
					Name: "entry", Usage: "`ADDRESS` of an entry instance's listener for callers",
					Sources: cli.EnvVars("TEASELLOFT_ENTRY"),
				},
				&cli.StringFlag{Name: "data", Usage: "body `TEXT`, or @FILE for the content of a file"},
				&cli.StringFlag{Name: "key", Usage: "Idempotency-Key `KEY`, without which the entry instance makes one"},
				&cli.IntFlag{Name: "priority", Usage: "`URGENCY` from 0, the most urgent, to 7", Value: defaultUrgency},
				&cli.DurationFlag{Name: "timeout", Usage: "longest `TIME` until the answer", Value: defaultTimeout},
				&cli.StringFlag{Name: "fleet", Usage: "`FLEET` that is asked for"},
				option.Output(),
			},
			Action: send,
		}
	})
}

// Defaults of --priority and --timeout, and the least urgent priority.
const (
	defaultUrgency = 3
	defaultTimeout = 10 * time.Second
	maxUrgency     = 7
)

// result is the answer to the request.
type result struct {
	Status     int    `json:"status"`
	Outcome    string `json:"outcome"`
	Correction string `json:"correction,omitempty"`
	Config     string `json:"config,omitempty"`
	Owner      string `json:"owner,omitempty"`
	RetryAfter string `json:"retryAfter,omitempty"`
	Body       string `json:"body"`
}

func send(ctx context.Context, c *cli.Command) error {
	arguments, err := option.Arguments(c, 2, 2)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout")+timeoutMargin)
	defer cancel()
	r, err := newRequest(ctx, c, arguments[0], arguments[1])
	if err != nil {
		return err
	}
	got, err := do(r)
	if err != nil {
		return err
	}
	t := option.Table{
		Header: []string{"status", "outcome", "correction", "config", "owner", "retry after"},
		Rows: [][]string{{
			strconv.Itoa(got.Status), option.Dash(got.Outcome), option.Dash(got.Correction), option.Dash(got.Config), option.Dash(got.Owner), option.Dash(got.RetryAfter),
		}},
	}
	if err := option.Print(c, got, t, option.Table{Rows: [][]string{{strings.TrimRight(got.Body, "\n")}}}); err != nil {
		return err
	}
	if got.Status >= http.StatusBadRequest || got.Outcome != "answered" {
		return fmt.Errorf("%w: status %d, outcome %q", errNoSuccess, got.Status, got.Outcome)
	}
	return nil
}

func newRequest(ctx context.Context, c *cli.Command, method, path string) (*http.Request, error) {
	entry, err := option.Required(c, "entry")
	if err != nil {
		return nil, err
	}
	if !strings.Contains(entry, "://") {
		entry = "http://" + entry
	}
	timeout, urgency := c.Duration("timeout"), c.Int("priority")
	if timeout <= 0 || timeout > maxTimeout {
		return nil, fmt.Errorf("flag --timeout must be above 0 and at most %v, got %v", maxTimeout, timeout)
	}
	if urgency < 0 || urgency > maxUrgency {
		return nil, fmt.Errorf("flag --priority must be from 0 to %d, got %d", maxUrgency, urgency)
	}
	body, err := readBody(c.String("data"))
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, strings.ToUpper(method), entry+"/"+strings.TrimPrefix(path, "/"), body)
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	r.Header.Set("Priority", fmt.Sprintf("u=%d", urgency))
	r.Header.Set("Request-Timeout", strconv.FormatFloat(timeout.Seconds(), 'f', -1, 64))
	if key := c.String("key"); key != "" {
		r.Header.Set("Idempotency-Key", strconv.Quote(key))
	}
	if fleet := c.String("fleet"); fleet != "" {
		r.Header.Set("Teaselloft-Fleet", fleet)
	}
	return r, nil
}

func readBody(data string) (io.Reader, error) {
	path, ok := strings.CutPrefix(data, "@")
	switch {
	case data == "":
		return http.NoBody, nil
	case !ok:
		return strings.NewReader(data), nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return bytes.NewReader(content), nil
}

// do sends the request on a new connection, because net/http may repeat a request whose reused connection was closed.
func do(r *http.Request) (result, error) {
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Do(r)
	if err != nil {
		return result{}, fmt.Errorf("send request, its outcome is unknown: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodySize))
	if err != nil {
		return result{}, fmt.Errorf("read answer of status %d: %w", response.StatusCode, err)
	}
	h := response.Header
	return result{
		Status: response.StatusCode, Outcome: h.Get("Teaselloft-Outcome"), Correction: h.Get("Teaselloft-Correction"),
		Config: h.Get("Teaselloft-Config"), Owner: h.Get("Teaselloft-Owner"), RetryAfter: h.Get("Retry-After"), Body: string(body),
	}, nil
}

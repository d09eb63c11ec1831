package process

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"teaselloft/internal/command/option"

	"github.com/dghubble/sling"
	"github.com/urfave/cli/v3"
)

// failure is the body of a refused request to an operator listener.
type failure struct {
	Error string `json:"error"`
}

// ask gets a path of the operator listener behind --operator; query is a struct with url tags, or nil.
func ask(ctx context.Context, c *cli.Command, path string, query any) (json.RawMessage, error) {
	address, err := option.Required(c, "operator")
	if err != nil {
		return nil, err
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	ctx, cancel := option.Limit(ctx, c)
	defer cancel()
	call := sling.New().Base(address).Get(path).QueryStruct(query)
	if token := c.String("token"); token != "" {
		call.Set("Authorization", "Bearer "+token)
	}
	r, err := call.Request()
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", address, err)
	}
	var body json.RawMessage
	var refused failure
	response, err := call.Do(r.WithContext(ctx), &body, &refused)
	if err != nil {
		return nil, fmt.Errorf("ask operator listener: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("operator listener %s answered %d: %s", address, response.StatusCode, refused.Error)
	}
	return body, nil
}

// askFor gets a path and decodes the answer.
func askFor[T any](ctx context.Context, c *cli.Command, path string, query any) (T, error) {
	var value T
	body, err := ask(ctx, c, path, query)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, fmt.Errorf("answer of operator listener: %w", err)
	}
	return value, nil
}

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

// errorBody is the body of an operator listener's error answer.
type errorBody struct {
	Error string `json:"error"`
}

// get requests a path from the operator listener at --operator. query is a struct with url tags, or nil.
func get(ctx context.Context, c *cli.Command, path string, query any) (json.RawMessage, error) {
	address, err := option.Required(c, "operator")
	if err != nil {
		return nil, err
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	ctx, cancel := option.WithTimeout(ctx, c)
	defer cancel()
	builder := sling.New().Base(address).Get(path).QueryStruct(query)
	if token := c.String("token"); token != "" {
		builder.Set("Authorization", "Bearer "+token)
	}
	r, err := builder.Request()
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", address, err)
	}
	var body json.RawMessage
	var failure errorBody
	response, err := builder.Do(r.WithContext(ctx), &body, &failure)
	if err != nil {
		return nil, fmt.Errorf("query operator listener: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("operator listener %s answered %d: %s", address, response.StatusCode, failure.Error)
	}
	return body, nil
}

// getJSON requests a path and decodes the answer.
func getJSON[T any](ctx context.Context, c *cli.Command, path string, query any) (T, error) {
	var value T
	body, err := get(ctx, c, path, query)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, fmt.Errorf("decode answer of operator listener: %w", err)
	}
	return value, nil
}

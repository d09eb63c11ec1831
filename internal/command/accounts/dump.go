package accounts

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"

	"teaselloft/internal/command/option"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/decision/quota"
	"teaselloft/internal/decision/schedule"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	"github.com/rcrowley/go-metrics"
)

// Dump is the part of a daemon's state dump that is shown. A section that the dump lacks is nil.
type Dump struct {
	Source string `json:"-"` // address or file

	Duties    map[string]json.RawMessage `json:"pool"`
	Directory *directory                 `json:"follow"`
	Desk      *struct {
		Refusals []port.Refusals `json:"refusals"`
	} `json:"desk"`
}

// directory is what a daemon knows of the site.
type directory struct {
	Config *struct {
		Version  int64
		Pools    []site.Pool
		Accounts []site.Account
	}
	Owners  map[string]owner
	Members map[string]struct{}
}

// owner is the record of the owner of a duty.
type owner struct {
	Name  string
	Epoch uint64
}

// duties are the duties of a daemon.
type duties struct {
	pools  map[string]schedule.Summary
	quotas *quota.Summary // nil if it does not own the fleet
}

// errNoPools means that a dump isn't one of a daemon.
var errNoPools = errors.New("the dump has no section \"pool\"")

// duties decodes the duties in a dump.
func (d Dump) duties() (duties, error) {
	x := duties{pools: map[string]schedule.Summary{}}
	for name, data := range d.Duties {
		if name == cluster.FleetDuty {
			var fleet struct {
				Quotas *quota.Summary `json:"quotas"`
			}
			if err := json.Unmarshal(data, &fleet); err != nil {
				return x, fmt.Errorf("duty %s: %w", name, err)
			}
			x.quotas = fleet.Quotas
			continue
		}
		var p schedule.Summary
		if err := json.Unmarshal(data, &p); err != nil {
			return x, fmt.Errorf("duty %s: %w", name, err)
		}
		x.pools[name] = p
	}
	return x, nil
}

// fetchAtOnce is how many daemons are asked at the same time, since one that does not answer takes the whole timeout.
const fetchAtOnce = 8

// readDumps reads the dumps in files or of daemons, or those in input if no argument is given. It returns what could not be
// read as an error by source. The order of the dumps is that of the arguments.
func readDumps(ctx context.Context, arguments []string, input io.Reader) (dumps []Dump, failed map[string]error) {
	failed = map[string]error{}
	if len(arguments) == 0 {
		dumps, err := decodeDumps(input, "standard input")
		if err != nil {
			failed["standard input"] = err
		}
		return dumps, failed
	}
	results := fetch(ctx, arguments)
	for i, argument := range arguments {
		dumps = append(dumps, results[i].dumps...)
		if err := results[i].err; err != nil {
			failed[argument] = err
		}
	}
	return dumps, failed
}

// result is what an argument has led to.
type result struct {
	index int // of the argument
	dumps []Dump
	err   error
}

// fetch reads the dumps of all arguments.
func fetch(ctx context.Context, arguments []string) []result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	metrics := metrics.NewRegistry()
	waiting := ring.New[int]("accounts.waiting", len(arguments), ring.Block, metrics)
	done := ring.New[result]("accounts.done", len(arguments), ring.Block, metrics)
	for range min(fetchAtOnce, len(arguments)) {
		go func() {
			for {
				i, err := waiting.Pull(ctx)
				if err != nil {
					return
				}
				r := result{index: i}
				r.dumps, r.err = readDump(ctx, arguments[i])
				_ = done.PushWait(ctx, r) // fails only when the command ends
			}
		}()
	}
	results := make([]result, len(arguments))
	for i := range arguments {
		results[i].err = context.Canceled // unless it is done before the command ends
		_ = waiting.PushWait(ctx, i)      // fails only when the command ends
	}
	for range arguments {
		r, err := done.Pull(ctx)
		if err != nil {
			break
		}
		results[r.index] = r
	}
	return results
}

// readDump reads the dumps in a file. If there is no such file and the argument has a port, it is the address of a daemon.
func readDump(ctx context.Context, argument string) ([]Dump, error) {
	file, err := os.Open(argument)
	if err == nil {
		defer func() { _ = file.Close() }() // a file opened for reading has nothing to flush
		return decodeDumps(file, argument)
	}
	if _, _, splitErr := net.SplitHostPort(argument); !errors.Is(err, os.ErrNotExist) || splitErr != nil {
		return nil, err
	}
	d := Dump{Source: argument}
	if err := option.FetchDump(ctx, argument, &d); err != nil {
		return nil, err
	}
	if d.Duties == nil {
		return nil, errNoPools
	}
	return []Dump{d}, nil
}

// decodeDumps decodes one or more dumps that follow each other.
func decodeDumps(r io.Reader, source string) ([]Dump, error) {
	var dumps []Dump
	for decoder := json.NewDecoder(r); ; {
		d := Dump{Source: source}
		switch err := decoder.Decode(&d); {
		case errors.Is(err, io.EOF) && len(dumps) > 0:
			return dumps, nil
		case err != nil:
			return dumps, fmt.Errorf("decode dump: %w", err)
		case d.Duties == nil:
			return dumps, errNoPools
		}
		if len(dumps) > 0 {
			d.Source = fmt.Sprintf("%s (%d)", source, len(dumps)+1)
		}
		dumps = append(dumps, d)
	}
}

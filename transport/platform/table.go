package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"samphirehead/state/fault"
	"samphirehead/state/record"
)

const (
	stepWrite = "write table rows"
	stepRead  = "read table rows"
	stepScan  = "scan table rows"
)

// row is a row on the wire.
type row struct {
	Key     record.Key     `json:"key"`
	Version record.Version `json:"version"`
	Value   []byte         `json:"value"`
}

type write struct {
	Key      record.Key     `json:"key"`
	Expected record.Version `json:"expected_version"`
	Value    []byte         `json:"value"`
	Delete   bool           `json:"delete,omitempty"`
}

// Write applies all writes or none. It never repeats them.
func (c *Client) Write(ctx context.Context, writes []record.Write) record.WriteResult {
	c.init()
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	if err := wait(ctx, c.writes, len(writes)); err != nil {
		return record.Refused{Err: fault.Wrap(stepWrite, c.Address, err)}
	}
	var body struct {
		Writes []write `json:"writes"`
	}
	for _, w := range writes {
		body.Writes = append(body.Writes, write(w))
	}
	var written struct {
		Versions []record.Version `json:"versions"`
	}
	var conflicts struct {
		Conflicts []row `json:"conflicts"`
	}
	call := c.request().Post("/v1/table/write").BodyJSON(body)
	x := c.do(ctx, c.table, call, &written, &conflicts)
	if x.status == http.StatusOK && x.err == nil && len(written.Versions) == len(writes) {
		return record.Written{Versions: written.Versions}
	}
	if x.status == http.StatusConflict && len(conflicts.Conflicts) > 0 {
		return record.Conflicted{Rows: rows(conflicts.Conflicts)}
	}
	return c.unwritten(x)
}

// unwritten tells writes that cannot take effect from those that may have.
func (c *Client) unwritten(x exchange) record.WriteResult {
	err := c.fail(stepWrite, x)
	switch x.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return record.Refused{Err: err, RetryAfter: x.retryAfter()}
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusRequestEntityTooLarge:
		return record.Refused{Err: err}
	case 0:
		if !x.sent {
			return record.Refused{Err: err}
		}
	}
	return record.Unknown{Err: err}
}

// Read returns the rows of keys; absent rows are left out. A slow or failed
// read is sent a second time while the deadline allows.
func (c *Client) Read(ctx context.Context, keys []record.Key) ([]record.Row, error) {
	c.init()
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	return hedge(ctx, c.HedgeAfter, func(ctx context.Context) ([]record.Row, error) {
		return c.read(ctx, keys)
	})
}

func (c *Client) read(ctx context.Context, keys []record.Key) ([]record.Row, error) {
	if err := wait(ctx, c.reads, 1); err != nil {
		return nil, fault.Wrap(stepRead, c.Address, err)
	}
	body := struct {
		Keys []record.Key `json:"keys"`
	}{keys}
	var found struct {
		Rows []row `json:"rows"`
	}
	x := c.do(ctx, c.table, c.request().Post("/v1/table/read").BodyJSON(body), &found, nil)
	if x.err != nil || x.status != http.StatusOK {
		return nil, c.fail(stepRead, x)
	}
	return rows(found.Rows), nil
}

// Scan returns at most limit rows whose keys start with prefix and come after
// the key after, in key order.
func (c *Client) Scan(ctx context.Context, prefix, after record.Key, limit int) ([]record.Row, error) {
	c.init()
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	if err := wait(ctx, c.reads, 1); err != nil {
		return nil, fault.Wrap(stepScan, c.Address, err)
	}
	query := struct {
		Prefix record.Key `url:"prefix"`
		After  record.Key `url:"after,omitempty"`
		Limit  int        `url:"limit"`
	}{prefix, after, limit}
	var found struct {
		Rows []row `json:"rows"`
	}
	x := c.do(ctx, c.table, c.request().Get("/v1/table/scan").QueryStruct(query), &found, nil)
	if x.err != nil || x.status != http.StatusOK {
		return nil, c.fail(stepScan, x)
	}
	return rows(found.Rows), nil
}

func rows(wire []row) []record.Row {
	out := make([]record.Row, len(wire))
	for i, r := range wire {
		out[i] = record.Row(r)
	}
	return out
}

// wait takes n from the instance's share of the rate. It fails at once where
// the share would come free only after the deadline.
func wait(ctx context.Context, l *rate.Limiter, n int) error {
	n = min(n, l.Burst())
	if err := l.WaitN(ctx, n); err != nil {
		return errors.Mark(errors.Wrap(err, "rate share used up"), ErrUnavailable)
	}
	return nil
}

// hedge runs call, and a second time when the first is slow or fails, but not
// when the service is unavailable. It returns the first success, or the last
// error.
func hedge[V any](ctx context.Context, after time.Duration, call func(context.Context) (V, error)) (V, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		value V
		err   error
	}
	const calls = 2
	results := make(chan result, calls)
	started, ended := 0, 0
	run := func() {
		if started == calls {
			return
		}
		started++
		go func() {
			v, err := call(ctx)
			results <- result{v, err}
		}()
	}
	timer := time.NewTimer(after)
	defer timer.Stop()
	run()
	for {
		select {
		case <-timer.C:
			run()
		case r := <-results:
			ended++
			if r.err != nil && !errors.Is(r.err, ErrUnavailable) {
				run()
			}
			if r.err == nil || ended == started {
				return r.value, r.err
			}
		}
	}
}

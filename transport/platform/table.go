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

// row is the JSON encoding of a row.
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

// Write applies all writes or none. It makes one call and does not retry it,
// since a call without a response may have been applied.
func (c *Client) Write(ctx context.Context, writes []record.Write) record.WriteResult {
	c.init()
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	if err := waitForRate(ctx, c.writeLimiter, len(writes)); err != nil {
		return record.Refused{Err: fault.Wrap(stepWrite, c.Address, err)}
	}
	var body struct {
		Writes []write `json:"writes"`
	}
	for _, w := range writes {
		body.Writes = append(body.Writes, write(w))
	}
	var success struct {
		Versions []record.Version `json:"versions"`
	}
	var conflict struct {
		Conflicts []row `json:"conflicts"`
	}
	call := c.request().Post("/v1/table/write").BodyJSON(body)
	result := c.do(ctx, c.tableBreaker, call, &success, &conflict)
	if result.status == http.StatusOK && result.err == nil && len(success.Versions) == len(writes) {
		return record.Written{Versions: success.Versions}
	}
	if result.status == http.StatusConflict && len(conflict.Conflicts) > 0 {
		return record.Conflicted{Rows: rows(conflict.Conflicts)}
	}
	return c.writeFailure(result)
}

// writeFailure classifies a write without a usable response: Refused if it cannot
// have been applied, otherwise Unknown.
func (c *Client) writeFailure(result callResult) record.WriteResult {
	err := c.callError(stepWrite, result)
	switch result.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return record.Refused{Err: err, RetryAfter: result.retryAfter()}
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusRequestEntityTooLarge:
		return record.Refused{Err: err}
	case 0:
		if !result.sent {
			return record.Refused{Err: err}
		}
	}
	return record.Unknown{Err: err}
}

// Read returns the rows of keys and leaves out absent rows. A slow read is sent a
// second time, and so is a failed one unless the service is unavailable.
func (c *Client) Read(ctx context.Context, keys []record.Key) ([]record.Row, error) {
	c.init()
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	return hedge(ctx, c.HedgeAfter, func(ctx context.Context) ([]record.Row, error) {
		return c.read(ctx, keys)
	})
}

func (c *Client) read(ctx context.Context, keys []record.Key) ([]record.Row, error) {
	if err := waitForRate(ctx, c.readLimiter, 1); err != nil {
		return nil, fault.Wrap(stepRead, c.Address, err)
	}
	body := struct {
		Keys []record.Key `json:"keys"`
	}{keys}
	var response struct {
		Rows []row `json:"rows"`
	}
	result := c.do(ctx, c.tableBreaker, c.request().Post("/v1/table/read").BodyJSON(body), &response, nil)
	if result.err != nil || result.status != http.StatusOK {
		return nil, c.callError(stepRead, result)
	}
	return rows(response.Rows), nil
}

// Scan returns up to limit rows in key order, whose keys start with prefix and are
// greater than after.
func (c *Client) Scan(ctx context.Context, prefix, after record.Key, limit int) ([]record.Row, error) {
	c.init()
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	if err := waitForRate(ctx, c.readLimiter, 1); err != nil {
		return nil, fault.Wrap(stepScan, c.Address, err)
	}
	query := struct {
		Prefix record.Key `url:"prefix"`
		After  record.Key `url:"after,omitempty"`
		Limit  int        `url:"limit"`
	}{prefix, after, limit}
	var response struct {
		Rows []row `json:"rows"`
	}
	result := c.do(ctx, c.tableBreaker, c.request().Get("/v1/table/scan").QueryStruct(query), &response, nil)
	if result.err != nil || result.status != http.StatusOK {
		return nil, c.callError(stepScan, result)
	}
	return rows(response.Rows), nil
}

func rows(wire []row) []record.Row {
	out := make([]record.Row, len(wire))
	for i, r := range wire {
		out[i] = record.Row(r)
	}
	return out
}

// waitForRate takes n tokens from l, this instance's share of a rate limit. It
// fails at once if they would become available only after the deadline of ctx.
func waitForRate(ctx context.Context, l *rate.Limiter, n int) error {
	n = min(n, l.Burst())
	if err := l.WaitN(ctx, n); err != nil {
		return errors.Mark(errors.Wrap(err, "rate limit reached"), ErrUnavailable)
	}
	return nil
}

// hedge runs call and starts a second one after delay, or earlier if the first
// fails for another reason than ErrUnavailable. It returns the first success, or
// the error of the last call to finish.
func hedge[V any](ctx context.Context, delay time.Duration, call func(context.Context) (V, error)) (V, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		value V
		err   error
	}
	const maxCalls = 2
	results := make(chan result, maxCalls)
	started, finished := 0, 0
	start := func() {
		if started == maxCalls {
			return
		}
		started++
		go func() {
			v, err := call(ctx)
			results <- result{v, err}
		}()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	start()
	for {
		select {
		case <-timer.C:
			start()
		case r := <-results:
			finished++
			if r.err != nil && !errors.Is(r.err, ErrUnavailable) {
				start()
			}
			if r.err == nil || finished == started {
				return r.value, r.err
			}
		}
	}
}

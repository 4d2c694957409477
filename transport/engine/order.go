package engine

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"samphirehead/state/fault"
	"samphirehead/state/id"
)

// OrderKind names what an order changes.
type OrderKind string

// The kinds of order.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderRole    OrderKind = "role"
	OrderVersion OrderKind = "version"
)

// Order tells an engine which state to take up. A repeated one changes nothing.
type Order struct {
	Fencing id.FencingNumber `json:"fencing"`
	Kind    OrderKind        `json:"kind"`
	// Model is set for all kinds but OrderRole.
	Model id.Model `json:"model,omitempty"`
	// Version names the weights; empty means the engine's own choice.
	Version string `json:"version,omitempty"`
	// Role is set for OrderRole only.
	Role string `json:"role,omitempty"`
}

// OrderResult says what became of one copy of an order.
type OrderResult interface{ orderResult() }

// OrderAccepted means that the order took effect.
type OrderAccepted struct{}

// OrderOutdated means that the engine had taken an order with a higher fencing
// number before; this one did not take effect.
type OrderOutdated struct{}

// OrderRejected means that the order did not take effect: it was not sent, or
// the engine found it at fault.
type OrderRejected struct{ Err error }

// OrderUnknown means that the order may have taken effect, or may still do.
type OrderUnknown struct{ Err error }

func (OrderAccepted) orderResult() {}
func (OrderOutdated) orderResult() {}
func (OrderRejected) orderResult() {}
func (OrderUnknown) orderResult()  {}

// Order sends one copy of an order to the engine at address. The caller bounds
// it by ctx.
func (c *Client) Order(ctx context.Context, address string, o Order) OrderResult {
	req, err := sling.New().Base("http://" + address).Post("/v1/orders").BodyJSON(o).Request()
	if err != nil {
		return OrderRejected{fault.At("order", address, err)}
	}
	if err := ctx.Err(); err != nil {
		return OrderRejected{fault.At("order", address, err)}
	}
	resp, err := c.HTTP.Do(req.WithContext(ctx))
	if err != nil {
		return unanswered(fault.At("order", address, classify(err)))
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusOK:
		return OrderAccepted{}
	case resp.StatusCode == http.StatusConflict:
		return OrderOutdated{}
	case resp.StatusCode < http.StatusInternalServerError:
		return OrderRejected{fault.New("order", address, resp.Status)}
	}
	return OrderUnknown{fault.New("order", address, resp.Status)}
}

// unanswered tells whether an order without an answer had been sent.
func unanswered(err error) OrderResult {
	if errors.Is(err, ErrNotSent) {
		return OrderRejected{err}
	}
	return OrderUnknown{err}
}

package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/reducer"
	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/pkg/configurator"
)

const engineTimeout = time.Second // of an order or a request for the engine's state

// OrderRequest is the JSON body of an order to an engine, POST /orders.
type OrderRequest struct {
	Number reserver.OrderNumber   `json:"number"`
	Op     reserver.Op            `json:"op"`
	Model  configurator.ModelName `json:"model,omitempty"`
	Bytes  configurator.Bytes     `json:"bytes,omitempty"` // size of the model to load
}

// OrderResponse is the JSON body of an engine's response to an order.
type OrderResponse struct {
	HighestSeen reserver.OrderNumber `json:"number"` // highest order number that the engine has seen
}

// SendOrder sends an order to the engine once. The outcome is OrderUnknown unless the
// engine's response, or the lack of a connection, tells what became of the order.
func (f *Forwarder) SendOrder(ctx context.Context, o OrderRequest) reducer.OrderCompleted {
	completed := reducer.OrderCompleted{Number: o.Number, Outcome: reducer.OrderUnknown}
	body, err := json.Marshal(o)
	if err != nil {
		completed.Outcome = reducer.OrderUnsent
		return completed
	}
	var resp OrderResponse
	status, err := f.callEngine(ctx, http.MethodPost, "/orders", body, &resp)
	switch {
	case err != nil && ranAfterError(err) == classifier.RanNo:
		completed.Outcome = reducer.OrderUnsent
	case err != nil:
	case status == http.StatusOK:
		completed.Outcome = reducer.OrderAccepted
	case status == http.StatusConflict || status == http.StatusTooManyRequests:
		completed.Outcome = reducer.OrderRefused
		completed.HighestSeen = resp.HighestSeen
	}
	return completed
}

// PollEngine requests the engine's state. The error is of kind Lost if the engine
// sent no JSON response and Busy if its status is not 200.
func (f *Forwarder) PollEngine(ctx context.Context) (reserver.EngineReport, error) {
	var report reserver.EngineReport
	status, err := f.callEngine(ctx, http.MethodGet, "/state", nil, &report)
	if err != nil {
		return report, classifier.Wrap(classifier.Lost, err, "request the engine's state")
	}
	if status != http.StatusOK {
		return report, classifier.New(classifier.Busy, "engine responded to a state request with status %d", status)
	}
	return report, nil
}

// callEngine sends a request over a new connection, so that a connection that stopped
// responding doesn't delay it, and decodes the JSON response into out. It returns the
// HTTP status.
func (f *Forwarder) callEngine(ctx context.Context, method, path string, body []byte, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.cfg.Address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.GetBody = nil
	res, err := f.unpooled.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := readBody(res)
	if err != nil {
		return 0, err
	}
	return res.StatusCode, json.Unmarshal(data, out)
}

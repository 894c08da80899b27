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

const engineTimeout = time.Second

// OrderRequest is an order as the engine's protocol carries it.
type OrderRequest struct {
	Number reserver.OrderNumber   `json:"number"`
	Op     reserver.Op            `json:"op"`
	Model  configurator.ModelName `json:"model,omitempty"`
	Bytes  configurator.Bytes     `json:"bytes,omitempty"`
}

// OrderResponse is the engine's answer to an order.
type OrderResponse struct {
	HighestSeen reserver.OrderNumber `json:"number"` // highest number seen
}

// SendOrder gives an order to the engine.
func (f *Forwarder) SendOrder(ctx context.Context, o OrderRequest) reducer.OrderCompleted {
	answer := reducer.OrderCompleted{Number: o.Number, Outcome: reducer.OrderUnknown}
	body, err := json.Marshal(o)
	if err != nil {
		answer.Outcome = reducer.OrderUnsent
		return answer
	}
	var v OrderResponse
	status, err := f.engine(ctx, http.MethodPost, "/orders", body, &v)
	switch {
	case err != nil && ranAfter(err) == classifier.RanNo:
		answer.Outcome = reducer.OrderUnsent
	case err != nil:
	case status == http.StatusOK:
		answer.Outcome = reducer.OrderAccepted
	case status == http.StatusConflict || status == http.StatusTooManyRequests:
		answer.Outcome = reducer.OrderRefused
		answer.HighestSeen = v.HighestSeen
	}
	return answer
}

// PollEngine asks the engine for its state.
func (f *Forwarder) PollEngine(ctx context.Context) (reserver.EngineReport, error) {
	var report reserver.EngineReport
	status, err := f.engine(ctx, http.MethodGet, "/state", nil, &report)
	if err != nil {
		return report, classifier.Wrap(classifier.Lost, err, "ask engine for its state")
	}
	if status != http.StatusOK {
		return report, classifier.New(classifier.Busy, "engine answered %d", status)
	}
	return report, nil
}

// engine makes one call on a connection of its own, so that a connection that
// went silent does not delay the next call.
func (f *Forwarder) engine(ctx context.Context, method, path string, body []byte, answer any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.cfg.Address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.GetBody = nil
	res, err := f.fresh.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode, json.NewDecoder(res.Body).Decode(answer)
}

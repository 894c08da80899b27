package acceptor

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/reducer"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Headers that callers send or receive.
const (
	requestIDHeader      = "Egretwall-Id"
	ranHeader            = "Egretwall-Ran" // whether the request may have run
	classHeader          = "Egretwall-Class"
	idempotencyKeyHeader = "Idempotency-Key"
)

const (
	maxIdempotencyKeyBytes = 255
	bytesPerToken          = 4 // assumed, to estimate a prompt's tokens from the size of the body
)

// Call holds the fields of a completion request that egretwall reads. The engine
// receives all other fields unchanged.
type Call struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// ParseCall decodes the body of a completion request. The error is of kind Invalid if
// the body is malformed or has no model; callers receive its text.
func ParseCall(body []byte) (Call, error) {
	var c Call
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return c, classifier.Wrap(classifier.Invalid, err, "the body is no JSON object")
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return c, classifier.Wrap(classifier.Invalid, err, "the body is no completion request")
	}
	if c.Model == "" {
		return c, classifier.New(classifier.Invalid, "name a model")
	}
	return c, nil
}

// handleCompletion serves a completion or chat completion.
func (a *Acceptor) handleCompletion(ctx *fasthttp.RequestCtx) {
	caller, class, err := a.authenticate(ctx)
	if err != nil {
		a.reject(ctx, err)
		return
	}
	body := bytes.Clone(ctx.PostBody()) // fasthttp reuses its buffers
	call, err := ParseCall(body)
	if err != nil {
		a.reject(ctx, err)
		return
	}
	key, err := idempotencyKey(ctx)
	if err != nil {
		a.reject(ctx, err)
		return
	}
	a.serve(ctx, reducer.Request{
		Caller: caller.Name, Class: class, FailFast: caller.FailFast && class.Name == caller.Class,
		Model: configurator.ModelName(call.Model), Method: fasthttp.MethodPost, Path: string(ctx.Path()),
		Headers: []*linkpb.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:    body, Key: key, Repeatable: key == "", Stream: call.Stream, PromptTokens: len(body) / bytesPerToken,
	})
}

// idempotentMethods lists the methods that HTTP defines as idempotent.
var idempotentMethods = map[string]bool{
	fasthttp.MethodGet: true, fasthttp.MethodHead: true, fasthttp.MethodOptions: true, fasthttp.MethodPut: true, fasthttp.MethodDelete: true,
}

// forwardedHeaders lists the headers of callers that plain services receive.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match", "Range"}

// handleService serves a request to a plain service.
func (a *Acceptor) handleService(ctx *fasthttp.RequestCtx) {
	caller, class, err := a.authenticate(ctx)
	if err != nil {
		a.reject(ctx, err)
		return
	}
	key, err := idempotencyKey(ctx)
	if err != nil {
		a.reject(ctx, err)
		return
	}
	service := fmt.Sprint(ctx.UserValue("service"))
	_, path, _ := strings.Cut(strings.TrimPrefix(string(ctx.RequestURI()), "/svc/"), "/")
	req := reducer.Request{
		Caller: caller.Name, Class: class, FailFast: caller.FailFast, Service: configurator.ServiceName(service),
		Method: string(ctx.Method()), Path: "/" + path, Body: bytes.Clone(ctx.PostBody()),
		Key: key, Repeatable: key == "" && idempotentMethods[string(ctx.Method())],
	}
	for _, name := range forwardedHeaders {
		if v := ctx.Request.Header.Peek(name); len(v) > 0 {
			req.Headers = append(req.Headers, &linkpb.Header{Name: name, Value: string(v)})
		}
	}
	a.serve(ctx, req)
}

// idempotencyKey returns the idempotency key of a request, empty if there is none. The
// quotes of a quoted string are removed.
func idempotencyKey(ctx *fasthttp.RequestCtx) (string, error) {
	key := strings.Trim(string(ctx.Request.Header.Peek(idempotencyKeyHeader)), `"`)
	if len(key) > maxIdempotencyKeyBytes {
		return "", classifier.New(classifier.Invalid, "%s has more than %d bytes", idempotencyKeyHeader, maxIdempotencyKeyBytes)
	}
	return key, nil
}

// modelList is the response to GET /v1/models in the format of the OpenAI API.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the configured models and adapters.
func (a *Acceptor) handleModels(ctx *fasthttp.RequestCtx) {
	if _, _, err := a.authenticate(ctx); err != nil {
		a.reject(ctx, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range a.index.Load().models {
		list.Data = append(list.Data, modelItem{ID: string(m), Object: "model", OwnedBy: "egretwall"})
	}
	ctx.Response.Header.Set(requestIDHeader, string(a.cfg.NewID()))
	writeJSON(ctx, fasthttp.StatusOK, list)
}

// handleReadError responds to a request that fasthttp could not read.
func (a *Acceptor) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	kind := classifier.Invalid
	if err == fasthttp.ErrBodyTooLarge {
		kind = classifier.Large
	}
	a.writeError(ctx, "", kind, err.Error())
}

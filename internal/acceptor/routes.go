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

// Headers of egretwall's own.
const (
	idHeader    = "Egretwall-Id"
	ranHeader   = "Egretwall-Ran"
	classHeader = "Egretwall-Class"
	keyHeader   = "Idempotency-Key"
)

const (
	maxKeyBytes   = 255
	bytesPerToken = 4
)

// Call is the part of a completion request that egretwall reads; everything
// else goes to the engine as it is.
type Call struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// ParseCall reads the body of a completion request.
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

func (a *Acceptor) complete(ctx *fasthttp.RequestCtx) {
	caller, class, err := a.authenticate(ctx)
	if err != nil {
		a.refuseError(ctx, err)
		return
	}
	body := bytes.Clone(ctx.PostBody()) // fasthttp reuses its buffers
	call, err := ParseCall(body)
	if err != nil {
		a.refuseError(ctx, err)
		return
	}
	key, err := keyOf(ctx)
	if err != nil {
		a.refuseError(ctx, err)
		return
	}
	a.serve(ctx, reducer.Request{
		Caller: caller.Name, Class: class, FailFast: caller.FailFast && class.Name == caller.Class,
		Model: configurator.ModelName(call.Model), Method: fasthttp.MethodPost, Path: string(ctx.Path()),
		Headers: []*linkpb.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:    body, Key: key, Repeatable: key == "", Stream: call.Stream, PromptTokens: len(body) / bytesPerToken,
	})
}

// repeatable lists the methods that HTTP defines as idempotent.
var repeatable = map[string]bool{
	fasthttp.MethodGet: true, fasthttp.MethodHead: true, fasthttp.MethodOptions: true, fasthttp.MethodPut: true, fasthttp.MethodDelete: true,
}

// passedHeaders of callers reach plain services.
var passedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match", "Range"}

func (a *Acceptor) callService(ctx *fasthttp.RequestCtx) {
	caller, class, err := a.authenticate(ctx)
	if err != nil {
		a.refuseError(ctx, err)
		return
	}
	key, err := keyOf(ctx)
	if err != nil {
		a.refuseError(ctx, err)
		return
	}
	service := fmt.Sprint(ctx.UserValue("service"))
	_, path, _ := strings.Cut(strings.TrimPrefix(string(ctx.RequestURI()), "/svc/"), "/")
	req := reducer.Request{
		Caller: caller.Name, Class: class, FailFast: caller.FailFast, Service: configurator.ServiceName(service),
		Method: string(ctx.Method()), Path: "/" + path, Body: bytes.Clone(ctx.PostBody()),
		Key: key, Repeatable: key == "" && repeatable[string(ctx.Method())],
	}
	for _, name := range passedHeaders {
		if v := ctx.Request.Header.Peek(name); len(v) > 0 {
			req.Headers = append(req.Headers, &linkpb.Header{Name: name, Value: string(v)})
		}
	}
	a.serve(ctx, req)
}

// keyOf returns the idempotency key of a request; the header may be a quoted
// string.
func keyOf(ctx *fasthttp.RequestCtx) (string, error) {
	key := strings.Trim(string(ctx.Request.Header.Peek(keyHeader)), `"`)
	if len(key) > maxKeyBytes {
		return "", classifier.New(classifier.Invalid, "%s has more than %d bytes", keyHeader, maxKeyBytes)
	}
	return key, nil
}

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

func (a *Acceptor) listModels(ctx *fasthttp.RequestCtx) {
	if _, _, err := a.authenticate(ctx); err != nil {
		a.refuseError(ctx, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range a.table.Load().models {
		list.Data = append(list.Data, modelItem{ID: string(m), Object: "model", OwnedBy: "egretwall"})
	}
	ctx.Response.Header.Set(idHeader, string(a.cfg.NewID()))
	writeJSON(ctx, fasthttp.StatusOK, list)
}

// badRequest answers requests that fasthttp could not read.
func (a *Acceptor) badRequest(ctx *fasthttp.RequestCtx, err error) {
	kind := classifier.Invalid
	if err == fasthttp.ErrBodyTooLarge {
		kind = classifier.Large
	}
	a.refuse(ctx, "", kind, err.Error())
}

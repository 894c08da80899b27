package dispatcher

import (
	"cmp"
	"slices"

	"github.com/egretwall/egretwall/internal/apportioner"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Dump is a snapshot of a dispatcher for operators.
type Dump struct {
	Gateways  int                      `json:"gateways"` // gateways that share the upstreams, this one included
	Open      int                      `json:"open"`     // requests without a final answer
	Waiting   []DumpQueue              `json:"waiting"`
	Upstreams []DumpUpstream           `json:"upstreams"`
	Demands   []Demand                 `json:"demands"`
	Counters  Counters                 `json:"counters"`
	Quotas    *apportioner.AccountDump `json:"quotas,omitempty"` // nil without any
}

// DumpQueue is the number of requests that wait for the same upstreams.
type DumpQueue struct {
	Service  registrar.ServiceName `json:"service"`
	Model    registrar.ModelName   `json:"model"`
	Adapter  registrar.AdapterName `json:"adapter"`
	Release  registrar.Release     `json:"release,omitempty"` // the only one that may run them, empty for any
	Requests int                   `json:"requests"`
}

// DumpUpstream is the gateway's view of an upstream.
type DumpUpstream struct {
	ID              registrar.UpstreamID  `json:"id"`
	Service         registrar.ServiceName `json:"service"`
	Accepting       bool                  `json:"takes"`            // the upstream may get new requests
	Open            int                   `json:"open"`             // sends of this gateway under way
	Failures        int                   `json:"failures"`         // consecutive failed sends
	AvoidMillis     int64                 `json:"avoid"`            // how long the upstream is still avoided, zero if it is not
	ReportAgeMillis int64                 `json:"age"`              // of the last report, zero without one
	Limit           float64               `json:"limit,omitempty"`  // requests per second that it takes from all gateways together, zero without a limit
	Report          *Report               `json:"report,omitempty"` // the last one
}

// Dump returns a snapshot as of the last event, with upstreams in the order of
// their ids. Reports in it are shared with the dispatcher.
func (d *Dispatcher) Dump() Dump {
	dump := Dump{Gateways: d.gatewayCount, Open: len(d.requests), Demands: d.Demands(d.now), Counters: d.Counters, Quotas: d.account.Dump(d.now)}
	for _, key := range d.queueOrder {
		dump.Waiting = append(dump.Waiting, DumpQueue{key.service, key.model, key.adapter, key.release, len(d.queues[key])})
	}
	for _, u := range d.upstreams {
		row := DumpUpstream{
			ID: u.info.ID, Service: u.info.Service, Accepting: u.accepting(), Open: u.inFlight, Failures: u.consecutiveFailures,
			AvoidMillis: max(0, u.avoidUntil-d.now).Milliseconds(), ReportAgeMillis: d.reportAge(u).Milliseconds(), Limit: d.limitOf(u),
		}
		if u.reported {
			row.Report = &u.report
		}
		dump.Upstreams = append(dump.Upstreams, row)
	}
	slices.SortFunc(dump.Upstreams, func(a, b DumpUpstream) int { return cmp.Compare(a.ID, b.ID) })
	return dump
}

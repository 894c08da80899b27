package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

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
	Shares    []DumpShare              `json:"shares,omitempty"`
}

// DumpQueue is the number of requests that wait for the same upstreams.
type DumpQueue struct {
	Service  registrar.ServiceName `json:"service"`
	Model    registrar.ModelName   `json:"model"`
	Adapter  registrar.AdapterName `json:"adapter"`
	Release  registrar.Release     `json:"release,omitempty"` // the only one that may run them, empty for any
	Large    bool                  `json:"large,omitempty"`   // with bodies of 128 KiB or more
	Requests int                   `json:"requests"`
}

// DumpShare is a workspace's part of the room for a service and priority, in units of work.
type DumpShare struct {
	Service   registrar.ServiceName   `json:"service"`
	Priority  int                     `json:"priority"`
	Workspace registrar.WorkspaceName `json:"workspace"`
	Weight    float64                 `json:"weight"`
	Rate      float64                 `json:"rate"`            // arriving per second
	Share     float64                 `json:"share,omitempty"` // per second that it gets of the room, zero if there is room for all
	Waiting   float64                 `json:"waiting"`         // of its waiting requests
	Debt      float64                 `json:"debt"`            // that others are served first
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
		dump.Waiting = append(dump.Waiting, DumpQueue{key.service, key.model, key.adapter, key.release, key.large, len(d.queues[key])})
	}
	dump.Shares = d.shares.dump(d.now)
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

// dump returns the parts of workspaces that sent requests lately.
func (s *shares) dump(now time.Duration) []DumpShare {
	var rows []DumpShare
	for key, c := range s.classes {
		for _, l := range c.meter.Loads(now) {
			rows = append(rows, DumpShare{
				Service: key.service, Priority: key.priority, Workspace: l.Workspace, Weight: s.weight(l.Workspace), Rate: math.Round(l.Rate),
				Share: math.Round(l.Share), Waiting: c.clock.Waiting(l.Workspace), Debt: math.Round(c.clock.Debt(l.Workspace)),
			})
		}
	}
	slices.SortFunc(rows, func(a, b DumpShare) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Workspace, b.Workspace))
	})
	return rows
}

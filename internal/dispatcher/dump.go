package dispatcher

import (
	"cmp"
	"slices"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Dump is the state of a dispatcher, for people.
type Dump struct {
	Gateways  int            `json:"gateways"`
	Open      int            `json:"open"`
	Waiting   []DumpQueue    `json:"waiting"`
	Upstreams []DumpUpstream `json:"upstreams"`
	Demands   []Demand       `json:"demands"`
	Counters  Counters       `json:"counters"`
}

// DumpQueue counts the requests that wait for the same upstreams.
type DumpQueue struct {
	Service  registrar.ServiceName `json:"service"`
	Model    registrar.ModelName   `json:"model"`
	Adapter  registrar.AdapterName `json:"adapter"`
	Requests int                   `json:"requests"`
}

// DumpUpstream is an upstream as the gateway sees it; times are milliseconds.
type DumpUpstream struct {
	ID              registrar.UpstreamID  `json:"id"`
	Service         registrar.ServiceName `json:"service"`
	Accepting       bool                  `json:"takes"` // new work
	Open            int                   `json:"open"`
	Failures        int                   `json:"failures"`
	AvoidMillis     int64                 `json:"avoid"` // left, zero when it is not avoided
	ReportAgeMillis int64                 `json:"age"`   // of the report
	Report          *Report               `json:"report,omitempty"`
}

// Dump returns the state.
func (d *Dispatcher) Dump() Dump {
	dump := Dump{Gateways: d.gateways, Open: len(d.requests), Demands: d.Demands(d.now), Counters: d.Counters}
	for _, l := range d.order {
		dump.Waiting = append(dump.Waiting, DumpQueue{l.service, l.model, l.adapter, len(d.lanes[l])})
	}
	for _, s := range d.servers {
		u := DumpUpstream{
			ID: s.info.ID, Service: s.info.Service, Accepting: s.takes(), Open: s.open, Failures: s.failures,
			AvoidMillis: max(0, s.avoid-d.now).Milliseconds(), ReportAgeMillis: d.reportAge(s).Milliseconds(),
		}
		if s.told {
			u.Report = &s.report
		}
		dump.Upstreams = append(dump.Upstreams, u)
	}
	slices.SortFunc(dump.Upstreams, func(a, b DumpUpstream) int { return cmp.Compare(a.ID, b.ID) })
	return dump
}

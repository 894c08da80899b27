package main

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"
)

// ceiling: two services of model runners load their weights from one weight store. More of the
// rare models of both are asked for at once.
func ceiling(r *rig) (string, error) {
	const (
		loadsPerS = 1.8
		window    = loadWindow * time.Millisecond
		over      = 1.1
		rare      = 8    // models of each service
		tokens    = 2000 // of a request
		usual     = 6.5  // requests a second for each model
		x         = 2.5  // times as many in the burst
		runners   = 12   // of each service
	)
	var routes, services []map[string]any
	var all []*runner
	for _, service := range []string{"llm-a", "llm-b"} {
		models, list := map[string]model{}, []model{}
		for m := range rare {
			name := fmt.Sprint(service, "-m", m)
			models[name] = model{name, 72700, 5800, 1200}
			list = append(list, models[name])
		}
		routes = append(routes, route(service, "/"+service+"/", "idempotent", service, 12000, 400, 1))
		services = append(services, engine(service, list, 220000, loadsPerS))
		for i := range runners {
			resident := map[string][]string{}
			if i < rare {
				resident[list[i].name] = nil
			}
			u := &runner{id: fmt.Sprint("i-", service, "-", i), service: service, slots: 64, weights: 220000, models: models, workMs: func(*http.Request) int { return 60 }}
			if err := r.addRunner(u, resident); err != nil {
				return "", err
			}
			all = append(all, u)
		}
	}
	r.configure(1, routes, services)
	for i, u := range all {
		if err := r.startSteward(fmt.Sprint("side-", i), u); err != nil {
			return "", err
		}
	}
	var gateways []gateway
	for i := range 2 {
		g, err := r.startGateway(fmt.Sprint("front-", i))
		if err != nil {
			return "", err
		}
		gateways = append(gateways, g)
	}
	if err := waitReady(gateways); err != nil {
		return "", err
	}
	press := func(length time.Duration, factor float64) {
		end := time.Now().Add(length)
		for _, service := range []string{"llm-a", "llm-b"} {
			for m := range rare {
				for _, g := range gateways {
					name := fmt.Sprint(service, "-m", m)
					r.press(end, usual*factor/float64(len(gateways)), g, func() request {
						n := r.number.Load()
						return request{
							method: http.MethodPost, path: fmt.Sprint("/", service, "/", n), body: fmt.Append(nil, "question ", n), budget: 12 * time.Second,
							header: map[string]string{wire("model"): name, wire("usage"): fmt.Sprint(tokens, ",50"), wire("parts"): fmt.Sprintf("5c1e07a2:198,%08x:%d", n, tokens-198)},
						}
					})
				}
			}
		}
	}
	press(24*time.Second, 1)
	time.Sleep(12 * time.Second)
	if r.trouble {
		r.rec.say("burst")
		press(4*time.Second, x-1)
	}
	r.pending.Wait()
	var begun []time.Duration
	for _, u := range all {
		u.mu.Lock()
		begun = append(begun, u.storeLoads...)
		u.mu.Unlock()
	}
	slices.Sort(begun)
	most, at := 0, time.Duration(0)
	for i, t := range begun {
		if n := sort.Search(len(begun), func(j int) bool { return begun[j] >= t+window }) - i; n > most {
			most, at = n, t
		}
	}
	bound := loadsPerS*window.Seconds()*over + 3
	served := 0
	for _, a := range r.all() {
		if a.status == http.StatusOK && a.sealed {
			served++
		}
	}
	r.rec.say("%d sent, %d served; %d loads from the weight store, at most %d in %v, from %v on; bound %.1f", len(r.all()), served, len(begun), most, window, at, bound)
	if float64(most) > bound {
		return fmt.Sprintf("CEILING: %d loads from the weight store began in %v, more than %.1f", most, window, bound), nil
	}
	return "", nil
}

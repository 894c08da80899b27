package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/egretwall/egretwall/internal/placer"
)

// idThatPrefers returns the id of a runner whose permits the last of the stewards issues once it
// reports. Of ids that are drawn at random, one in five is such.
func idThatPrefers(addresses []string) string {
	last := addresses[len(addresses)-1]
	for i := 0; ; i++ {
		id := fmt.Sprintf("i-archive-%02d", i)
		if slices.MaxFunc(addresses, func(a, b string) int { return cmp.Compare(placer.Score(id, a), placer.Score(id, b)) }) == last {
			return id
		}
	}
}

// limited: a plain service has one runner, in need, which names a limit of 10 requests a second.
// Six gateways are pressed. The store turns two of them away for 8.5 s; meanwhile a model runner
// with its steward is added to the four of the other service.
func limited(r *rig) (string, error) {
	const (
		perS     = 10.0             // the limit
		window   = 4 * time.Second  // of the rule
		length   = 26 * time.Second // of the traffic
		turnedAt = 9 * time.Second
		turned   = 8500 * time.Millisecond
	)
	models := map[string]model{"m1": {"m1", 72700, 5800, 1200}}
	r.configure(1,
		[]map[string]any{route("reads", "/reads/", "idempotent", "archive", 2000, 300, 2), route("drafts", "/drafts/", "idempotent", "llm", 12000, 300, 1)},
		[]map[string]any{{"Name": "archive", "Engine": nil}, engine("llm", []model{models["m1"]}, 220000, 1.8)})
	addresses := make([]string, 5)
	for i := range addresses {
		ip := r.ip()
		addresses[i] = fmt.Sprint(ip, ":", freePort(ip))
	}
	needy := &runner{id: idThatPrefers(addresses), service: "archive", slots: 12, limit: perS, backMs: 4500, workMs: func(*http.Request) int { return 60 }}
	if err := r.addRunner(needy, nil); err != nil {
		return "", err
	}
	add := func(i int) error {
		u := &runner{id: fmt.Sprint("i-llm-", i), service: "llm", slots: 64, weights: 220000, models: models, backMs: 4500, workMs: func(*http.Request) int { return 100 }, address: addresses[i]}
		if err := r.addRunner(u, map[string][]string{"m1": nil}); err != nil {
			return err
		}
		return r.startSteward(fmt.Sprint("side-", i), u)
	}
	for i := range 4 {
		if err := add(i); err != nil {
			return "", err
		}
	}
	var gateways []gateway
	for i := range 6 {
		g, err := r.startGateway(fmt.Sprint("front-", i))
		if err != nil {
			return "", err
		}
		gateways = append(gateways, g)
	}
	if err := waitReady(gateways); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second) // until all hear each other
	for _, g := range gateways {
		r.press(time.Now().Add(length), 8, g, func() request {
			return request{method: http.MethodGet, path: fmt.Sprint("/reads/", r.number.Load()), budget: 2 * time.Second}
		})
	}
	time.Sleep(turnedAt)
	if r.trouble {
		for _, g := range gateways[4:] {
			r.store.turnAway(g.name, true)
		}
		r.rec.say("the store turns two gateways away")
	}
	time.Sleep(time.Second)
	if err := add(4); err != nil {
		return "", err
	}
	r.rec.say("a model runner is added")
	time.Sleep(turned - time.Second)
	for _, g := range gateways[4:] {
		r.store.turnAway(g.name, false)
	}
	r.rec.say("the store serves all")
	r.pending.Wait()
	sent, served := 0, 0
	gatewayOf, passedAt := map[string]string{}, map[string]time.Duration{} // the first answer with the limit that each gateway passed on
	named := time.Duration(0)
	for _, a := range r.all() {
		sent++
		gatewayOf[a.attempt] = a.gateway
		if a.status != http.StatusOK || !a.sealed {
			continue
		}
		served++
		if at, ok := passedAt[a.gateway]; !ok || a.doneAt < at {
			passedAt[a.gateway] = a.doneAt
		}
		if named == 0 || a.doneAt < named {
			named = a.doneAt
		}
	}
	needy.mu.Lock()
	defer needy.mu.Unlock()
	var times []time.Duration
	for _, a := range needy.arrivals {
		at, told := passedAt[gatewayOf[a.attempt]]
		if a.at >= named+stableWindow && told && a.at >= at+500*time.Millisecond {
			times = append(times, a.at)
		}
	}
	slices.Sort(times)
	most, at := 0, time.Duration(0)
	for i, t := range times {
		n := sort.Search(len(times), func(j int) bool { return times[j] >= t+window }) - i
		if n > most {
			most, at = n, t
		}
	}
	bound := 1.5*perS*window.Seconds() + 5
	r.rec.say("%d sent, %d served; at most %d requests in %v, from %v on; bound %.0f", sent, served, most, window, at, bound)
	if len(times) == 0 {
		return "", fmt.Errorf("no request arrived")
	}
	if float64(most) > bound {
		return fmt.Sprintf("LIMIT: the runner got %d requests in %v, more than %.0f", most, window, bound), nil
	}
	return "", nil
}

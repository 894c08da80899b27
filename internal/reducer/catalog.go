package reducer

import "github.com/egretwall/egretwall/pkg/configurator"

// catalog indexes the models and adapters of a configuration.
type catalog struct {
	baseOf map[configurator.ModelName]configurator.ModelName // a base model maps to itself
	sizes  map[configurator.ModelName]configurator.Bytes     // accelerator memory
}

func newCatalog(cfg *configurator.Configuration) catalog {
	c := catalog{map[configurator.ModelName]configurator.ModelName{}, map[configurator.ModelName]configurator.Bytes{}}
	for _, m := range cfg.Models {
		c.baseOf[m.Name], c.sizes[m.Name] = m.Name, m.Bytes
	}
	for _, a := range cfg.Adapters {
		c.baseOf[a.Name], c.sizes[a.Name] = a.Model, a.Bytes
	}
	return c
}
